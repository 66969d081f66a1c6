#pragma once

#include "samphiretray/base/name_table.h"

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace samphiretray {

/// Error conditions of this library.
enum class errc {
    invalid_argument = 1,
    not_found,
    conflict,
    stale_revision,
    unauthorized,
    forbidden,
    rate_limited,
    overloaded,
    timeout,
    connection_failed,
    connection_closed,
    protocol_error,
    too_large,
    unavailable,
    outcome_unknown,
    draining,
    fenced,
    load_failed,
    wrong_version,
};

template <>
inline constexpr auto name_table<errc> = std::to_array<std::pair<errc, std::string_view>>({
    {errc::invalid_argument, "invalid_argument"},
    {errc::not_found, "not_found"},
    {errc::conflict, "conflict"},
    {errc::stale_revision, "stale_revision"},
    {errc::unauthorized, "unauthorized"},
    {errc::forbidden, "forbidden"},
    {errc::rate_limited, "rate_limited"},
    {errc::overloaded, "overloaded"},
    {errc::timeout, "timeout"},
    {errc::connection_failed, "connection_failed"},
    {errc::connection_closed, "connection_closed"},
    {errc::protocol_error, "protocol_error"},
    {errc::too_large, "too_large"},
    {errc::unavailable, "unavailable"},
    {errc::outcome_unknown, "outcome_unknown"},
    {errc::draining, "draining"},
    {errc::fenced, "fenced"},
    {errc::load_failed, "load_failed"},
    {errc::wrong_version, "wrong_version"},
});

/// The `std::error_category` of `errc`.
[[nodiscard]] const std::error_category& error_category() noexcept;

[[nodiscard]] std::error_code make_error_code(errc code) noexcept;

/// The step of a request or of a control-plane operation at which an error occurred.
enum class step {
    parse,
    settings,
    authenticate,
    route,
    admit,
    claim,
    place,
    connect,
    send,
    queue,
    load,
    run,
    receive,
    settle,
    configure,
    lease,
    gossip,
    shutdown,
};

template <>
inline constexpr auto name_table<step> = std::to_array<std::pair<step, std::string_view>>({
    {step::parse, "parse"},
    {step::settings, "settings"},
    {step::authenticate, "authenticate"},
    {step::route, "route"},
    {step::admit, "admit"},
    {step::claim, "claim"},
    {step::place, "place"},
    {step::connect, "connect"},
    {step::send, "send"},
    {step::queue, "queue"},
    {step::load, "load"},
    {step::run, "run"},
    {step::receive, "receive"},
    {step::settle, "settle"},
    {step::configure, "configure"},
    {step::lease, "lease"},
    {step::gossip, "gossip"},
    {step::shutdown, "shutdown"},
});

/// An error with the step at which it occurred and the peer involved.
struct error {
    std::error_code code;
    step failed_step = step::parse;
    /// Name or address of the peer; empty if no peer was involved.
    std::string peer;
    /// A message for operators. Must not contain API keys or request bodies.
    std::string detail;
};

[[nodiscard]] inline error make_error(errc code, step failed_step, std::string peer, std::string detail) {
    return {make_error_code(code), failed_step, std::move(peer), std::move(detail)};
}

/// Returns "step=... peer=... code=... detail=...".
[[nodiscard]] std::string to_string(const error& failure);

/// Either a value of type `T` or an error.
template <typename T>
class [[nodiscard]] result {
public:
    // Implicit, so that functions can return either alternative directly.
    result(T value) : state_(std::in_place_index<0>, std::move(value)) {}
    result(samphiretray::error failure) : state_(std::in_place_index<1>, std::move(failure)) {}

    [[nodiscard]] bool has_value() const noexcept { return state_.index() == 0; }
    explicit operator bool() const noexcept { return has_value(); }

    /// Precondition: `has_value()`.
    [[nodiscard]] T& value() & { return std::get<0>(state_); }
    [[nodiscard]] const T& value() const& { return std::get<0>(state_); }
    [[nodiscard]] T&& value() && { return std::get<0>(std::move(state_)); }

    T& operator*() & { return value(); }
    const T& operator*() const& { return value(); }
    T&& operator*() && { return std::move(*this).value(); }
    T* operator->() { return &value(); }
    const T* operator->() const { return &value(); }

    /// Precondition: `!has_value()`.
    [[nodiscard]] const samphiretray::error& error() const { return std::get<1>(state_); }

private:
    std::variant<T, samphiretray::error> state_;
};

/// The result of an operation without a return value.
using status = result<std::monostate>;

[[nodiscard]] inline status success() {
    return std::monostate{};
}

} // namespace samphiretray

template <>
struct std::is_error_code_enum<samphiretray::errc> : std::true_type {};

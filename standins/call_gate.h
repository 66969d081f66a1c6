#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"

#include "standins/random_source.h"
#include "standins/rate_limit.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::standins {

enum class call_kind { read, watch, list, write, erase };

/// `refusing` answers every call with 503; `silent` leaves every call unanswered.
enum class down_mode { up, refusing, silent };

struct call_faults {
    down_mode down = down_mode::up;
    /// Delay of every response to a call. Writes take effect before the delay.
    duration delay{0};
    /// Number of next writes that take effect but whose response is lost.
    std::uint32_t lose_next_writes = 0;
    /// Probability that the response to a write is lost.
    double lose_probability = 0;
    /// Listeners whose calls get no response and have no effect; simulates a region that cannot reach the
    /// service.
    std::vector<std::string> cut_listeners;
};

struct call_limits {
    /// Calls per second; 0 for no limit.
    double reads = 0;
    double writes = 0;
};

enum class admission_result { pass, rate_limited, unavailable, silent };

/// Decides which calls the key-value stand-in serves: applies rate limits and injected faults, and counts
/// calls.
class call_gate {
public:
    call_gate(call_limits limits, std::uint64_t seed)
        : reads_(limits.reads), writes_(limits.writes), random_(seed) {}

    /// Whether the injected faults let calls through `listener` pass. Ignores the rate limits and counts
    /// nothing.
    [[nodiscard]] admission_result reachability(std::string_view listener) const;
    /// Applies faults and rate limits to one call and counts it. Each of the `pending_watches` takes one read
    /// per second from the read limit.
    [[nodiscard]] admission_result admit(call_kind kind, std::string_view listener,
                                         std::size_t pending_watches, time_point now);
    /// True if the response to a write that took effect must be lost. Consumes one of `lose_next_writes`.
    [[nodiscard]] bool loses_answer();
    [[nodiscard]] duration delay() const noexcept { return faults_.delay; }

    /// Sets the faults that are fields of `change` and keeps the others. Throws `nlohmann::json::exception`
    /// and changes no fault if a field is invalid.
    void change_faults(const nlohmann::json& change);
    [[nodiscard]] nlohmann::json counters() const;

private:
    [[nodiscard]] bool is_cut(std::string_view listener) const;

    rate_limit reads_;
    rate_limit writes_;
    random_source random_;
    call_faults faults_;
    std::map<std::string, std::uint64_t> counters_;
};

} // namespace samphiretray::standins

namespace samphiretray {

template <>
inline constexpr auto name_table<standins::call_kind> =
    std::to_array<std::pair<standins::call_kind, std::string_view>>({
        {standins::call_kind::read, "read"},
        {standins::call_kind::watch, "watch"},
        {standins::call_kind::list, "list"},
        {standins::call_kind::write, "write"},
        {standins::call_kind::erase, "erase"},
    });

template <>
inline constexpr auto name_table<standins::down_mode> =
    std::to_array<std::pair<standins::down_mode, std::string_view>>({
        {standins::down_mode::up, "up"},
        {standins::down_mode::refusing, "refusing"},
        {standins::down_mode::silent, "silent"},
    });

} // namespace samphiretray

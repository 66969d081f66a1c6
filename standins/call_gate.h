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

/// `refusing` answers 503; `silent` never answers.
enum class down_mode { up, refusing, silent };

struct call_faults {
    down_mode down = down_mode::up;
    /// Added to every answer. Writes take effect before the delay.
    duration delay{0};
    /// Number of following writes that take effect and whose answer is lost.
    std::uint32_t lose_next_writes = 0;
    double lose_probability = 0;
    /// Listeners whose calls get no answer and have no effect; models a region that cannot reach the service.
    std::vector<std::string> cut_listeners;
};

struct call_limits {
    /// Calls a second; 0 for no limit.
    double reads = 0;
    double writes = 0;
};

enum class gate_verdict { pass, rate_limited, unavailable, silent };

/// Admission of calls to the key-value stand-in: rate limits, faults and counters.
class call_gate {
public:
    call_gate(call_limits limits, std::uint64_t seed)
        : reads_(limits.reads), writes_(limits.writes), random_(seed) {}

    /// Whether calls through `listener` get through at all, as far as faults go.
    [[nodiscard]] gate_verdict reachability(std::string_view listener) const;
    /// `pending_watches` count as that many reads a second.
    [[nodiscard]] gate_verdict admit(call_kind kind, std::string_view listener, std::size_t pending_watches,
                                     time_point now);
    /// True if the answer to a write that took effect must be lost. Consumes one of `lose_next_writes`.
    [[nodiscard]] bool loses_answer();
    [[nodiscard]] duration delay() const noexcept { return faults_.delay; }

    /// Changes the faults that `change` names and keeps the others. Throws `nlohmann::json::exception` for
    /// fields of the wrong type and leaves the faults as they were.
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

#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace samphiretray::agent {

/// An attempt of a request. `peer` distinguishes entries, whose request ids are unique only to them.
struct attempt_id {
    std::uint64_t peer = 0;
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id&) const = default;
};

enum class attempt_state {
    queued,
    /// A byte may have been written to the endpoint.
    running,
    finished,
    /// Refused with forwarded = false.
    refused,
};

struct attempt_settings {
    /// Ended attempts are remembered this long; longer than any message can be delayed.
    duration retention = 2min;
};

struct attempt_counts {
    std::uint64_t duplicates = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t refused_starts = 0;
};

/// The attempts at one endpoint. Each is given to the endpoint at most once.
class attempt_table {
public:
    explicit attempt_table(attempt_settings settings);

    /// Registers an attempt as queued. False for an id that is known in any state; it is then dropped.
    [[nodiscard]] bool open(const attempt_id& id, time_point now);
    /// Must succeed before the first byte is written to the endpoint; only a queued attempt can start.
    [[nodiscard]] bool start(const attempt_id& id);
    /// Ends an attempt without an answer. True certifies that it was not and will not be forwarded, also for
    /// an id that was never opened.
    [[nodiscard]] bool refuse(const attempt_id& id, time_point now);
    /// Ends a running attempt; false if it was not running.
    bool finish(const attempt_id& id, time_point now);
    /// True if bytes of an answer may be passed on; otherwise they are dropped and counted.
    [[nodiscard]] bool accept_answer(const attempt_id& id);

    [[nodiscard]] std::optional<attempt_state> state(const attempt_id& id) const;
    /// Forgets ended attempts older than the retention time.
    void expire(time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return states_.size(); }
    [[nodiscard]] const attempt_counts& counts() const noexcept { return counts_; }

private:
    void end(const attempt_id& id, attempt_state state, time_point now);

    attempt_settings settings_;
    std::map<attempt_id, attempt_state> states_;
    std::deque<std::pair<time_point, attempt_id>> ended_;
    attempt_counts counts_;
};

} // namespace samphiretray::agent

namespace samphiretray {

template <>
inline constexpr auto name_table<agent::attempt_state> =
    std::to_array<std::pair<agent::attempt_state, std::string_view>>({
        {agent::attempt_state::queued, "queued"},
        {agent::attempt_state::running, "running"},
        {agent::attempt_state::finished, "finished"},
        {agent::attempt_state::refused, "refused"},
    });

} // namespace samphiretray

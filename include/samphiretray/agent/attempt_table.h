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

/// Identifies an attempt of a request. `peer` identifies the entry, since request ids are unique only within
/// one entry.
struct attempt_id {
    std::uint64_t peer = 0;
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;

    auto operator<=>(const attempt_id&) const = default;
};

enum class attempt_state {
    queued,
    /// Bytes of the request may have been written to the endpoint.
    running,
    finished,
    /// Ended without being forwarded to the endpoint; reported as `forwarded` = false.
    refused,
};

struct attempt_settings {
    /// Ended attempts are kept this long to recognise duplicates; longer than any message can be delayed.
    duration retention = 2min;
};

struct attempt_counts {
    std::uint64_t duplicates = 0;
    std::uint64_t late_answers = 0;
    std::uint64_t refused_starts = 0;
};

/// Tracks the attempts at one endpoint, so that each is forwarded to the endpoint at most once.
class attempt_table {
public:
    explicit attempt_table(attempt_settings settings);

    /// Registers an attempt as queued. False if the id is already known in any state; the caller must then
    /// drop the duplicate.
    [[nodiscard]] bool open(const attempt_id& id, time_point now);
    /// Must succeed before the first byte is written to the endpoint; only a queued attempt can start.
    [[nodiscard]] bool start(const attempt_id& id);
    /// Refuses an attempt. True guarantees that it was not and will not be forwarded, also for an id that was
    /// never opened.
    [[nodiscard]] bool refuse(const attempt_id& id, time_point now);
    /// Ends a running attempt; false if it was not running.
    bool finish(const attempt_id& id, time_point now);
    /// True if bytes of the attempt's answer may be sent to the entry. False if they are late: the caller
    /// must drop them, and they are counted.
    [[nodiscard]] bool accept_answer(const attempt_id& id);

    [[nodiscard]] std::optional<attempt_state> state(const attempt_id& id) const;
    /// Removes attempts that ended longer ago than the retention time.
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

#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace samphiretray::rate {

/// How the servers of a service behave after their start.
struct cold_start_settings {
    /// A server is cold for this long after its start.
    duration cold_time{0};
    /// Requests a second that a cold server takes from all processes together; 0 if it takes any number.
    double requests_per_s = 0;

    [[nodiscard]] bool is_limited() const noexcept { return requests_per_s > 0; }
    bool operator==(const cold_start_settings&) const = default;
};

/// Until when a server is cold, from what is heard of it. Reports of the past never shorten a time that a
/// later event has set.
class cold_state {
public:
    /// The server has started, or whether it has is not known.
    void on_start(duration cold_time, time_point now) { extend(now + cold_time); }
    /// The server has said that it stays cold for `left`.
    void on_report(duration left, time_point now) { extend(now + left); }
    [[nodiscard]] bool is_cold(time_point now) const noexcept { return now < cold_until_; }
    [[nodiscard]] duration time_left(time_point now) const noexcept {
        return is_cold(now) ? cold_until_ - now : duration::zero();
    }

private:
    void extend(time_point until) noexcept { cold_until_ = until > cold_until_ ? until : cold_until_; }

    time_point cold_until_;
};

/// Admits requests to a cold server of which this process is the only sender: in any second no more than the
/// server takes, at least one.
class cold_window {
public:
    void set_rate(double requests_per_s) noexcept;
    [[nodiscard]] bool allows(time_point now) const { return wait_for(1, now) <= duration::zero(); }
    /// Counts a request. Called for requests to a warm server, too: it may become cold at any moment.
    void count(time_point now);
    /// Time until `requests` more may be sent, one of them then and the others before.
    [[nodiscard]] duration wait_for(std::size_t requests, time_point now) const;

private:
    static constexpr duration window = 1s;

    std::size_t max_in_window_ = 1;
    /// When the last requests were sent, at most `max_in_window_`.
    std::deque<time_point> sent_;
};

} // namespace samphiretray::rate

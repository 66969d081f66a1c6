#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/observe/metrics.h"

#include <optional>

namespace samphiretray::observe {

/// Reports that the event loop of a process is late: what has arrived at its sockets waits as long before it
/// is handled, and peers see this process as slow.
class loop_watch {
public:
    /// A loop that is late by this much is reported.
    static constexpr duration late_delay = 100ms;
    static constexpr duration report_interval = 1s;

    explicit loop_watch(metrics& registry);

    /// `longest_delay` is that since the last call. Returns the longest one since the last report, at most
    /// once in each `report_interval`, and only if the loop was late.
    [[nodiscard]] std::optional<duration> observe(duration longest_delay, time_point now);

private:
    gauge_family& delay_seconds_;
    counter_family& late_intervals_;
    duration longest_{0};
    std::optional<time_point> interval_began_at_;
};

} // namespace samphiretray::observe

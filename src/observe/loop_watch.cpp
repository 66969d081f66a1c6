#include "samphiretray/observe/loop_watch.h"

#include <algorithm>
#include <utility>

namespace samphiretray::observe {

loop_watch::loop_watch(metrics& registry)
    : delay_seconds_(registry.gauge({"samphiretray_loop_delay_seconds",
                                     "Longest time by which a timer ran late in the last second",
                                     {}})),
      late_intervals_(registry.counter(
          {"samphiretray_loop_late_total", "Seconds in which the event loop ran late", {}})) {}

std::optional<duration> loop_watch::observe(duration longest_delay, time_point now) {
    longest_ = std::max(longest_, longest_delay);
    interval_began_at_ = interval_began_at_.value_or(now);
    if (now - *interval_began_at_ < report_interval) {
        return std::nullopt;
    }
    interval_began_at_ = now;
    const duration longest = std::exchange(longest_, duration::zero());
    delay_seconds_.set({}, std::chrono::duration<double>(longest).count());
    if (longest < late_delay) {
        return std::nullopt;
    }
    late_intervals_.add({});
    return longest;
}

} // namespace samphiretray::observe

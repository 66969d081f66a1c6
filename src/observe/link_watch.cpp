#include "samphiretray/observe/link_watch.h"

#include <utility>

namespace samphiretray::observe {

link_watch::link_watch(metrics& registry)
    : link_use_(registry.gauge({"samphiretray_link_use_ratio",
                                "Part of the link that received bytes filled in the last second",
                                {}})),
      accept_pauses_(registry.counter(
          {"samphiretray_accept_pauses_total", "How often accepting paused because the link was full", {}})) {
}

bool link_watch::observe(double link_use, std::uint64_t accept_pauses, time_point now) {
    const auto more = accept_pauses - std::exchange(seen_pauses_, accept_pauses);
    link_use_.set({}, link_use);
    if (more > 0) {
        accept_pauses_.add({}, static_cast<double>(more));
    }
    const bool is_due = !reported_at_ || now - *reported_at_ >= report_interval;
    if (!is_due || accept_pauses == reported_pauses_) {
        return false;
    }
    reported_at_ = now;
    reported_pauses_ = accept_pauses;
    return true;
}

} // namespace samphiretray::observe

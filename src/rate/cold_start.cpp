#include "samphiretray/rate/cold_start.h"

#include <algorithm>

namespace samphiretray::rate {

void cold_window::set_rate(double requests_per_s) noexcept {
    constexpr double most = 10'000;
    max_in_window_ = static_cast<std::size_t>(std::clamp(requests_per_s, 1.0, most));
}

void cold_window::count(time_point now) {
    sent_.push_back(now);
    while (sent_.size() > max_in_window_) {
        sent_.pop_front();
    }
}

duration cold_window::wait_for(std::size_t requests, time_point now) const {
    if (requests == 0) {
        return duration::zero();
    }
    // The last of the requests has to come a window after the one that it follows at this distance. Those
    // before it are sent as early as they may be.
    const std::size_t whole_windows = (requests - 1) / max_in_window_;
    const std::size_t rest = (requests - 1) % max_in_window_;
    const std::size_t free = max_in_window_ - std::min(sent_.size(), max_in_window_);
    if (rest < free) {
        return window * static_cast<std::int64_t>(whole_windows);
    }
    const time_point earliest = sent_[rest - free] + window * static_cast<std::int64_t>(whole_windows + 1);
    return std::max<duration>(earliest - now, window * static_cast<std::int64_t>(whole_windows));
}

} // namespace samphiretray::rate

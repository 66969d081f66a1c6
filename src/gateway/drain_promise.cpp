#include "samphiretray/gateway/drain_promise.h"

#include <algorithm>

namespace samphiretray::gateway {

void drain_promise::on_state(bool draining, std::optional<duration> time_left,
                             std::optional<time_point> written_after) {
    if (!draining) {
        has_been_ready_ = true;
        is_draining_ = false;
        gone_at_.reset();
        return;
    }
    if (!is_draining_) {
        is_draining_ = true;
        began_after_ = has_been_ready_ ? written_after : std::nullopt;
    }
    if (time_left && written_after) {
        const time_point named = *written_after + *time_left;
        gone_at_ = std::min(gone_at_.value_or(named), named);
    }
}

void drain_promise::on_said_leaving(time_point now) {
    said_leaving_at_ = said_leaving_at_.value_or(now);
}

bool drain_promise::takes_up(time_point now) const {
    if (!is_draining_ || !began_after_) {
        return false;
    }
    const time_point began = std::min(*began_after_, said_leaving_at_.value_or(*began_after_));
    const time_point ends = std::min(began + drain_time, gone_at_.value_or(began + drain_time));
    return now < ends - take_up_margin;
}

} // namespace samphiretray::gateway

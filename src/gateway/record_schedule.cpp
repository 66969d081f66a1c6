#include "samphiretray/gateway/record_schedule.h"

#include <utility>

namespace samphiretray::gateway {

record_schedule::work record_schedule::next(bool hears_all_peers, std::uint64_t observed_cuts,
                                            time_point now) {
    const bool is_active = last_cut_at_ && now - *last_cut_at_ < active_time;
    const bool is_due = !last_exchange_at_ || now - *last_exchange_at_ >= interval;
    if (hears_all_peers || !is_active || !is_due) {
        return {};
    }
    last_exchange_at_ = now;
    return {true, std::exchange(written_cuts_, observed_cuts) != observed_cuts};
}

} // namespace samphiretray::gateway

#include "samphiretray/gateway/restart_signs.h"

#include <algorithm>

namespace samphiretray::gateway {

const restart_signs::doubt* restart_signs::find(const std::string& endpoint, time_point now) const {
    const auto found = doubts_.find(endpoint);
    return found != doubts_.end() && now - found->second.at < max_doubt ? &found->second : nullptr;
}

void restart_signs::on_broken_off(const std::string& endpoint, time_point now) {
    const doubt* known = find(endpoint, now);
    const bool is_strong = known != nullptr && (known->is_strong || now - known->at <= same_moment);
    doubts_[endpoint] = {now, is_strong};
}

void restart_signs::on_unreachable(const std::string& endpoint, time_point now) {
    doubts_[endpoint] = {now, true};
}

void restart_signs::on_record(const std::string& endpoint, bool is_new_incarnation,
                              std::optional<time_point> written_after) {
    const auto found = doubts_.find(endpoint);
    if (found != doubts_.end() && (is_new_incarnation || written_after >= found->second.at)) {
        doubts_.erase(found);
    }
}

bool restart_signs::is_version_doubtful(const std::string& endpoint, time_point now) const {
    const doubt* known = find(endpoint, now);
    return known != nullptr && known->is_strong;
}

void restart_signs::remove_doubtful(std::vector<const endpoint*>& candidates, time_point now) const {
    std::erase_if(candidates, [&](const endpoint* each) { return is_version_doubtful(each->id, now); });
    const auto has_sign = [&](const endpoint* each) { return find(each->id, now) != nullptr; };
    if (!std::ranges::all_of(candidates, has_sign)) {
        std::erase_if(candidates, has_sign);
    }
}

} // namespace samphiretray::gateway

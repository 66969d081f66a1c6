#include "samphiretray/gateway/endpoint_directory.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

bool endpoint_directory::update(endpoint value) {
    removed_at_.erase(value.id);
    const auto found = endpoints_.find(value.id);
    const bool is_new_incarnation = found == endpoints_.end() || found->second.started_at != value.started_at;
    endpoints_.insert_or_assign(value.id, std::move(value));
    return is_new_incarnation;
}

void endpoint_directory::remove(const std::string& id, bool after_outage, time_point now) {
    if (!endpoints_.contains(id)) {
        return;
    }
    if (after_outage) {
        removed_at_.try_emplace(id, now);
        return;
    }
    removed_at_.erase(id);
    endpoints_.erase(id);
}

std::vector<std::string> endpoint_directory::expire(time_point now) {
    std::vector<std::string> expired;
    for (const auto& [id, removed_at] : removed_at_) {
        if (now - removed_at >= reregistration_grace) {
            expired.push_back(id);
        }
    }
    for (const std::string& id : expired) {
        remove(id, false, now);
    }
    return expired;
}

const endpoint* endpoint_directory::find(const std::string& id) const {
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<const endpoint*> endpoint_directory::available(std::string_view service) const {
    std::vector<const endpoint*> found;
    for (const endpoint& each : endpoints_ | std::views::values) {
        if (each.service == service && !each.draining) {
            found.push_back(&each);
        }
    }
    return found;
}

std::vector<std::string> endpoint_directory::ids() const {
    std::vector<std::string> names;
    std::ranges::copy(endpoints_ | std::views::keys, std::back_inserter(names));
    return names;
}

} // namespace samphiretray::gateway

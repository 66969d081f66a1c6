#include "samphiretray/gateway/endpoint_directory.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

bool endpoint_directory::is_outdated(const endpoint& value, time_point now) const {
    if (value.started_at == 0) {
        return false;
    }
    const std::pair written{value.started_at, value.sequence};
    if (const endpoint* known = find(value.id)) {
        return written < std::pair{known->started_at, known->sequence};
    }
    const auto departed = departed_.find(value.id);
    return departed != departed_.end() && now - departed->second.at < departed_memory &&
           written <= std::pair{departed->second.started_at, departed->second.sequence};
}

bool endpoint_directory::update(endpoint value) {
    removed_at_.erase(value.id);
    departed_.erase(value.id);
    const auto found = endpoints_.find(value.id);
    const bool is_new_incarnation = found == endpoints_.end() || found->second.started_at != value.started_at;
    endpoints_.insert_or_assign(value.id, std::move(value));
    return is_new_incarnation;
}

void endpoint_directory::remove(const std::string& id, bool after_outage, time_point now) {
    const auto known = endpoints_.find(id);
    if (known == endpoints_.end()) {
        return;
    }
    if (after_outage) {
        removed_at_.try_emplace(id, now);
        return;
    }
    departed_[id] = {known->second.started_at, known->second.sequence, now};
    removed_at_.erase(id);
    endpoints_.erase(known);
}

void endpoint_directory::expire_departed(time_point now) {
    std::erase_if(departed_, [now](const auto& each) { return now - each.second.at >= departed_memory; });
}

std::vector<std::string> endpoint_directory::expire(time_point now) {
    expire_departed(now);
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

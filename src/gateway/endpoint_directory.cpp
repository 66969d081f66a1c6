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

bool endpoint_directory::update(endpoint value, std::optional<time_point> changed_after) {
    removed_at_.erase(value.id);
    departed_.erase(value.id);
    const auto found = endpoints_.find(value.id);
    const bool is_new_incarnation = found == endpoints_.end() || found->second.started_at != value.started_at;
    if (!is_new_incarnation) {
        // Software does not change while it runs, so one of the records is wrong.
        const endpoint& known = found->second;
        value.has_conflicting_versions =
            known.has_conflicting_versions ||
            (!known.software_version.empty() && known.software_version != value.software_version);
        value.software_version = value.has_conflicting_versions ? "" : value.software_version;
    }
    drain_promise& promise = drain_promises_[value.id];
    promise = is_new_incarnation ? drain_promise{} : promise;
    promise.on_state(value.draining, value.serves_for, changed_after);
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
    told_.erase(id);
    drain_promises_.erase(id);
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

endpoint_directory::told_state* endpoint_directory::told_by(const std::string& id) {
    const endpoint* known = find(id);
    if (known == nullptr) {
        return nullptr;
    }
    told_state& told = told_[id];
    if (told.started_at != known->started_at) {
        told = {known->started_at, std::nullopt, {}};
    }
    return &told;
}

const endpoint_directory::told_state* endpoint_directory::find_told(const endpoint& value) const {
    const auto found = told_.find(value.id);
    return found != told_.end() && found->second.started_at == value.started_at ? &found->second : nullptr;
}

bool endpoint_directory::note_leaving(const std::string& id, time_point now) {
    told_state* told = told_by(id);
    const bool is_new = told != nullptr && !is_leaving(*find(id), now);
    if (told != nullptr) {
        told->leaving_since = now;
        drain_promises_[id].on_said_leaving(now);
    }
    return is_new;
}

void endpoint_directory::note_pause(const std::string& id, time_point until) {
    if (told_state* told = told_by(id)) {
        told->paused_until = std::max(told->paused_until, until);
    }
}

bool endpoint_directory::is_leaving(const endpoint& value, time_point now) const {
    const told_state* told = find_told(value);
    return value.draining ||
           (told != nullptr && told->leaving_since && now - *told->leaving_since < leaving_memory);
}

duration endpoint_directory::pause_left(const endpoint& value, time_point now) const {
    const told_state* told = find_told(value);
    return told != nullptr ? std::max<duration>(told->paused_until - now, 0ms) : duration::zero();
}

std::optional<duration> endpoint_directory::pause_left(std::string_view service, time_point now) const {
    std::optional<duration> shortest;
    for (const endpoint& each : endpoints_ | std::views::values) {
        const duration left = pause_left(each, now);
        if (each.service == service && !is_leaving(each, now) && left > duration::zero()) {
            shortest = std::min(shortest.value_or(left), left);
        }
    }
    return shortest;
}

std::vector<const endpoint*> endpoint_directory::available(std::string_view service, time_point now) const {
    std::vector<const endpoint*> found;
    for (const endpoint& each : endpoints_ | std::views::values) {
        if (each.service == service && !is_leaving(each, now) && pause_left(each, now) <= duration::zero()) {
            found.push_back(&each);
        }
    }
    return found;
}

bool endpoint_directory::takes_up(const endpoint& value, time_point now) const {
    const auto promise = drain_promises_.find(value.id);
    return value.draining && promise != drain_promises_.end() && promise->second.takes_up(now) &&
           pause_left(value, now) <= duration::zero();
}

std::vector<const endpoint*> endpoint_directory::taking_up(std::string_view service, time_point now) const {
    std::vector<const endpoint*> found;
    for (const endpoint& each : endpoints_ | std::views::values) {
        if (each.service == service && takes_up(each, now)) {
            found.push_back(&each);
        }
    }
    return found;
}

std::vector<const endpoint*> endpoint_directory::all() const {
    std::vector<const endpoint*> found;
    std::ranges::transform(endpoints_ | std::views::values, std::back_inserter(found),
                           [](const endpoint& each) { return &each; });
    return found;
}

std::vector<std::string> endpoint_directory::ids() const {
    std::vector<std::string> names;
    std::ranges::copy(endpoints_ | std::views::keys, std::back_inserter(names));
    return names;
}

} // namespace samphiretray::gateway

#include "samphiretray/gateway/placement_rules.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::gateway {

namespace {

/// Fraction of what a cold server takes that its senders share out. Each of them may send what it has saved
/// at once, which comes on top in the same second.
constexpr double shared_fraction = 0.6;

} // namespace

void placement_rules::set_services(const std::vector<service>& services) {
    cold_starts_.clear();
    for (const service& each : services) {
        if (each.cold_start.is_limited()) {
            cold_starts_.emplace(each.name, each.cold_start);
        }
    }
}

const rate::cold_start_settings* placement_rules::cold_start_of(const endpoint& value) const {
    const auto found = cold_starts_.find(value.service);
    return found == cold_starts_.end() ? nullptr : &found->second;
}

void placement_rules::set_cold(const endpoint& value, duration left, time_point now) {
    const rate::cold_start_settings* settings = cold_start_of(value);
    if (settings == nullptr || left <= duration::zero()) {
        return;
    }
    cold_[value.id].on_report(left, now);
    cold_limits_.observe(value.id, settings->requests_per_s * shared_fraction, now);
}

void placement_rules::on_record(const endpoint& value, bool restarted, time_point now) {
    const rate::cold_start_settings* settings = cold_start_of(value);
    if (settings == nullptr) {
        return;
    }
    // A record that does not say whether the server is cold may be of one that has just started.
    set_cold(value, value.cold_left.value_or(restarted ? settings->cold_time : duration::zero()), now);
}

void placement_rules::on_unreachable(const endpoint& value, time_point now) {
    if (const rate::cold_start_settings* settings = cold_start_of(value)) {
        set_cold(value, settings->cold_time, now);
    }
}

void placement_rules::forget(const std::string& endpoint) {
    cold_.erase(endpoint);
    cold_limits_.forget(endpoint);
}

void placement_rules::set_cold_in(const std::string& data_centre,
                                  const std::vector<const endpoint*>& endpoints, time_point now) {
    for (const endpoint* each : endpoints) {
        const rate::cold_start_settings* settings = cold_start_of(*each);
        if (settings != nullptr && each->data_centre == data_centre) {
            set_cold(*each, settings->cold_time, now);
        }
    }
}

bool placement_rules::end_evacuation(const std::string& data_centre, bool after_outage,
                                     const std::vector<const endpoint*>& endpoints, time_point now) {
    if (!evacuations_.end(data_centre, after_outage, now)) {
        return false;
    }
    set_cold_in(data_centre, endpoints, now);
    return true;
}

std::vector<std::string> placement_rules::expire(const std::vector<const endpoint*>& endpoints,
                                                 time_point now) {
    auto ended = evacuations_.expire(now);
    for (const std::string& each : ended) {
        set_cold_in(each, endpoints, now);
    }
    return ended;
}

routing::home_regions placement_rules::homes_of(const route& matched, const organisation* owner,
                                                const routing_table* current, std::string_view host,
                                                std::string_view path) {
    routing::home_regions homes;
    homes.restrict_to(matched.allowed_regions);
    if (owner != nullptr) {
        homes.restrict_to(owner->allowed_regions);
    }
    if (current == nullptr) {
        return homes;
    }
    if (const route* changed = current->match(host, path)) {
        homes.restrict_to(changed->allowed_regions);
    }
    if (owner != nullptr) {
        const auto& organisations = current->state().organisations;
        const auto changed = std::ranges::find(organisations, owner->name, &organisation::name);
        if (changed != organisations.end()) {
            homes.restrict_to(changed->allowed_regions);
        }
    }
    return homes;
}

bool placement_rules::is_at_home(const endpoint& value, const routing::home_regions& homes) const {
    if (!homes.is_restricted()) {
        return true;
    }
    const auto region = regions_.find(value.data_centre);
    return homes.allows(region == regions_.end() ? std::nullopt
                                                 : std::optional<std::string_view>{region->second});
}

bool placement_rules::is_warm_enough(const endpoint& value, bool is_engine, time_point now) const {
    if (cold_left(value.id, now) <= duration::zero()) {
        return true;
    }
    return !is_engine && cold_limits_.allows(value.id, now);
}

void placement_rules::count_direct(const endpoint& value, time_point now) {
    if (cold_left(value.id, now) > duration::zero()) {
        (void)cold_limits_.try_take(value.id, now);
    }
}

duration placement_rules::cold_left(const std::string& endpoint, time_point now) const {
    const auto found = cold_.find(endpoint);
    return found == cold_.end() ? duration::zero() : found->second.time_left(now);
}

std::size_t placement_rules::cold_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        cold_ | std::views::values, [now](const rate::cold_state& each) { return each.is_cold(now); }));
}

} // namespace samphiretray::gateway

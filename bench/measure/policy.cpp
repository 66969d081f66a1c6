#include "bench/measure/policy.h"

#include "samphiretray/base/hash.h"

#include <algorithm>

namespace samphiretray::measure {

std::string_view name_of(policy of) {
    switch (of) {
    case policy::ours:
        return "ours";
    case policy::random:
        return "random_lru";
    case policy::least_outstanding:
        return "least_outstanding_lru";
    case policy::hashing:
        return "hashing_lru";
    }
    return "unknown";
}

agent::slot_settings slot_settings_of(policy of, std::size_t slots) {
    agent::slot_settings settings;
    settings.slots = slots;
    if (of != policy::ours) {
        settings.minimum_residence = 0s;
        settings.reserved = 0;
        settings.popularity_half_life = 0s;
    }
    return settings;
}

agent::queue_settings queue_settings_of(policy of) {
    agent::queue_settings settings;
    if (of != policy::ours) {
        settings.max_overtaken = 0;
    }
    return settings;
}

endpoint_selector::endpoint_selector(policy kind, const std::vector<routing::endpoint>& fleet,
                                     routing::location here, std::uint64_t seed)
    : kind_(kind), placement_({}, std::move(here)), outstanding_(fleet.size(), 0), random_(seed) {
    placement_.replace_endpoints(fleet);
    std::ranges::transform(fleet, std::back_inserter(names_), &routing::endpoint::name);
}

/// The usable endpoint with the lowest rank is selected.
double endpoint_selector::rank(std::size_t endpoint, const routing::placement_request& request) {
    const double random = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    switch (kind_) {
    case policy::least_outstanding:
        return outstanding_[endpoint] + random;
    case policy::hashing:
        return static_cast<double>(hash64(request.adapter.adapter, hash64(names_[endpoint])));
    default:
        return random;
    }
}

std::optional<std::string> endpoint_selector::choose(const routing::placement_request& request,
                                                     time_point now, const usable_predicate& usable) {
    if (kind_ == policy::ours) {
        const auto found = placement_.candidates(request, now, usable);
        return found.empty() ? std::nullopt : std::optional<std::string>{found.front().endpoint};
    }
    std::optional<std::string> best;
    double best_rank = 0.0;
    for (std::size_t endpoint = 0; endpoint < names_.size(); ++endpoint) {
        const bool tried = std::ranges::find(request.tried, names_[endpoint]) != request.tried.end();
        const double value = rank(endpoint, request);
        if (!tried && usable(names_[endpoint]) && (!best || value < best_rank)) {
            best = names_[endpoint];
            best_rank = value;
        }
    }
    return best;
}

void endpoint_selector::sent(const std::string& endpoint) {
    placement_.sent(endpoint);
    ++outstanding_[static_cast<std::size_t>(std::ranges::find(names_, endpoint) - names_.begin())];
}

void endpoint_selector::finished(const std::string& endpoint, std::optional<duration> occupied) {
    placement_.finished(endpoint, occupied);
    --outstanding_[static_cast<std::size_t>(std::ranges::find(names_, endpoint) - names_.begin())];
}

} // namespace samphiretray::measure

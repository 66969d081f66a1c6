#include "samphiretray/gateway/routing_table.h"

#include <algorithm>
#include <numeric>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

routing_table::routing_table(routing_state state) : state_(std::move(state)) {
    for (std::size_t i = 0; i < state_.routes.size(); ++i) {
        routes_by_host_[state_.routes[i].host].push_back(i);
    }
    for (auto& [host, indexes] : routes_by_host_) {
        std::ranges::stable_sort(indexes, std::ranges::greater{},
                                 [this](std::size_t i) { return state_.routes[i].prefix.size(); });
    }
    for (std::size_t i = 0; i < state_.organisations.size(); ++i) {
        for (const std::string& digest : state_.organisations[i].key_digests) {
            organisations_by_key_.emplace(digest, i);
        }
    }
}

const route* routing_table::match(std::string_view host, std::string_view path) const {
    const auto found = routes_by_host_.find(host);
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    const auto matching = std::ranges::find_if(
        found->second, [this, path](std::size_t i) { return path.starts_with(state_.routes[i].prefix); });
    return matching == found->second.end() ? nullptr : &state_.routes[*matching];
}

const organisation* routing_table::find_organisation_by_key(const std::string& digest) const {
    const auto found = organisations_by_key_.find(digest);
    return found == organisations_by_key_.end() ? nullptr : &state_.organisations[found->second];
}

const service* routing_table::find_service(std::string_view name) const {
    const auto found = std::ranges::find(state_.services, name, &service::name);
    return found == state_.services.end() ? nullptr : &*found;
}

const std::string& routing_table::choose_service(const route& from, std::uint64_t draw) {
    const auto weights = from.services | std::views::transform(&weighted_service::weight);
    const std::uint64_t total = std::accumulate(weights.begin(), weights.end(), std::uint64_t{0});
    std::uint64_t remaining = total == 0 ? 0 : draw % total;
    for (const weighted_service& each : from.services) {
        if (remaining < each.weight) {
            return each.service;
        }
        remaining -= each.weight;
    }
    return from.services.back().service;
}

} // namespace samphiretray::gateway

#include "samphiretray/gateway/stream_continuation.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>
#include <set>

namespace samphiretray::gateway {

std::string_view stream_attempt_of(const caller_request& caller) {
    return caller.continues_stream ? caller.resumed_attempt_id : caller.attempt_id;
}

bool serves(const route& from, std::string_view service) {
    return std::ranges::find(from.services, service, &weighted_service::service) != from.services.end();
}

bool is_version_gone(const routing::stream_origin& origin, const endpoint_directory& directory,
                     bool is_taken_up, time_point now) {
    return std::ranges::none_of(directory.all(), [&](const endpoint* each) {
        const bool serves = !each->draining || (is_taken_up && directory.takes_up(*each, now));
        return serves && routing::may_continue(origin, each->service, each->software_version);
    });
}

void add_draining(std::vector<const endpoint*>& candidates, const routing::stream_origin& origin,
                  const endpoint_directory& directory, time_point now) {
    std::ranges::copy_if(directory.taking_up(origin.service, now), std::back_inserter(candidates),
                         [&origin](const endpoint* each) {
                             return routing::may_continue(origin, each->service, each->software_version);
                         });
}

void prefer_staying(std::vector<std::string>& endpoints, const endpoint_directory& directory) {
    const auto stays = [&directory](const std::string& id) {
        const endpoint* known = directory.find(id);
        return known != nullptr && !known->draining;
    };
    if (std::ranges::any_of(endpoints, stays)) {
        std::erase_if(endpoints, std::not_fn(stays));
    }
}

continuation classify_continuation(const std::optional<routing::stream_origin>& origin, const route& from,
                                   const endpoint_directory& directory, time_point now) {
    if (!origin) {
        return continuation::unknown;
    }
    const bool is_gone = !serves(from, origin->service) || is_version_gone(*origin, directory, true, now);
    return is_gone ? continuation::gone : continuation::possible;
}

std::vector<net::address> order_origin_sources(const origin_sources& sources) {
    std::vector<net::address> ordered;
    std::set<net::address> known;
    const auto add = [&](const net::address& target) {
        if (known.insert(target).second) {
            ordered.push_back(target);
        }
    };
    const auto add_agents = [&](const std::vector<std::string>& hosts) {
        if (sources.agent_control_port != 0) {
            std::ranges::for_each(hosts, [&](const std::string& host) {
                add({host, sources.agent_control_port});
            });
        }
    };
    const auto add_entries = [&](bool is_local) {
        for (const peer_entry& each : sources.entries) {
            if ((each.data_centre == sources.data_centre) == is_local) {
                add(each.at);
            }
        }
    };
    add_agents(sources.likely_agent_hosts);
    add_entries(true);
    add_agents(sources.agent_hosts);
    add_entries(false);
    return ordered;
}

std::string answering_version(const endpoint& to, bool via_agent, duration records_age) {
    return via_agent || records_age <= max_record_age ? to.software_version : std::string{};
}

void prefer_version(std::vector<std::string>& endpoints, const routing::stream_origin& origin,
                    const endpoint_directory& directory) {
    const auto is_same = [&](const std::string& id) {
        const endpoint* known = directory.find(id);
        return known != nullptr && routing::may_continue(origin, known->service, known->software_version);
    };
    if (std::ranges::any_of(endpoints, is_same)) {
        std::erase_if(endpoints, [&](const std::string& id) { return !is_same(id); });
    }
}

} // namespace samphiretray::gateway

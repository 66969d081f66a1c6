#pragma once

#include "samphiretray/gateway/endpoint_directory.h"
#include "samphiretray/gateway/usage_exchange.h"
#include "samphiretray/net/address.h"
#include "samphiretray/routing/stream_origins.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Decisions about requests that begin streams or go on with them.
namespace samphiretray::gateway {

/// The attempt that identifies the request's stream: its own, or the one that it names as the beginning.
[[nodiscard]] std::string_view stream_attempt_of(const caller_request& caller);

/// Whether the route sends requests to the service.
[[nodiscard]] bool serves(const route& from, std::string_view service);

/// Who may know where a stream has begun.
struct origin_sources {
    std::string data_centre;
    /// 0 if agents cannot be asked.
    std::uint16_t agent_control_port = 0;
    /// Hosts of the engines that would be chosen for the request, the best first.
    std::vector<std::string> likely_agent_hosts;
    /// Hosts of all engines that may have begun the stream.
    std::vector<std::string> agent_hosts;
    std::vector<peer_entry> entries;
};

/// The addresses to ask, the most likely ones first: the agents of the likely engines, the entries of the
/// data centre, the other agents, the other entries.
[[nodiscard]] std::vector<net::address> order_origin_sources(const origin_sources& sources);

/// Keeps the endpoints of the origin's version, unless there are none.
void prefer_version(std::vector<std::string>& endpoints, const routing::stream_origin& origin,
                    const endpoint_directory& directory);

} // namespace samphiretray::gateway

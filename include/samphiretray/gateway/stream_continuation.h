#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/gateway/endpoint_directory.h"
#include "samphiretray/gateway/usage_exchange.h"
#include "samphiretray/net/address.h"
#include "samphiretray/routing/stream_origins.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Decisions about requests that begin streams or go on with them.
namespace samphiretray::gateway {

/// The attempt that identifies the request's stream: its own, or the one that it names as the beginning.
[[nodiscard]] std::string_view stream_attempt_of(const caller_request& caller);

/// Whether the route sends requests to the service.
[[nodiscard]] bool serves(const route& from, std::string_view service);

/// What becomes of a request that goes on with a stream.
enum class continuation {
    /// Nobody knows where the stream has begun.
    unknown,
    /// The route has left the service, or no server of the version is left that takes the stream up.
    gone,
    possible,
};
[[nodiscard]] continuation classify_continuation(const std::optional<routing::stream_origin>& origin,
                                                 const route& from, const endpoint_directory& directory,
                                                 time_point now);

/// Whether no server of the version that began the stream is left. A draining one counts only if a caller
/// takes the stream up, and while it still promises to serve.
[[nodiscard]] bool is_version_gone(const routing::stream_origin& origin, const endpoint_directory& directory,
                                   bool is_taken_up, time_point now);

/// Adds the draining endpoints at which a stream that a caller takes up may still go on.
void add_draining(std::vector<const endpoint*>& candidates, const routing::stream_origin& origin,
                  const endpoint_directory& directory, time_point now);

/// Removes the draining endpoints, which would soon cut the stream again, unless there are no others.
void prefer_staying(std::vector<std::string>& endpoints, const endpoint_directory& directory);

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

/// A record that was current longer ago may be that of an earlier incarnation under the same id, with other
/// software. Longer than the entries of a data centre with two of them wait for changes.
inline constexpr duration max_record_age = 4s;

/// Version of the software that answers a request to `to`; empty if it is not known. `records_age` is the
/// time since the records of endpoints were current. Agents compare the incarnation of their engine with the
/// record; a request that is sent without one relies on the record alone.
[[nodiscard]] std::string answering_version(const endpoint& to, bool via_agent, duration records_age);

/// Keeps the endpoints of the origin's version, unless there are none.
void prefer_version(std::vector<std::string>& endpoints, const routing::stream_origin& origin,
                    const endpoint_directory& directory);

} // namespace samphiretray::gateway

namespace samphiretray {

template <>
inline constexpr auto name_table<gateway::continuation> =
    std::to_array<std::pair<gateway::continuation, std::string_view>>({
        {gateway::continuation::unknown, "unknown"},
        {gateway::continuation::gone, "gone"},
        {gateway::continuation::possible, "possible"},
    });

} // namespace samphiretray

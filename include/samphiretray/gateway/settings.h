#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/log.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphiretray::gateway {

/// Settings that all processes have.
struct node_settings {
    std::string vm;
    std::string region;
    std::string data_centre;
    net::address store;
    log_level log = log_level::info;
    /// Average rate limit for log lines per second; lines above it are dropped and counted.
    std::uint32_t log_lines_per_s = 400;
    /// Time between the signal for a graceful shutdown and the kill of the process.
    duration drain_limit = 8s;
    /// Memory that the process may use, in megabytes (2^20 bytes). The bounds of what peers can make the
    /// process hold are derived from it.
    std::uint32_t memory_mb = 256;
    /// File descriptors that the process may have open; the bound of connections is derived from it.
    std::uint32_t max_descriptors = 4096;
    /// What the VM's link carries in each direction, in megabits (10^6 bits) a second; 0 if that is not
    /// known. Callers' connections are accepted no faster than their requests fit.
    double link_mbps = 0;
};

/// Bytes a second in a megabit a second.
inline constexpr double bytes_per_s_of_mbps = 1e6 / 8;

struct gateway_settings {
    node_settings node;
    /// Address for requests of callers.
    net::address listen;
    /// Address for the readiness checks of the load balancer.
    net::address ready_listen;
    /// Address for requests of peer entries, status and metrics.
    net::address control_listen;
    /// Port of the engine agents, each of which listens on the IP address of its engine.
    std::uint16_t agent_port = 0;
    /// Port of the agents' control addresses; 0 means that agents are not asked about crashes.
    std::uint16_t agent_control_port = 0;
    /// Maps each data centre to its region.
    std::map<std::string, std::string, std::less<>> regions;
    /// Retry budget of a service over all entries, as a fraction of its requests.
    double retry_ratio = 0.2;
    /// Retries that are allowed in each `retry_period` in addition to `retry_ratio`, over all entries.
    double retry_floor = 50;
    duration retry_period = 10s;
    /// Accepted overshoot of an organisation's rate limit, as a fraction of the rate and as tokens above the
    /// burst. Entries learn of each other's token usage with a delay, so the limit cannot be exact.
    double rate_tolerance = 0;
    double burst_tolerance = 0;
    /// Maximum number of concurrent requests; further ones are refused as not run.
    std::size_t max_requests = 2000;
    /// Time for which requests are still accepted after the signal for a graceful shutdown. The load balancer
    /// stops sending requests after two failed readiness checks, one second apart.
    duration drain_notice = 3s;
};

struct engine_agent_settings {
    node_settings node;
    /// Address for requests of entries.
    net::address listen;
    /// Address for status and metrics.
    net::address control_listen;
    /// Address of the engine that the agent manages.
    net::address engine;
    std::string service;
    /// Time within which the operator expects the orders to evacuate a data centre to be followed; 0 if there
    /// are none. If it is set, the agent follows them apart from the rest of the configuration.
    duration evacuation_limit{0};
    /// Time between status polls of the engine.
    duration poll_interval = 200ms;
};

/// Connections that callers, or entries, may have open at a process that may have `max_descriptors`
/// descriptors open. Each of their requests may need a connection to a server, and a part is kept for the
/// links between processes, the store, health checks and files.
[[nodiscard]] std::size_t max_caller_connections(std::uint32_t max_descriptors) noexcept;

/// Parses settings from JSON with comments. Unknown fields are errors. Errors have the code
/// `invalid_argument` and the step `settings`, and name `file`, the field, its value and the allowed values.
[[nodiscard]] result<gateway_settings> parse_gateway_settings(std::string_view text, std::string_view file);
[[nodiscard]] result<engine_agent_settings> parse_engine_agent_settings(std::string_view text,
                                                                        std::string_view file);

} // namespace samphiretray::gateway

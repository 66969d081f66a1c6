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

struct node_settings {
    std::string vm;
    std::string region;
    std::string data_centre;
    net::address store;
    log_level log = log_level::info;
    /// Log lines a second at most, on average; further ones are counted and dropped.
    std::uint32_t log_lines_per_s = 400;
    /// From the signal of a planned stop until the process would be killed.
    duration drain_limit = 8s;
};

struct gateway_settings {
    node_settings node;
    /// Callers connect here.
    net::address listen;
    /// The balancer asks here whether the process is ready.
    net::address ready_listen;
    /// Peers, status and metrics.
    net::address control_listen;
    /// Port of the agents; they listen on the addresses of their engines.
    std::uint16_t agent_port = 0;
    /// Region of each data centre.
    std::map<std::string, std::string, std::less<>> regions;
    /// Repeated requests for a service as a part of its requests, over all entries.
    double retry_ratio = 0.2;
    /// Repeated requests allowed besides in each `retry_period`, over all entries.
    double retry_floor = 50;
    duration retry_period = 10s;
    /// What operators tolerate above an organisation's limits, since entries learn of each other's requests
    /// with a delay: a part of the rate, and tokens above the burst.
    double rate_tolerance = 0;
    double burst_tolerance = 0;
    /// Requests held at once; more are refused as not run.
    std::size_t max_requests = 2000;
    /// After the signal of a planned stop, requests are taken for this long; the balancer needs two checks,
    /// one second apart, to notice.
    duration drain_notice = 3s;
};

struct engine_agent_settings {
    node_settings node;
    /// Entries connect here.
    net::address listen;
    /// Status and metrics.
    net::address control_listen;
    net::address engine;
    std::string service;
    duration poll_interval = 200ms;
};

/// Parses settings in JSON with comments. `file` is used in errors, which name file, field, value and what is
/// allowed (`errc::invalid_argument`, step `settings`). Unknown fields are refused.
[[nodiscard]] result<gateway_settings> parse_gateway_settings(std::string_view text, std::string_view file);
[[nodiscard]] result<engine_agent_settings> parse_engine_agent_settings(std::string_view text,
                                                                        std::string_view file);

} // namespace samphiretray::gateway

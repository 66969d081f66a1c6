#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/log.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Settings of one process, read from a file of JSON with comments at start.
namespace samphiretray::config {

/// Where a process is and whom it talks to; the same fields in every role.
struct common_settings {
    /// Name of the VM as in the platform's VM list.
    std::string vm;
    std::string region;
    std::string data_centre;
    /// Peers connect here.
    net::address peer_listen;
    /// Metrics, readiness, liveness and status.
    net::address admin_listen;
    net::address key_value_service;
    net::address vm_list;
    /// Shared by all processes of a deployment; at least 16 characters. Read from `cluster_secret_file` if
    /// set.
    std::string cluster_secret;
    log_level log = log_level::info;
    /// Time between two fetches of the VM list.
    duration vm_list_interval = 2s;
    /// Time between two pulls of state from each neighbour.
    duration pull_interval = 1s;
    /// Oldest evidence of contact with the key-value service with which keyed routes are served.
    duration freshness_bound = 10s;
};

struct entry_settings {
    common_settings common;
    /// Callers connect here.
    net::address listen;
    std::size_t max_body_bytes = 4U << 20U;
    std::string certificate_file;
    std::string private_key_file;
    /// Longest time of a request, and the default if the caller states none.
    duration request_timeout = 60s;
    /// Time between refusing readiness and closing, in which the balancer notices.
    duration drain_notice = 5s;
    /// Longest time that a planned stop waits for running requests.
    duration drain_limit = 120s;
    /// Requests held by one entry at once; more are refused as not run.
    std::size_t max_requests = 20'000;
    /// Number of rate shards of a region; the same for all entries.
    std::uint32_t rate_shards = 4;
    /// Number of claim shards; the same for all entries.
    std::uint32_t claim_shards = 64;
    /// What the weight store allows fleet-wide; used while this entry holds the `loads` duty.
    double loads_per_second = 2.0;
    std::uint32_t loads_in_flight = 8;
};

struct agent_settings {
    common_settings common;
    /// Name of the endpoint beside this agent.
    std::string endpoint;
    std::string service;
    /// Empty for plain services.
    std::string base_model;
    net::address endpoint_address;
    /// Requests given to the endpoint at once; 0 takes the engine's batch size.
    std::uint32_t concurrency = 0;
    /// Requests waiting at the agent at most; more are refused as not run.
    std::size_t max_queue = 512;
    duration engine_poll_interval = 500ms;
    duration drain_notice = 3s;
    duration drain_limit = 120s;
};

/// Parses settings. `file` is used in errors, which name file, field, value and what is allowed
/// (`errc::invalid_argument`, step `settings`). Unknown fields are refused.
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text, std::string_view file);
[[nodiscard]] result<agent_settings> parse_agent_settings(std::string_view text, std::string_view file);

} // namespace samphiretray::config

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

/// Settings of one process, read at start from a JSON file, which may have comments.
namespace samphiretray::config {

/// Location of a process and the addresses it uses; the same fields in every role.
struct common_settings {
    /// Name of the VM as in the platform's VM list.
    std::string vm;
    std::string region;
    std::string data_centre;
    /// Listening address for peers.
    net::address peer_listen;
    /// Listening address for metrics, readiness, liveness and status.
    net::address admin_listen;
    net::address key_value_service;
    net::address vm_list;
    /// Shared by all processes of a deployment; 16 to 4096 characters. Read from the file named by the field
    /// `cluster_secret_file` if that is set.
    std::string cluster_secret;
    log_level log = log_level::info;
    /// Time between two fetches of the VM list.
    duration vm_list_interval = 2s;
    /// Time between two pulls of state from the same peer.
    duration pull_interval = 1s;
    /// Maximum age of the evidence of contact with the key-value service; when it is older, routes that need
    /// an API key are not served.
    duration freshness_bound = 10s;
};

struct entry_settings {
    common_settings common;
    /// Listening address for callers.
    net::address listen;
    std::size_t max_body_bytes = 4U << 20U;
    std::string certificate_file;
    std::string private_key_file;
    /// Upper limit of a request's timeout, and the default if the caller states none.
    duration request_timeout = 60s;
    /// Time between reporting "not ready" and closing the listener, in which the load balancer takes the
    /// entry out of rotation.
    duration drain_notice = 5s;
    /// Maximum time that a planned stop waits for running requests.
    duration drain_limit = 120s;
    /// Maximum number of requests in an entry at once; further ones are refused as not run.
    std::size_t max_requests = 20'000;
    /// Number of rate shards of a region; the same for all entries.
    std::uint32_t rate_shards = 4;
    /// Number of claim shards; the same for all entries.
    std::uint32_t claim_shards = 64;
    /// Limits of the weight store for adapter loads of the whole fleet; used while this entry holds the
    /// `loads` duty.
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
    /// Maximum number of requests sent to the endpoint at once; 0 takes the engine's batch size.
    std::uint32_t concurrency = 0;
    /// Maximum number of requests waiting at the agent; further ones are refused as not run.
    std::size_t max_queue = 512;
    duration engine_poll_interval = 500ms;
    duration drain_notice = 3s;
    duration drain_limit = 120s;
};

/// Parse settings. Errors state the file, the field, its value and what is allowed (`errc::invalid_argument`,
/// step `settings`); `file` is the name they show. Unknown fields are refused.
[[nodiscard]] result<entry_settings> parse_entry_settings(std::string_view text, std::string_view file);
[[nodiscard]] result<agent_settings> parse_agent_settings(std::string_view text, std::string_view file);

} // namespace samphiretray::config

#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"
#include "samphiretray/ports/engine.h"
#include "samphiretray/rate/cold_start.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The HTTP gateway: data types for the operator's configuration, for the state that endpoints report, and
/// for the contents of requests.
namespace samphiretray::gateway {

/// The header by which a request continues an event stream (HTML standard, server-sent events).
inline constexpr std::string_view last_event_id_header = "last-event-id";
/// With it, the header that names the attempt that brought the first event of that stream.
inline constexpr std::string_view resumes_header = "resumes";

enum class call_kind {
    /// May be retried at any time, since it may run more than once.
    safe,
    /// Runs at most once.
    at_most_once,
    /// The response is a stream of events. Runs at most once unless the route is resumable.
    streaming,
};

struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Maps requests for one host and path prefix to the services that handle them.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::at_most_once;
    std::vector<weighted_service> services;
    /// Time limit for the whole request, including retries.
    duration timeout = 60s;
    /// Callers give up if the response has not started after this time; callers of a stream also give up
    /// after a pause of this length between events.
    duration silence_timeout{60s};
    /// Target for the time to the response, or to the first event of a stream.
    duration target_latency = 1s;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Maximum number of endpoints that one request may be sent to.
    std::uint32_t max_attempts = 1;
    /// No API key is required.
    bool is_public = false;
    /// An interrupted stream may be resumed on another endpoint after the last received event.
    bool resumable = false;
    /// Regions in which its requests may be served; empty for all.
    std::vector<std::string> allowed_regions = {};
};

/// Capacity of each engine of a service.
struct engine_capacity {
    /// Requests that run in one batch.
    std::uint32_t max_batch_size = 0;
    std::uint64_t kv_tokens = 0;
    std::uint32_t adapter_slots = 0;
    /// Base models that the engines of the service may load.
    std::vector<std::string> models;
    /// Time to load the slowest of these models from the weight store; zero if not configured.
    duration model_load_time{0};
    /// Memory for base models and adapters together, in megabytes; nothing if not configured.
    std::optional<double> weights_mb = {};
    /// By the names of the base models.
    std::map<std::string, ports::model_size, std::less<>> model_sizes = {};
};

struct service {
    std::string name;
    /// Set only for services that run model engines.
    std::optional<engine_capacity> engine;
    rate::cold_start_settings cold_start = {};
};

struct organisation {
    std::string name;
    /// SHA-256 digests of the API keys, in hexadecimal.
    std::vector<std::string> key_digests;
    /// Overrides the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Rate limit in tokens per second; 0 means unlimited.
    double rate = 0;
    /// Tokens that may be used at once above `rate`.
    double burst = 0;
    /// Tokens charged for a request that does not state its token counts.
    double default_request_tokens = 1;
    /// Regions in which its requests may be served; empty for all.
    std::vector<std::string> allowed_regions = {};
};

struct caller_limits {
    std::size_t max_body_bytes = 4U << 20U;
    duration idle_timeout = 15s;
};

/// One version of the complete routing configuration.
struct routing_state {
    /// Increases with each change. 0 if it is not known: such a configuration replaces none.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    /// The configuration lists organisations, so routes that are not public need a key. An empty list admits
    /// nobody to them.
    bool lists_organisations = false;
    caller_limits limits;
};

/// One incarnation of a running server, as listed by service discovery; its key in the store is
/// "servers/<id>".
struct endpoint {
    std::string id;
    std::string service;
    net::address address;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Start time in Unix milliseconds. It changes when the server restarts under the same id.
    std::uint64_t started_at = 0;
    /// Loaded adapters, named "model/adapter", with their versions.
    std::vector<ports::adapter_version> adapters;
    /// Rises with each record that an incarnation writes.
    std::uint64_t sequence = 0;
    /// How much longer it stays cold, if its record says so.
    std::optional<duration> cold_left = {};
    /// Version of its software; empty if that is not known, or if records of one incarnation differ in it.
    std::string software_version = {};
    /// Records of this incarnation have named more than one version.
    bool has_conflicting_versions = false;
    /// How much longer a draining server serves, if its record says so.
    std::optional<duration> serves_for = {};
};

/// The latest released version of an adapter, which is named "model/adapter".
struct adapter_release {
    std::string adapter;
    std::uint64_t version = 0;
};

/// A part of a prompt. Requests whose prompts start with the same parts can share KV cache entries.
struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/// The headers of a caller's request in decoded form.
struct caller_request {
    /// Unique for each attempt; a caller that retries a request sends a new id.
    std::string attempt_id;
    /// The request goes on with a stream whose first event this attempt has brought; empty if none is named.
    std::string resumed_attempt_id;
    /// The request goes on with a stream, after an event that the caller has received.
    bool continues_stream = false;
    /// The caller's API key.
    std::string api_key;
    /// Lower case, without port.
    std::string host;
    /// Time that the caller is willing to wait.
    std::optional<duration> time_left;
    std::string model;
    /// "model/adapter", or empty for the base model and for plain services.
    std::string adapter;
    /// True if the request states its token counts.
    bool has_tokens = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The prompt's parts in order. A cached part can be reused only if all parts before it are the same.
    std::vector<prompt_part> prefix;
};

/// Values that the gateway sets on a request when it forwards it.
struct forward_fields {
    duration time_left{0};
    /// Id of the endpoint incarnation that the request is meant for; any other one rejects it.
    std::string endpoint_id = {};
    std::string organisation = {};
    /// The adapter's version; empty if none has been released.
    std::string version = {};
    /// 0 is the most urgent.
    std::uint32_t urgency = 5;
    /// Id of the last event that the caller has received, if the request resumes a stream; empty otherwise.
    std::string resume_after = {};
};

/// A request as forwarded by an entry to an agent.
struct forwarded_request {
    caller_request caller;
    forward_fields fields;
};

/// Information from the status and headers of an endpoint's response.
struct answer_summary {
    /// Id of the attempt that the response belongs to; empty if the response has none.
    std::string attempt_id;
    /// True if the response has a signature header. The signature is not verified.
    bool is_signed = false;
    /// The endpoint states that the request has not run and will not run.
    bool not_run = false;
    /// The request was meant for another endpoint or for an adapter version that this endpoint has not
    /// loaded.
    bool misdirected = false;
    /// True if the body has a content encoding such as gzip.
    bool has_content_encoding = false;
    /// Numbers of running and waiting requests, if the endpoint reports them.
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
    /// How long work takes at the endpoint now, in percent of the usual, if it says so.
    std::optional<std::uint32_t> work_time_percent;
    /// Requests a second that the endpoint takes from all processes together, if it names a limit.
    std::optional<double> requests_per_s;
    /// The endpoint is about to shut down.
    bool is_leaving = false;
    /// The endpoint has turned the request away and wants none from this process for this long.
    std::optional<duration> pause;
};

/// The status that an engine reports.
struct engine_report {
    /// Unix milliseconds.
    std::uint64_t started_at = 0;
    /// Base models that are loaded.
    std::vector<std::string> models;
    /// True while a base model is being loaded or unloaded.
    bool busy = false;
    /// The engine is about to shut down.
    bool draining = false;
    /// How much longer a draining engine serves, if it says so.
    std::optional<duration> serves_for = {};
    /// Number of load and unload orders that the engine has accepted since its start.
    std::uint64_t order_sequence = 0;
    /// Adapters, named "model/adapter".
    std::vector<ports::adapter_version> loaded;
    std::vector<ports::adapter_version> loading;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
    /// How much longer the engine stays cold, if it says so.
    duration cold_left{0};
};

} // namespace samphiretray::gateway

namespace samphiretray {

template <>
inline constexpr auto name_table<gateway::call_kind> =
    std::to_array<std::pair<gateway::call_kind, std::string_view>>({
        {gateway::call_kind::safe, "safe"},
        {gateway::call_kind::at_most_once, "at_most_once"},
        {gateway::call_kind::streaming, "streaming"},
    });

} // namespace samphiretray

#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/address.h"
#include "samphiretray/ports/engine.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Serving HTTP callers by routes: what operators configure, what endpoints tell of themselves, and what a
/// request asks for.
namespace samphiretray::gateway {

enum class call_kind {
    /// May run more than once.
    safe,
    /// Runs at most once.
    at_most_once,
    /// Answered by a stream of events; runs at most once unless the route is resumable.
    streaming,
};

struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;
};

/// Which service answers the requests of one host below one path prefix.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    call_kind kind = call_kind::at_most_once;
    std::vector<weighted_service> services;
    /// Longest time until the final answer.
    duration timeout = 60s;
    /// Callers leave if the answer has not begun after this.
    duration longest_silence{60s};
    /// Time to the answer, or to the first event of a stream, that counts as prompt.
    duration target_latency = 1s;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Endpoints that one request may run on.
    std::uint32_t max_attempts = 1;
    /// No key is needed.
    bool is_public = false;
    bool resumable = false;
};

/// Limits of the engines of one service.
struct engine_capacity {
    /// Requests in a batch.
    std::uint32_t batch = 0;
    std::uint64_t kv_tokens = 0;
    std::uint32_t adapter_slots = 0;
    /// Base models that the engines of the service may hold.
    std::vector<std::string> models;
    /// Load of the slowest of them from the weight store; zero if it is not stated.
    duration model_load_time{0};
};

struct service {
    std::string name;
    /// Set for services of model engines.
    std::optional<engine_capacity> engine;
};

struct organisation {
    std::string name;
    std::vector<std::string> key_digests;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Tokens a second; 0 is unlimited.
    double rate = 0;
    double burst = 0;
    /// Cost of a request that states no tokens.
    double plain_tokens = 1;
};

struct caller_limits {
    std::size_t max_body_bytes = 4U << 20U;
    duration idle_timeout = 15s;
};

/// One whole configuration.
struct routing_state {
    /// Grows with each change.
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<organisation> organisations;
    caller_limits limits;
};

/// One running incarnation of a server as service discovery lists it.
struct endpoint {
    std::string id;
    std::string service;
    net::address at;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool draining = false;
    /// Changes when the server starts again under the same id; Unix milliseconds.
    std::uint64_t started_at = 0;
    /// Names as "model/adapter", with the version that is loaded.
    std::vector<ports::adapter_version> adapters;
};

/// The newest announced version of an adapter, named "model/adapter".
struct adapter_release {
    std::string adapter;
    std::uint64_t version = 0;
};

struct prompt_part {
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a caller asks for, besides method, path and body.
struct caller_request {
    /// Unique for each attempt of the caller.
    std::string attempt_id;
    std::string key;
    /// Lower case, without port.
    std::string host;
    /// Time that the caller will wait.
    std::optional<duration> time_left;
    std::string model;
    /// "model/adapter", or empty for the base model and for plain services.
    std::string adapter;
    bool has_tokens = false;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The prompt's parts in order; a part can be reused only behind the parts before it.
    std::vector<prompt_part> prefix;
};

/// What is set on a request by the system when it is passed on.
struct forward_fields {
    duration time_left{0};
    /// The incarnation that is meant; any other refuses the request.
    std::string endpoint = {};
    std::string organisation = {};
    /// The adapter's version; empty if none has been announced.
    std::string version = {};
    /// 0 is the most urgent.
    std::uint32_t urgency = 5;
    /// Id of the last event that the caller has, if a stream goes on behind it; empty otherwise.
    std::string resume_after = {};
};

/// A request as an entry passes it on to an agent.
struct forwarded_request {
    caller_request caller;
    forward_fields fields;
};

/// What the head of an endpoint's answer says.
struct answer_summary {
    /// The attempt that the answer belongs to; empty if it does not say.
    std::string attempt_id;
    /// True if the answer carries the endpoint's signature.
    bool is_signed = false;
    /// The endpoint says that the request has not run and will not.
    bool not_run = false;
    /// The endpoint is not the one that was meant, or does not hold the adapter's version.
    bool misdirected = false;
    bool is_encoded = false;
    /// Running and waiting requests, if the endpoint tells.
    std::optional<std::uint32_t> running;
    std::optional<std::uint32_t> waiting;
};

/// What an engine says of itself.
struct engine_report {
    std::uint64_t started_at = 0;
    /// Base models that are loaded.
    std::vector<std::string> models;
    /// True while an order for a base model is carried out.
    bool busy = false;
    /// The engine is about to leave.
    bool draining = false;
    /// Count of accepted orders.
    std::uint64_t order_sequence = 0;
    /// Names as "model/adapter".
    std::vector<ports::adapter_version> loaded;
    std::vector<ports::adapter_version> loading;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t kv_used = 0;
    std::uint64_t kv_total = 0;
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

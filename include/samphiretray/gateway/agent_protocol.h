#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/net/http.h"
#include "samphiretray/routing/endpoint_choice.h"

#include <cstdint>
#include <optional>
#include <string_view>

/// HTTP headers that entry gateways and engine agents exchange. They are removed before a request or response
/// reaches an endpoint or a caller.
namespace samphiretray::gateway {

/// Why an agent answered a request with an error of its own. The request has not run, except possibly with
/// `outcome_unknown` and `withdrawn`.
enum class agent_refusal {
    draining,
    /// The engine does not respond, or has no base model loaded.
    engine_down,
    /// The engine has restarted since the start time that the entry knows.
    engine_restarted,
    /// The expected wait exceeds the entry's waiting budget, or too many requests are waiting.
    busy,
    deadline,
    load_failed,
    /// The engine takes fewer requests a second than wait for it.
    limited,
    /// The request was forwarded to the engine and no valid response came back.
    outcome_unknown,
    /// The prompt has a part that crashes engines.
    quarantined,
    /// The request was taken back from the engine before an answer began, since its prompt has a part that
    /// crashes engines. It may have run.
    withdrawn,
};

/// Whether the refused request may have run.
[[nodiscard]] constexpr bool is_outcome_unknown(agent_refusal reason) noexcept {
    return reason == agent_refusal::outcome_unknown || reason == agent_refusal::withdrawn;
}

/// At-most-once requests reuse only connections that have been idle for at most this long. The peer may be
/// closing an older one, which would leave the outcome of the request unknown. During a shutdown an agent
/// keeps idle connections open for longer than this.
inline constexpr duration at_most_once_max_idle = 1500ms;

/// How long a request may wait at an agent, set by the entry. Sent in milliseconds; negative durations are
/// sent as 0.
struct waiting_budget {
    /// Longest time in the agent's queue; the entry prefers another engine to a longer wait.
    duration max_queue_wait{0};
    /// Time left until the response misses the route's target latency.
    duration until_late{0};
    /// Time left until the caller gives up if the response has not started.
    duration until_abandoned{0};
};

/// The times of a request that decide how long it may wait.
struct request_times {
    time_point arrived;
    time_point deadline;
    /// Callers give up if the answer has not begun after this time.
    duration silence_timeout{0};
    duration target_latency{0};
};

/// `round_trip` is that of the chosen endpoint. With `may_try_others` another endpoint is preferred to a long
/// wait at the first choice.
[[nodiscard]] waiting_budget make_waiting_budget(const request_times& times, duration round_trip,
                                                 bool may_try_others, time_point now);

void add_waiting_budget(net::http_headers& headers, const waiting_budget& budget);
[[nodiscard]] std::optional<waiting_budget> read_waiting_budget(const net::http_headers& headers);

/// The engine's start time as the entry knows it, in Unix milliseconds.
void add_engine_start(net::http_headers& headers, std::uint64_t started_at);
[[nodiscard]] std::optional<std::uint64_t> read_engine_start(const net::http_headers& headers);

/// Version of the engine's software as the entry knows it; nothing is added if it is empty.
void add_software_version(net::http_headers& headers, std::string_view version);
/// Empty if none is named.
[[nodiscard]] std::string_view read_software_version(const net::http_headers& headers);

/// How much longer the engine is cold, as far as the entry knows; nothing is added if it is not.
void add_engine_cold(net::http_headers& headers, duration left);
[[nodiscard]] std::optional<duration> read_engine_cold(const net::http_headers& headers);

/// Identifies one sending of a request. An agent repeats it in its response, so that the entry does not take
/// a late copy of an earlier response on the same connection for that to this request.
void add_sending(net::http_headers& headers, std::string_view sending);
/// Empty if none is named.
[[nodiscard]] std::string_view read_sending(const net::http_headers& headers);

/// Headers of responses from an agent to an entry.
void add_engine_load(net::http_headers& headers, const routing::engine_load& load);
[[nodiscard]] std::optional<routing::engine_load> read_engine_load(const net::http_headers& headers);
/// `retry_after` is the time until the reason no longer holds, if the agent knows it.
void add_refusal(net::http_headers& headers, agent_refusal reason,
                 std::optional<duration> retry_after = std::nullopt);
[[nodiscard]] std::optional<agent_refusal> read_refusal(const net::http_headers& headers);
[[nodiscard]] std::optional<duration> read_refusal_wait(const net::http_headers& headers);

/// Removes all of these headers.
void remove_agent_headers(net::http_headers& headers);

} // namespace samphiretray::gateway

namespace samphiretray {

template <>
inline constexpr auto name_table<gateway::agent_refusal> =
    std::to_array<std::pair<gateway::agent_refusal, std::string_view>>({
        {gateway::agent_refusal::draining, "draining"},
        {gateway::agent_refusal::engine_down, "engine_down"},
        {gateway::agent_refusal::engine_restarted, "engine_restarted"},
        {gateway::agent_refusal::busy, "busy"},
        {gateway::agent_refusal::deadline, "deadline"},
        {gateway::agent_refusal::load_failed, "load_failed"},
        {gateway::agent_refusal::limited, "limited"},
        {gateway::agent_refusal::outcome_unknown, "outcome_unknown"},
        {gateway::agent_refusal::quarantined, "quarantined"},
        {gateway::agent_refusal::withdrawn, "withdrawn"},
    });

} // namespace samphiretray

#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/net/http.h"
#include "samphiretray/routing/endpoint_choice.h"

#include <cstdint>
#include <optional>

/// Headers that entries and agents add for each other; they never reach callers or endpoints.
namespace samphiretray::gateway {

/// Why an agent did not pass a request on to its engine. None of these has run, except `outcome_unknown`.
enum class agent_refusal {
    draining,
    /// The engine does not answer.
    engine_down,
    /// The engine is not the one that the entry knows of: it has started again since.
    engine_restarted,
    /// The expected wait is longer than the entry accepts.
    busy,
    deadline,
    load_failed,
    /// The request was passed on and no whole answer came.
    outcome_unknown,
};

/// A request that runs at most once uses only connections that were in use lately: on an older one it may
/// meet the peer's close, and its outcome would be unknown. A stopping agent keeps its connections longer.
inline constexpr duration recent_connection = 1500ms;

/// How long a request may wait, as the entry tells the agent. Milliseconds on the way; none is negative.
struct waiting_budget {
    /// Longest wait for the engine before the entry would rather try another one.
    duration accepted{0};
    /// Time until the answer is late.
    duration until_late{0};
    /// Time until the caller leaves if the answer has not begun.
    duration until_abandoned{0};
};

void add_waiting_budget(net::http_headers& headers, const waiting_budget& budget);
[[nodiscard]] std::optional<waiting_budget> read_waiting_budget(const net::http_headers& headers);

/// The start of the engine that the entry knows of, as the engine states it.
void add_engine_start(net::http_headers& headers, std::uint64_t started_at);
[[nodiscard]] std::optional<std::uint64_t> read_engine_start(const net::http_headers& headers);

/// What an agent tells the entry.
void add_engine_load(net::http_headers& headers, const routing::engine_load& load);
[[nodiscard]] std::optional<routing::engine_load> read_engine_load(const net::http_headers& headers);
void add_refusal(net::http_headers& headers, agent_refusal reason);
[[nodiscard]] std::optional<agent_refusal> read_refusal(const net::http_headers& headers);

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
        {gateway::agent_refusal::outcome_unknown, "outcome_unknown"},
    });

} // namespace samphiretray

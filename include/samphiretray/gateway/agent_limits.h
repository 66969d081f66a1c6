#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/gateway/agent_protocol.h"

#include <cstdint>

/// Times and counts by which an engine agent decides.
namespace samphiretray::gateway {

namespace limits {

/// The engine counts as down after this many consecutive failed status polls, which takes about half a second
/// at the default poll interval.
inline constexpr std::uint32_t engine_down_polls = 3;
/// Consecutive failed loads of an adapter after which the requests waiting for it are refused.
inline constexpr std::uint32_t max_failed_loads = 3;
/// A request whose adapter is not loaded within this time is refused, so that its entry tries another engine.
/// The limit is ten times the usual load from the weight store: with a shorter one the same adapter would be
/// loaded by two engines.
inline constexpr duration max_load_wait = 2500ms;
inline constexpr duration agent_tick_interval = 20ms;
/// Queued requests are still forwarded for this long after the engine or the agent starts to drain. It is a
/// third of the shortest time after which operators require that a draining engine gets no new requests.
inline constexpr duration engine_drain_grace = 1s;
/// Size of the range of fencing numbers of one agent, which takes a new number after each engine restart.
inline constexpr std::uint64_t fencing_numbers_per_agent = 1U << 16U;
/// A graceful shutdown ends this long before the process would be killed.
inline constexpr duration agent_stop_margin = 400ms;
/// The engine runs on the same machine, so connecting is fast.
inline constexpr duration engine_connect_timeout = 150ms;
/// Longer than the idle timeout of the entries' HTTP clients, so that always the entry closes an idle
/// connection and never sends a request on one that the agent is closing.
inline constexpr duration entry_idle_timeout = 30s;
/// During a shutdown, idle connections stay open until entries no longer use them for at-most-once requests.
/// The additional time covers the longest network delay between regions and scheduling delays of a busy
/// machine.
inline constexpr duration idle_before_close = at_most_once_max_idle + 500ms;

} // namespace limits

} // namespace samphiretray::gateway

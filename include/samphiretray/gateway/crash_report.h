#pragma once

#include "samphiretray/agent/crash_recorder.h"
#include "samphiretray/base/error.h"
#include "samphiretray/base/hash.h"
#include "samphiretray/gateway/model.h"
#include "samphiretray/net/http.h"
#include "samphiretray/routing/crash_quarantine.h"
#include "samphiretray/routing/request_quarantine.h"

#include <nlohmann/json_fwd.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <ranges>
#include <string>
#include <string_view>
#include <vector>

/// The form in which processes exchange evidence about crashed servers.
namespace samphiretray::gateway {

/// The ids of the parts of a prompt that other requests may share: all but the last one, which belongs to the
/// request or its session.
[[nodiscard]] inline auto shared_part_ids(const std::vector<prompt_part>& prompt) {
    return prompt | std::views::take(std::max<std::size_t>(prompt.size(), 1) - 1) |
           std::views::transform(&prompt_part::id);
}

/// The id of the part with this hash, as the caller sent it; empty if the prompt has none.
[[nodiscard]] std::string part_name(const std::vector<prompt_part>& prompt, routing::part_key key);

/// `id` tells requests, or attempts at them, apart.
template <std::ranges::input_range Ids>
[[nodiscard]] routing::prompt_request make_prompt_request(std::uint64_t id, const Ids& part_ids) {
    routing::prompt_request request{id, {}};
    std::ranges::transform(part_ids, std::back_inserter(request.parts),
                           [](std::string_view part) { return hash64(part); });
    return request;
}

/// What all attempts at one request have in common: host, method, path with query, caller and body. `caller`
/// is the organisation; empty on routes without keys. If the body is empty, the parts of the prompt stand for
/// it.
[[nodiscard]] routing::request_key
make_request_key(const caller_request& decoded, const net::http_request& request, std::string_view caller);

/// Names an incarnation of an engine alike in all processes.
[[nodiscard]] std::string crashed_engine_name(const net::address& engine, std::uint64_t started_at);

/// An age in a report. Whatever is older than a day has long been forgotten; the limit keeps the conversion
/// to microseconds from overflowing.
[[nodiscard]] duration age_from(std::uint64_t milliseconds);

[[nodiscard]] nlohmann::json to_json(const routing::crash_evidence& evidence);
/// Fails with `protocol_error` if `value` is not crash evidence.
[[nodiscard]] result<routing::crash_evidence> crash_evidence_from(const nlohmann::json& value,
                                                                  std::string_view peer);

[[nodiscard]] nlohmann::json to_json(const routing::request_evidence& evidence);
/// Fails with `protocol_error` if `value` is not evidence about requests.
[[nodiscard]] result<routing::request_evidence> request_evidence_from(const nlohmann::json& value,
                                                                      std::string_view peer);

/// What entries and agents tell each other about crashes.
struct crash_message {
    routing::crash_evidence evidence;
    /// The parts that the sender holds back from engines; only entries announce them.
    std::vector<routing::held_part> held = {};
    /// Start of the sender's engine, in Unix milliseconds; only agents tell it.
    std::optional<std::uint64_t> engine_started_at = {};
};

/// The crash of an engine with all requests that it was running, which are logged. `suspects` is not empty.
[[nodiscard]] routing::engine_crash describe_crash(const std::vector<agent::interrupted_work>& suspects,
                                                   std::string engine, time_point now);

/// Removes the crashes that `known` has too.
void remove_known_crashes(routing::crash_evidence& evidence, const routing::crash_evidence& known);

[[nodiscard]] std::string encode(const crash_message& message);
/// Fails with `protocol_error` if `text` is not a message about crashes.
[[nodiscard]] result<crash_message> decode_crash_message(std::string_view text, std::string_view peer);

/// The time of day in Unix milliseconds, for ages that outlive processes and VMs.
[[nodiscard]] std::uint64_t wall_clock_milliseconds();

/// Evidence as an entry keeps it in the store.
struct recorded_evidence {
    routing::crash_evidence crashes;
    routing::request_evidence requests = {};
};

/// Includes the time of day of the write.
[[nodiscard]] std::string encode_recorded_evidence(const recorded_evidence& evidence,
                                                   std::uint64_t written_at_ms);
/// Adds the time since the write to the ages; a write in the future counts as one at `now_ms`. Fails with
/// `protocol_error` if `text` is not recorded evidence.
[[nodiscard]] result<recorded_evidence> decode_recorded_evidence(std::string_view text, std::string_view key,
                                                                 std::uint64_t now_ms);

} // namespace samphiretray::gateway

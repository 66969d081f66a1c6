#pragma once

#include "samphiretray/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The messages between the processes of the system. Each frame is one CBOR map with the message type in "t".
namespace samphiretray::wire {

enum class role { entry, agent };

/// Load of an endpoint, on every answer. Counts at the time of sending.
struct load_report {
    std::uint32_t running = 0;
    /// Requests that wait for a place in the batch, without those that wait for a load.
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::uint32_t slots_pinned = 0;
    /// Requests that the endpoint runs at once.
    std::uint32_t capacity = 0;
    /// Estimated wait of a new request without a load, in milliseconds.
    std::uint32_t wait_ms = 0;

    bool operator==(const load_report&) const = default;
};

/// Opens a link. `cluster_proof` shows knowledge of the cluster secret without sending it.
struct hello {
    std::string peer;
    role kind = role::entry;
    std::string region;
    std::string data_centre;
    /// Changes with every start of the process.
    std::string incarnation;
    std::string nonce;
    std::string cluster_proof;

    bool operator==(const hello&) const = default;
};

struct request_open {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    /// The caller's X-Request-Id, passed on to endpoints and logs.
    std::string request_id;
    std::string organisation;
    std::string service;
    /// Empty for plain services.
    std::string adapter;
    std::string version;
    bool priority = false;
    bool idempotent = true;
    bool streamed = false;
    /// Time left when the message was sent.
    std::uint32_t deadline_ms = 0;
    /// Upper bound of the request's cost, for fair queueing.
    std::uint32_t tokens = 0;
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;

    bool operator==(const request_open&) const = default;
};

struct request_cancel {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;

    bool operator==(const request_cancel&) const = default;
};

struct answer_head {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    std::uint16_t status = 0;
    std::string content_type;
    /// What the engine reported that it ran; empty for plain services.
    std::string adapter;
    std::string version;
    /// True if the request waited for a load of its adapter.
    bool cold = false;
    load_report load;

    bool operator==(const answer_head&) const = default;
};

struct answer_data {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    /// Offset of `bytes` in the body.
    std::uint64_t offset = 0;
    std::string bytes;

    bool operator==(const answer_data&) const = default;
};

struct answer_end {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    /// False if the answer was cut; the entry must not end it cleanly.
    bool whole = false;
    /// Length of the body, checked by the receiver.
    std::uint64_t length = 0;
    /// Tokens used (prompt and completion) if the endpoint reported them.
    std::optional<std::uint32_t> tokens;
    std::string reason;
    load_report load;

    bool operator==(const answer_end&) const = default;
};

enum class refusal {
    draining,
    queue_full,
    deadline,
    load_failed,
    endpoint_down,
    unknown_service,
    fenced,
    cancelled,
    bad_request,
};

/// Ends an attempt without an answer.
struct request_refused {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    refusal reason = refusal::draining;
    /// False certifies that no byte of the request was written to the endpoint.
    bool forwarded = true;
    std::uint32_t retry_after_ms = 0;
    std::string detail;
    load_report load;

    bool operator==(const request_refused&) const = default;
};

/// Asks a peer for its state; the sender notes its own time of sending under `round`.
struct state_pull {
    std::uint64_t round = 0;
    std::uint64_t revision = 0;

    bool operator==(const state_pull&) const = default;
};

/// Ages, not times, so that no synchronized clocks are needed.
struct region_evidence {
    std::string region;
    /// Age of the newest evidence that a watcher of the region reached the key-value service.
    std::optional<std::uint32_t> contact_age_ms;
    /// Age of the newest evidence that calls of a watcher of the region failed.
    std::optional<std::uint32_t> failure_age_ms;

    bool operator==(const region_evidence&) const = default;
};

/// A VM that announced its planned stop.
struct leaving_vm {
    std::string vm;
    std::string incarnation;

    bool operator==(const leaving_vm&) const = default;
};

struct state_reply {
    std::uint64_t round = 0;
    std::uint64_t revision = 0;
    /// Age of the newest evidence that `revision` was the newest one.
    std::optional<std::uint32_t> contact_age_ms;
    std::vector<region_evidence> regions;
    std::vector<leaving_vm> leaving;

    bool operator==(const state_reply&) const = default;
};

/// Asks for the manifest in force and for the chunks that the sender lacks.
struct config_request {
    std::uint64_t revision = 0;
    std::vector<std::string> chunks;

    bool operator==(const config_request&) const = default;
};

struct config_chunk {
    std::string digest;
    std::string text;

    bool operator==(const config_chunk&) const = default;
};

struct config_reply {
    std::uint64_t revision = 0;
    std::string manifest;
    std::vector<config_chunk> chunks;

    bool operator==(const config_reply&) const = default;
};

struct grant_request {
    std::uint64_t round = 0;
    std::string organisation;
    std::uint64_t tokens = 0;
    /// Tokens a second that the sender sees asked for.
    std::uint64_t demand = 0;
    /// Unused tokens of earlier, still valid grants, given back with this message.
    std::uint64_t returned = 0;
    /// Tokens that the sender may still spend after this message. Without it the issuer assumes that nothing
    /// of the earlier grants was spent.
    std::optional<std::uint64_t> held;
    /// Tokens that the first waiting reservation lacks; less is of no use to the sender. 0 if none waits.
    std::uint64_t least = 0;

    bool operator==(const grant_request&) const = default;
};

struct grant_reply {
    std::uint64_t round = 0;
    std::string organisation;
    std::uint64_t tokens = 0;
    /// Counted by the receiver from sending the request. Renews what the receiver still holds.
    std::uint32_t valid_ms = 0;
    /// False if the receiver does not hold the duty; the sender asks another entry.
    bool issuer = true;
    /// Time until tokens will be there, as a hint.
    std::uint32_t retry_after_ms = 0;

    bool operator==(const grant_reply&) const = default;
};

struct permit_request {
    std::uint64_t round = 0;
    std::string endpoint;
    std::string adapter;
    std::string version;
    bool priority = false;
    std::uint32_t waiting = 0;

    bool operator==(const permit_request&) const = default;
};

struct permit_reply {
    std::uint64_t round = 0;
    bool granted = false;
    /// False if the receiver does not hold the `loads` duty.
    bool issuer = true;
    std::uint32_t valid_ms = 0;

    bool operator==(const permit_reply&) const = default;
};

struct permit_cancel {
    std::uint64_t round = 0;

    bool operator==(const permit_cancel&) const = default;
};

struct permit_done {
    std::uint64_t round = 0;
    bool loaded = false;

    bool operator==(const permit_done&) const = default;
};

using message =
    std::variant<hello, request_open, request_cancel, answer_head, answer_data, answer_end, request_refused,
                 state_pull, state_reply, config_request, config_reply, grant_request, grant_reply,
                 permit_request, permit_reply, permit_cancel, permit_done>;

/// Encodes a message as CBOR.
[[nodiscard]] std::string encode(const message& value);

/// Decodes a frame. Fails with `errc::protocol_error` (step `parse`) naming the field; never throws.
[[nodiscard]] result<message> decode(std::string_view frame);

} // namespace samphiretray::wire

namespace samphiretray {

template <>
inline constexpr auto name_table<wire::role> = std::to_array<std::pair<wire::role, std::string_view>>({
    {wire::role::entry, "entry"},
    {wire::role::agent, "agent"},
});

template <>
inline constexpr auto name_table<wire::refusal> = std::to_array<std::pair<wire::refusal, std::string_view>>({
    {wire::refusal::draining, "draining"},
    {wire::refusal::queue_full, "queue_full"},
    {wire::refusal::deadline, "deadline"},
    {wire::refusal::load_failed, "load_failed"},
    {wire::refusal::endpoint_down, "endpoint_down"},
    {wire::refusal::unknown_service, "unknown_service"},
    {wire::refusal::fenced, "fenced"},
    {wire::refusal::cancelled, "cancelled"},
    {wire::refusal::bad_request, "bad_request"},
});

} // namespace samphiretray

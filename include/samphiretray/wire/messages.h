#pragma once

#include "samphiretray/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The messages between entries and agents. Each frame is one CBOR map with the message type in field "t".
namespace samphiretray::wire {

enum class role { entry, agent };

/// Load of an endpoint at the time of sending; part of every answer and refusal.
struct load_report {
    std::uint32_t running = 0;
    /// Requests that wait for a place in the batch, without those that wait for an adapter load.
    std::uint32_t queued = 0;
    std::uint32_t slots = 0;
    std::uint32_t slots_pinned = 0;
    /// Maximum number of requests that the endpoint runs at once.
    std::uint32_t capacity = 0;
    /// Estimated wait, in milliseconds, of a new request that needs no adapter load.
    std::uint32_t wait_ms = 0;

    bool operator==(const load_report&) const = default;
};

/// Opens a connection. Each side sends two: the first with its nonce, the second with `cluster_proof`, which
/// proves knowledge of the cluster secret without revealing it.
struct hello {
    std::string peer;
    role kind = role::entry;
    std::string region;
    std::string data_centre;
    /// Identifies this run of the process; a restart gives a new one.
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
    /// Time left, at sending, until the request's deadline.
    std::uint32_t deadline_ms = 0;
    /// Upper bound of the request's cost in tokens, for fair queueing.
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
    /// Adapter and version that the engine reported to have run; empty for plain services.
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
    /// False if the answer was truncated; the entry must then not end its response to the caller as if it
    /// were complete.
    bool whole = false;
    /// Length of the whole body in bytes, checked by the receiver.
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

/// Ends an attempt for which no answer was started.
struct request_refused {
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    refusal reason = refusal::draining;
    /// False only if certainly no byte of the request was written to the endpoint, so that a retry is safe.
    bool forwarded = true;
    std::uint32_t retry_after_ms = 0;
    std::string detail;
    load_report load;

    bool operator==(const request_refused&) const = default;
};

/// Requests the state of a peer. The sender records when it sent `round`, to compute ages from the reply.
struct state_pull {
    std::uint64_t round = 0;
    std::uint64_t revision = 0;

    bool operator==(const state_pull&) const = default;
};

/// Evidence whether a region reaches the key-value service. Sent as ages instead of times, so that clocks
/// need not be synchronised.
struct region_evidence {
    std::string region;
    /// Age of the newest evidence that a process of the region which watches the key-value service reached
    /// it.
    std::optional<std::uint32_t> contact_age_ms;
    /// Age of the newest evidence that calls of such a process to the key-value service failed.
    std::optional<std::uint32_t> failure_age_ms;

    bool operator==(const region_evidence&) const = default;
};

/// A VM that has announced its planned stop.
struct leaving_vm {
    std::string vm;
    std::string incarnation;

    bool operator==(const leaving_vm&) const = default;
};

struct state_reply {
    std::uint64_t round = 0;
    std::uint64_t revision = 0;
    /// Age of the newest evidence that `revision` was the newest revision in the key-value service.
    std::optional<std::uint32_t> contact_age_ms;
    std::vector<region_evidence> regions;
    std::vector<leaving_vm> leaving;

    bool operator==(const state_reply&) const = default;
};

/// Requests the receiver's manifest in force and the configuration chunks that the sender lacks.
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
    /// Tokens per second that requests at the sender ask for.
    std::uint64_t demand = 0;
    /// Unused tokens of earlier grants, still valid, that the sender returns with this message.
    std::uint64_t returned = 0;
    /// Tokens that the sender may still spend after this message. If absent, the issuer assumes that nothing
    /// of the earlier grants has been spent.
    std::optional<std::uint64_t> held;
    /// Smallest useful grant: the tokens that the first waiting reservation still lacks. 0 if none waits.
    std::uint64_t least = 0;

    bool operator==(const grant_request&) const = default;
};

struct grant_reply {
    std::uint64_t round = 0;
    std::string organisation;
    std::uint64_t tokens = 0;
    /// Validity of the grant, counted by the receiver from when it sent the request. Also extends the
    /// validity of the tokens that it still holds.
    std::uint32_t valid_ms = 0;
    /// False if the entry that sends this reply is not the issuer; the requester then asks another entry.
    bool issuer = true;
    /// Hint: time until tokens are expected to be available.
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
    /// False if the entry that sends this reply does not hold the `loads` duty.
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

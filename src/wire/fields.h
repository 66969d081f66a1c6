#pragma once

#include "samphiretray/wire/messages.h"

#include <concepts>
#include <type_traits>

namespace samphiretray::wire {

template <typename T, typename Message>
concept maybe_const = std::same_as<std::remove_const_t<T>, Message>;

// Each overload passes the name and value of every field of one message type to `visit`: text, numbers,
// enums, lists and nested structures to `visit(name, field)`, strings of arbitrary bytes to
// `visit.bytes(name, field)`. Fields that are std::optional may be absent; all others are required.

void visit_fields(auto& visit, maybe_const<load_report> auto& m) {
    visit("running", m.running);
    visit("queued", m.queued);
    visit("slots", m.slots);
    visit("slots_pinned", m.slots_pinned);
    visit("capacity", m.capacity);
    visit("wait_ms", m.wait_ms);
}

void visit_fields(auto& visit, maybe_const<hello> auto& m) {
    visit("peer", m.peer);
    visit("kind", m.kind);
    visit("region", m.region);
    visit("data_centre", m.data_centre);
    visit("incarnation", m.incarnation);
    visit("nonce", m.nonce);
    visit("cluster_proof", m.cluster_proof);
}

void visit_fields(auto& visit, maybe_const<request_open> auto& m) {
    visit("request", m.request);
    visit("attempt", m.attempt);
    visit("request_id", m.request_id);
    visit("organisation", m.organisation);
    visit("service", m.service);
    visit("adapter", m.adapter);
    visit("version", m.version);
    visit("priority", m.priority);
    visit("idempotent", m.idempotent);
    visit("streamed", m.streamed);
    visit("deadline_ms", m.deadline_ms);
    visit("tokens", m.tokens);
    visit("method", m.method);
    visit("path", m.path);
    visit("content_type", m.content_type);
    visit.bytes("body", m.body);
}

void visit_fields(auto& visit, maybe_const<request_cancel> auto& m) {
    visit("request", m.request);
    visit("attempt", m.attempt);
}

void visit_fields(auto& visit, maybe_const<answer_head> auto& m) {
    visit("request", m.request);
    visit("attempt", m.attempt);
    visit("status", m.status);
    visit("content_type", m.content_type);
    visit("adapter", m.adapter);
    visit("version", m.version);
    visit("cold", m.cold);
    visit("load", m.load);
}

void visit_fields(auto& visit, maybe_const<answer_data> auto& m) {
    visit("request", m.request);
    visit("attempt", m.attempt);
    visit("offset", m.offset);
    visit.bytes("bytes", m.bytes);
}

void visit_fields(auto& visit, maybe_const<answer_end> auto& m) {
    visit("request", m.request);
    visit("attempt", m.attempt);
    visit("whole", m.whole);
    visit("length", m.length);
    visit("tokens", m.tokens);
    visit("reason", m.reason);
    visit("load", m.load);
}

void visit_fields(auto& visit, maybe_const<request_refused> auto& m) {
    visit("request", m.request);
    visit("attempt", m.attempt);
    visit("reason", m.reason);
    visit("forwarded", m.forwarded);
    visit("retry_after_ms", m.retry_after_ms);
    visit("detail", m.detail);
    visit("load", m.load);
}

void visit_fields(auto& visit, maybe_const<state_pull> auto& m) {
    visit("round", m.round);
    visit("revision", m.revision);
}

void visit_fields(auto& visit, maybe_const<region_evidence> auto& m) {
    visit("region", m.region);
    visit("contact_age_ms", m.contact_age_ms);
    visit("failure_age_ms", m.failure_age_ms);
}

void visit_fields(auto& visit, maybe_const<leaving_vm> auto& m) {
    visit("vm", m.vm);
    visit("incarnation", m.incarnation);
}

void visit_fields(auto& visit, maybe_const<state_reply> auto& m) {
    visit("round", m.round);
    visit("revision", m.revision);
    visit("contact_age_ms", m.contact_age_ms);
    visit("regions", m.regions);
    visit("leaving", m.leaving);
}

void visit_fields(auto& visit, maybe_const<config_request> auto& m) {
    visit("revision", m.revision);
    visit("chunks", m.chunks);
}

void visit_fields(auto& visit, maybe_const<config_chunk> auto& m) {
    visit("digest", m.digest);
    visit.bytes("text", m.text);
}

void visit_fields(auto& visit, maybe_const<config_reply> auto& m) {
    visit("revision", m.revision);
    visit.bytes("manifest", m.manifest);
    visit("chunks", m.chunks);
}

void visit_fields(auto& visit, maybe_const<grant_request> auto& m) {
    visit("round", m.round);
    visit("organisation", m.organisation);
    visit("tokens", m.tokens);
    visit("demand", m.demand);
    visit("returned", m.returned);
    visit("held", m.held);
    visit("least", m.least);
}

void visit_fields(auto& visit, maybe_const<grant_reply> auto& m) {
    visit("round", m.round);
    visit("organisation", m.organisation);
    visit("tokens", m.tokens);
    visit("valid_ms", m.valid_ms);
    visit("issuer", m.issuer);
    visit("retry_after_ms", m.retry_after_ms);
}

void visit_fields(auto& visit, maybe_const<permit_request> auto& m) {
    visit("round", m.round);
    visit("endpoint", m.endpoint);
    visit("adapter", m.adapter);
    visit("version", m.version);
    visit("priority", m.priority);
    visit("waiting", m.waiting);
}

void visit_fields(auto& visit, maybe_const<permit_reply> auto& m) {
    visit("round", m.round);
    visit("granted", m.granted);
    visit("issuer", m.issuer);
    visit("valid_ms", m.valid_ms);
}

void visit_fields(auto& visit, maybe_const<permit_cancel> auto& m) {
    visit("round", m.round);
}

void visit_fields(auto& visit, maybe_const<permit_done> auto& m) {
    visit("round", m.round);
    visit("loaded", m.loaded);
}

/// Values of the field "t", in the order of the alternatives of `message`.
inline constexpr auto type_names = std::to_array<std::string_view>({
    "hello",
    "request_open",
    "request_cancel",
    "answer_head",
    "answer_data",
    "answer_end",
    "request_refused",
    "state_pull",
    "state_reply",
    "config_request",
    "config_reply",
    "grant_request",
    "grant_reply",
    "permit_request",
    "permit_reply",
    "permit_cancel",
    "permit_done",
});
static_assert(type_names.size() == std::variant_size_v<message>);

} // namespace samphiretray::wire

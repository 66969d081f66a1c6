#include "samphiretray/platform/http_key_value_service.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphiretray::platform {

namespace {

using nlohmann::json;

/// The service answers in milliseconds; a call that takes longer is treated as failed.
constexpr duration call_timeout = 1s;
/// Time beyond a watch's own limit.
constexpr duration watch_grace = 1s;

error kv_error(errc code, const std::string& peer, std::string detail) {
    return make_error(code, step::lease, peer, std::move(detail));
}

/// An answer other than success. 429 and 503 certify that nothing was done.
error status_error(int status, const std::string& peer) {
    if (status == 429 || status == 503) {
        return kv_error(errc::unavailable, peer,
                        "the service refused the call with " + std::to_string(status));
    }
    if (status == 413) {
        return kv_error(errc::too_large, peer, "the value is larger than the service takes");
    }
    return kv_error(errc::protocol_error, peer, "unexpected status " + std::to_string(status));
}

std::optional<std::uint64_t> revision_of(const json& body) {
    if (!body.is_object()) {
        return std::nullopt;
    }
    const auto found = body.find("revision");
    if (found == body.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

result<versioned_value> parse_value(const net::http_answer& answer, const std::string& peer) {
    if (answer.status == 404) {
        return versioned_value{};
    }
    if (answer.status != 200) {
        return status_error(answer.status, peer);
    }
    const json body = json::parse(answer.body, nullptr, false);
    const auto revision = revision_of(body);
    const auto value = body.is_object() ? body.find("value") : body.end();
    if (!revision || value == body.end() || !value->is_string()) {
        return kv_error(errc::protocol_error, peer, "the answer has no value and revision");
    }
    return versioned_value{value->get<std::string>(), *revision};
}

result<std::uint64_t> parse_swap(const net::http_answer& answer, const std::string& peer) {
    if (answer.status == 409) {
        return kv_error(errc::conflict, peer, "the key has another revision");
    }
    if (answer.status != 200) {
        return status_error(answer.status, peer);
    }
    const auto revision = revision_of(json::parse(answer.body, nullptr, false));
    if (!revision) {
        // The write took effect, but its revision is not known.
        return kv_error(errc::connection_closed, peer, "the answer has no revision");
    }
    return *revision;
}

} // namespace

http_key_value_service::http_key_value_service(net::http_client& client, net::address service)
    : service_(std::move(service)), peer_(net::to_string(service_)), calls_(client) {}

net::http_call http_key_value_service::make_call(std::string method, std::string target,
                                                 duration timeout) const {
    net::http_call call;
    call.peer = service_;
    call.method = std::move(method);
    call.target = std::move(target);
    call.timeout = timeout;
    return call;
}

void http_key_value_service::read(const std::string& key, completion<versioned_value> done) {
    ++reads_;
    calls_.fetch(make_call("GET", "/v1/keys/" + net::url_encode(key), call_timeout),
                 [peer = peer_, done = std::move(done)](const result<net::http_answer>& answer) {
                     done(answer ? parse_value(*answer, peer) : answer.error());
                 });
}

void http_key_value_service::watch(const std::string& key, std::uint64_t after, duration limit,
                                   completion<versioned_value> done) {
    ++reads_;
    const std::string target = "/v1/keys/" + net::url_encode(key) + "?after=" + std::to_string(after) +
                               "&wait_ms=" + std::to_string(milliseconds_in(limit));
    calls_.fetch(make_call("GET", target, limit + watch_grace),
                 [peer = peer_, done = std::move(done)](const result<net::http_answer>& answer) {
                     done(answer ? parse_value(*answer, peer) : answer.error());
                 });
}

void http_key_value_service::compare_and_swap(const swap_request& swap, completion<std::uint64_t> done) {
    ++writes_;
    json body{{"value", swap.value}, {"expected", swap.expected}};
    if (swap.lease) {
        body["lease_ms"] = milliseconds_in(*swap.lease);
    }
    auto call = make_call("PUT", "/v1/keys/" + net::url_encode(swap.key), call_timeout);
    call.headers = {{"content-type", "application/json"}};
    call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    calls_.fetch(std::move(call),
                 [peer = peer_, done = std::move(done)](const result<net::http_answer>& answer) {
                     done(answer ? parse_swap(*answer, peer) : answer.error());
                 });
}

void http_key_value_service::list(const std::string& prefix, completion<std::vector<std::string>> done) {
    ++reads_;
    calls_.fetch(make_call("GET", "/v1/keys?prefix=" + net::url_encode(prefix), call_timeout),
                 [peer = peer_, done = std::move(done)](const result<net::http_answer>& answer) {
                     if (!answer) {
                         done(answer.error());
                         return;
                     }
                     const json body = json::parse(answer->body, nullptr, false);
                     const bool valid = answer->status == 200 && body.is_object() && body.contains("keys");
                     if (!valid) {
                         done(status_error(answer->status, peer));
                         return;
                     }
                     done(body["keys"].get<std::vector<std::string>>());
                 });
}

} // namespace samphiretray::platform

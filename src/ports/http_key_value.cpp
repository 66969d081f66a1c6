#include "samphiretray/ports/http_key_value.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphiretray::ports {

static_assert(key_value_service<http_key_value_service>);

namespace {

using json = nlohmann::json;

// A value has at most one megabyte, and JSON escapes a control character as six bytes.
constexpr std::size_t max_response_bytes = 8U << 20U;

std::string key_path(const std::string& key) {
    return "/v1/keys/" + net::url_encode(key);
}

error unknown_outcome(const std::string& peer, std::string detail) {
    return make_error(errc::connection_closed, step::receive, peer, std::move(detail));
}

/// Maps a failed exchange to the errors of `key_value_service`.
error map_exchange_error(const error& failure) {
    error mapped = failure;
    const bool never_sent = failure.failed_step == step::connect || failure.failed_step == step::send;
    if (never_sent) {
        mapped.code = errc::connection_failed;
    } else if (failure.code != errc::timeout) {
        mapped.code = errc::connection_closed;
    }
    return mapped;
}

/// Maps an HTTP status other than success to an error.
error map_status_error(int status, const std::string& peer) {
    const std::string detail = "status " + std::to_string(status);
    if (status == 409) {
        return make_error(errc::conflict, step::receive, peer, "the revision differs");
    }
    // 4xx and 503 mean that the service rejected the request; with any other status the outcome is unknown.
    const bool rejected = (status >= 400 && status < 500) || status == 503;
    return rejected ? make_error(errc::unavailable, step::receive, peer, detail)
                    : unknown_outcome(peer, detail);
}

std::optional<std::uint64_t> read_revision(const json& response) {
    const auto found = response.find("revision");
    if (found == response.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

result<versioned_value> read_value_response(const net::fetched_response& response, const std::string& peer) {
    if (response.status == 404) {
        return versioned_value{};
    }
    if (response.status != 200) {
        return map_status_error(response.status, peer);
    }
    const json parsed = json::parse(response.body, nullptr, false);
    const auto revision = parsed.is_object() ? read_revision(parsed) : std::nullopt;
    if (!revision || !parsed.contains("value") || !parsed["value"].is_string()) {
        return unknown_outcome(peer, "the response has no value with a revision");
    }
    return versioned_value{parsed["value"].get<std::string>(), *revision};
}

result<std::uint64_t> read_swap_response(const net::fetched_response& response, const std::string& peer) {
    if (response.status != 200) {
        return map_status_error(response.status, peer);
    }
    const json parsed = json::parse(response.body, nullptr, false);
    const auto revision = parsed.is_object() ? read_revision(parsed) : std::nullopt;
    if (!revision) {
        return unknown_outcome(peer, "the response has no revision");
    }
    return *revision;
}

std::string swap_body(const swap_request& swap) {
    json body{{"value", swap.value}, {"expected", swap.expected_revision}};
    if (swap.lease) {
        body["lease_ms"] = milliseconds_in(*swap.lease);
    }
    // Values are UTF-8 text; without this handler, `dump` throws on invalid bytes.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

http_key_value_service::http_key_value_service(net::http_client& client, http_key_value_options options)
    : client_(client), options_(std::move(options)) {}

net::http_call http_key_value_service::make_call(std::string method, std::string target) const {
    net::http_call call;
    call.peer = options_.service;
    call.method = std::move(method);
    call.target = std::move(target);
    call.timeout = options_.timeout;
    return call;
}

void http_key_value_service::fetch_value(net::http_call call, completion<versioned_value> done) {
    const std::string peer = to_string(call.peer);
    calls_.fetch(client_, std::move(call), max_response_bytes,
                 [peer, done = std::move(done)](const result<net::fetched_response>& response) {
                     done(response ? read_value_response(*response, peer)
                                   : map_exchange_error(response.error()));
                 });
}

void http_key_value_service::read(const std::string& key, completion<versioned_value> done) {
    fetch_value(make_call("GET", key_path(key)), std::move(done));
}

void http_key_value_service::watch(const std::string& key, std::uint64_t after_revision, duration max_wait,
                                   completion<versioned_value> done) {
    net::http_call call = make_call("GET", key_path(key) + "?after=" + std::to_string(after_revision) +
                                               "&wait_ms=" + std::to_string(milliseconds_in(max_wait)));
    call.timeout += max_wait;
    fetch_value(std::move(call), std::move(done));
}

void http_key_value_service::compare_and_swap(const swap_request& swap, completion<std::uint64_t> done) {
    net::http_call call = make_call("PUT", key_path(swap.key));
    call.headers = {{"content-type", "application/json"}};
    call.body = swap_body(swap);
    const std::string peer = to_string(call.peer);
    calls_.fetch(client_, std::move(call), max_response_bytes,
                 [peer, done = std::move(done)](const result<net::fetched_response>& response) {
                     done(response ? read_swap_response(*response, peer)
                                   : map_exchange_error(response.error()));
                 });
}

} // namespace samphiretray::ports

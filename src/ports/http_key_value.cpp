#include "samphiretray/ports/http_key_value.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphiretray::ports {

static_assert(key_value_service<http_key_value_service>);

namespace {

using json = nlohmann::json;

// A value is at most one megabyte, and JSON escapes a control character with six bytes.
constexpr std::size_t max_answer_bytes = 8U << 20U;

std::string path_of(const std::string& key) {
    return "/v1/keys/" + net::url_encode(key);
}

error unclear(const std::string& peer, std::string detail) {
    return make_error(errc::connection_closed, step::receive, peer, std::move(detail));
}

/// Maps a failed exchange to the errors of the concept.
error exchange_error(const error& failure) {
    error mapped = failure;
    const bool never_sent = failure.at == step::connect || failure.at == step::send;
    if (never_sent) {
        mapped.code = errc::connection_failed;
    } else if (failure.code != errc::timeout) {
        mapped.code = errc::connection_closed;
    }
    return mapped;
}

/// Maps a status other than success.
error status_error(int status, const std::string& peer) {
    const std::string detail = "status " + std::to_string(status);
    if (status == 409) {
        return make_error(errc::conflict, step::receive, peer, "the revision differs");
    }
    // The service refuses with 4xx and 503; any other status leaves open what was done.
    const bool refused = (status >= 400 && status < 500) || status == 503;
    return refused ? make_error(errc::unavailable, step::receive, peer, detail) : unclear(peer, detail);
}

std::optional<std::uint64_t> read_revision(const json& answer) {
    const auto found = answer.find("revision");
    if (found == answer.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

result<versioned_value> read_value(const net::http_answer& answer, const std::string& peer) {
    if (answer.status == 404) {
        return versioned_value{};
    }
    if (answer.status != 200) {
        return status_error(answer.status, peer);
    }
    const json parsed = json::parse(answer.body, nullptr, false);
    const auto revision = parsed.is_object() ? read_revision(parsed) : std::nullopt;
    if (!revision || !parsed.contains("value") || !parsed["value"].is_string()) {
        return unclear(peer, "the response has no value with a revision");
    }
    return versioned_value{parsed["value"].get<std::string>(), *revision};
}

result<std::uint64_t> read_swap(const net::http_answer& answer, const std::string& peer) {
    if (answer.status != 200) {
        return status_error(answer.status, peer);
    }
    const json parsed = json::parse(answer.body, nullptr, false);
    const auto revision = parsed.is_object() ? read_revision(parsed) : std::nullopt;
    if (!revision) {
        return unclear(peer, "the response has no revision");
    }
    return *revision;
}

std::string swap_body(const swap_request& swap) {
    json body{{"value", swap.value}, {"expected", swap.expected}};
    if (swap.lease) {
        body["lease_ms"] = milliseconds_in(*swap.lease);
    }
    // Values are text; bytes that are not would otherwise be refused with an exception.
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace

http_key_value_service::http_key_value_service(net::http_client& client, http_key_value_options options)
    : client_(client), options_(std::move(options)) {}

net::http_call http_key_value_service::call_to(std::string method, std::string target) const {
    net::http_call call;
    call.peer = options_.service;
    call.method = std::move(method);
    call.target = std::move(target);
    call.timeout = options_.timeout;
    return call;
}

void http_key_value_service::fetch_value(net::http_call call, completion<versioned_value> done) {
    const std::string peer = to_string(call.peer);
    calls_.fetch(client_, std::move(call), max_answer_bytes,
                 [peer, done = std::move(done)](const result<net::http_answer>& answer) {
                     done(answer ? read_value(*answer, peer) : exchange_error(answer.error()));
                 });
}

void http_key_value_service::read(const std::string& key, completion<versioned_value> done) {
    fetch_value(call_to("GET", path_of(key)), std::move(done));
}

void http_key_value_service::watch(const std::string& key, std::uint64_t after, duration limit,
                                   completion<versioned_value> done) {
    net::http_call call = call_to("GET", path_of(key) + "?after=" + std::to_string(after) +
                                             "&wait_ms=" + std::to_string(milliseconds_in(limit)));
    call.timeout += limit;
    fetch_value(std::move(call), std::move(done));
}

void http_key_value_service::compare_and_swap(const swap_request& swap, completion<std::uint64_t> done) {
    net::http_call call = call_to("PUT", path_of(swap.key));
    call.headers = {{"content-type", "application/json"}};
    call.body = swap_body(swap);
    const std::string peer = to_string(call.peer);
    calls_.fetch(client_, std::move(call), max_answer_bytes,
                 [peer, done = std::move(done)](const result<net::http_answer>& answer) {
                     done(answer ? read_swap(*answer, peer) : exchange_error(answer.error()));
                 });
}

} // namespace samphiretray::ports

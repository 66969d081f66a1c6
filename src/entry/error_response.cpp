#include "samphiretray/entry/error_response.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphiretray::entry {

namespace {

bool is(const error& cause, errc code) noexcept {
    return cause.code == make_error_code(code);
}

net::http_headers error_headers(const refusal& value, const std::string& request_id) {
    net::http_headers headers{{"content-type", "application/json"},
                              {"x-request-id", request_id},
                              {"x-outcome", std::string{name_of(value.result)}}};
    if (value.retry_after) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*value.retry_after).count();
        headers.push_back({"retry-after", std::to_string(std::max<std::int64_t>(seconds, 1))});
    }
    return headers;
}

} // namespace

int http_status(const refusal& value) noexcept {
    const error& cause = value.cause;
    if (is(cause, errc::invalid_argument)) {
        return 400;
    }
    if (is(cause, errc::unauthorized)) {
        return 401;
    }
    if (is(cause, errc::forbidden)) {
        return 403;
    }
    if (is(cause, errc::not_found)) {
        return 404;
    }
    if (is(cause, errc::conflict)) {
        return 409;
    }
    if (is(cause, errc::too_large)) {
        return 413;
    }
    if (is(cause, errc::rate_limited)) {
        return 429;
    }
    if (is(cause, errc::timeout)) {
        return 504;
    }
    const bool refused_by_system = is(cause, errc::overloaded) || is(cause, errc::unavailable) ||
                                   is(cause, errc::draining) || is(cause, errc::load_failed) ||
                                   is(cause, errc::fenced) || is(cause, errc::connection_failed);
    return refused_by_system ? 503 : 502;
}

std::string error_body(const refusal& value, const std::string& request_id) {
    const nlohmann::json body{{"error",
                               {{"code", value.cause.code.message()},
                                {"step", name_of(value.cause.at)},
                                {"peer", value.cause.peer},
                                {"message", value.cause.detail},
                                {"outcome", name_of(value.result)},
                                {"request_id", request_id}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void send_refusal(net::http_response& response, const refusal& value, const std::string& request_id) {
    response.send(http_status(value), error_headers(value, request_id), error_body(value, request_id));
}

void abort_response(net::http_response& response, bool event_stream, const refusal& value,
                    const std::string& request_id) {
    if (event_stream) {
        response.write("event: error\ndata: " + error_body(value, request_id) + "\n\n");
    }
    response.abort();
}

} // namespace samphiretray::entry

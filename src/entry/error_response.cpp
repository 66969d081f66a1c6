#include "samphiretray/entry/error_response.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace samphiretray::entry {

namespace {

bool has_code(const error& cause, errc code) noexcept {
    return cause.code == make_error_code(code);
}

net::http_headers error_headers(const caller_error& value, const std::string& request_id) {
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

int http_status(const caller_error& value) noexcept {
    const error& cause = value.cause;
    if (has_code(cause, errc::invalid_argument)) {
        return 400;
    }
    if (has_code(cause, errc::unauthorized)) {
        return 401;
    }
    if (has_code(cause, errc::forbidden)) {
        return 403;
    }
    if (has_code(cause, errc::not_found)) {
        return 404;
    }
    if (has_code(cause, errc::conflict)) {
        return 409;
    }
    if (has_code(cause, errc::too_large)) {
        return 413;
    }
    if (has_code(cause, errc::rate_limited)) {
        return 429;
    }
    if (has_code(cause, errc::timeout)) {
        return 504;
    }
    const bool is_unavailable = has_code(cause, errc::overloaded) || has_code(cause, errc::unavailable) ||
                                has_code(cause, errc::draining) || has_code(cause, errc::load_failed) ||
                                has_code(cause, errc::fenced) || has_code(cause, errc::connection_failed);
    return is_unavailable ? 503 : 502;
}

std::string error_body(const caller_error& value, const std::string& request_id) {
    const nlohmann::json body{{"error",
                               {{"code", value.cause.code.message()},
                                {"step", name_of(value.cause.failed_step)},
                                {"peer", value.cause.peer},
                                {"message", value.cause.detail},
                                {"outcome", name_of(value.result)},
                                {"request_id", request_id}}}};
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void send_error(net::http_response& response, const caller_error& value, const std::string& request_id) {
    response.send(http_status(value), error_headers(value, request_id), error_body(value, request_id));
}

void abort_response(net::http_response& response, bool event_stream, const caller_error& value,
                    const std::string& request_id) {
    if (event_stream) {
        response.write("event: error\ndata: " + error_body(value, request_id) + "\n\n");
    }
    response.abort();
}

} // namespace samphiretray::entry

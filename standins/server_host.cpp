#include "standins/server_host.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace samphiretray::standins {

namespace {

int hex_digit(char digit) {
    const std::string text(1, digit);
    char* end = nullptr;
    const long value = std::strtol(text.c_str(), &end, 16);
    return *end == '\0' ? static_cast<int>(value) : -1;
}

} // namespace

void send_json(net::http_response& response, int status, const nlohmann::json& body,
               net::http_headers headers) {
    headers.push_back({"content-type", "application/json"});
    response.send(status, headers, body.dump());
}

void send_error(net::http_response& response, int status, std::string_view message) {
    send_json(response, status, {{"error", {{"message", message}}}});
}

net::http_handler reject_invalid_json(net::http_handler handler) {
    return [handler = std::move(handler)](net::http_request request, const response_handle& response) {
        try {
            handler(std::move(request), response);
        } catch (const nlohmann::json::exception& failure) {
            send_error(*response, 400, failure.what());
        }
    };
}

std::string percent_decode(std::string_view text) {
    std::string decoded;
    while (!text.empty()) {
        const bool escape = text.front() == '%' && text.size() > 2;
        const int high = escape ? hex_digit(text[1]) : -1;
        const int low = escape ? hex_digit(text[2]) : -1;
        const bool is_valid = high >= 0 && low >= 0;
        decoded += is_valid ? static_cast<char>(high * 16 + low) : text.front();
        text.remove_prefix(is_valid ? 3 : 1);
    }
    return decoded;
}

void model_timer::arm(std::optional<time_point> when) {
    timer_.reset();
    if (when) {
        timer_ = events_->after(std::max<duration>(0us, *when - events_->now()), action_);
    }
}

status server_host::listen(const std::string& name, const std::string& listen, net::http_handler handler) {
    const auto address = net::parse_address(listen);
    if (!address) {
        return address.error();
    }
    net::http_server_options options;
    options.listen = *address;
    auto server = net::http_server::create(*events_, options, reject_invalid_json(std::move(handler)));
    if (!server) {
        return server.error();
    }
    std::printf("listening %s %s\n", name.c_str(), net::to_string((*server)->local_address()).c_str());
    std::fflush(stdout);
    servers_.push_back(std::move(*server));
    return success();
}

void server_host::run() {
    const auto stop = [this] { events_->stop(); };
    events_->on_signal(SIGTERM, stop);
    events_->on_signal(SIGINT, stop);
    events_->run();
}

} // namespace samphiretray::standins

#include "standins/weight_store_server.h"

#include <utility>

namespace samphiretray::standins {

weight_store_server::weight_store_server(net::loop& events, const weight_store_options& options)
    : events_(&events), model_(options), timer_(events, [this] { advance(); }) {}

net::http_handler weight_store_server::handler() {
    return [this](const net::http_request& request, const response_handle& response) {
        handle(request, response);
    };
}

void weight_store_server::handle(const net::http_request& request, const response_handle& response) {
    if (request.method == "POST" && request.path == "/v1/loads") {
        load(response);
    } else if (request.method == "POST" && request.path == "/admin/faults") {
        model_.change_faults(nlohmann::json::parse(request.body), events_->now());
        send_json(*response, 200, nlohmann::json::object());
    } else if (request.path == "/admin/counters") {
        send_json(*response, 200, model_.counters());
    } else {
        send_error(*response, 404, "no such call");
    }
    timer_.arm(model_.next_event());
}

void weight_store_server::load(const response_handle& response) {
    const auto started = model_.begin(events_->now());
    if (!started) {
        send_error(*response, 429, "too many loads");
        return;
    }
    waiting_[*started] = response;
}

void weight_store_server::advance() {
    for (const auto& finished : model_.advance(events_->now())) {
        const auto node = waiting_.extract(finished.load);
        if (finished.succeeded) {
            send_json(*node.mapped(), 200, nlohmann::json::object());
        } else {
            send_error(*node.mapped(), 503, "load failed");
        }
    }
    timer_.arm(model_.next_event());
}

} // namespace samphiretray::standins

#include "standins/order_service_server.h"

#include "samphiretray/base/hash.h"

#include <utility>

namespace samphiretray::standins {

order_service_server::order_service_server(net::loop& events, std::string name,
                                           const order_service_options& options)
    : events_(&events), name_(std::move(name)), workers_(options.workers),
      incarnation_(name_ + "-" + random_hex(4)), model_(options), timer_(events, [this] { advance(); }) {}

net::http_handler order_service_server::handler() {
    return [this](const net::http_request& request, const response_handle& response) {
        handle(request, response);
    };
}

void order_service_server::handle(const net::http_request& request, const response_handle& response) {
    if (handle_admin(request, response)) {
        return;
    }
    seen_.add(request);
    if (request.method == "POST" && request.path.ends_with("/orders")) {
        begin_order(request, response);
    } else {
        echo(request, response);
    }
}

bool order_service_server::handle_admin(const net::http_request& request, const response_handle& response) {
    if (request.path == "/v1/state") {
        send_json(*response, 200,
                  {{"incarnation", incarnation_},
                   {"slots", 0},
                   {"batch", workers_},
                   {"loaded", nlohmann::json::array()},
                   {"running", model_.running() + model_.waiting()}});
    } else if (request.path == "/admin/orders") {
        send_json(*response, 200, model_.orders());
    } else if (request.path == "/admin/seen") {
        send_json(*response, 200, seen_.all());
    } else if (request.path == "/admin/counters") {
        send_json(*response, 200, model_.counters());
    } else if (request.method == "POST" && request.path == "/admin/faults") {
        model_.change_faults(nlohmann::json::parse(request.body));
        send_json(*response, 200, nlohmann::json::object());
    } else {
        return false;
    }
    return true;
}

void order_service_server::begin_order(const net::http_request& request, const response_handle& response) {
    const auto document = nlohmann::json::parse(request.body);
    const auto call = model_.begin(document.at("order").get<std::string>(), events_->now());
    if (!call) {
        send_error(*response, 503, "order refused");
        return;
    }
    waiting_[*call] = response;
    timer_.arm(model_.next_event());
}

void order_service_server::echo(const net::http_request& request, const response_handle& response) const {
    send_json(
        *response, 200,
        {{"service", name_}, {"method", request.method}, {"path", request.path}, {"body", request.body}});
}

void order_service_server::finish(const finished_order& finished) {
    const auto node = waiting_.extract(finished.call);
    net::http_response& response = *node.mapped();
    if (finished.reply == reply_outcome::lost) {
        response.abort();
        return;
    }
    send_json(response, 200, {{"order", finished.order}, {"runs", finished.runs}, {"server", name_}},
              {{"x-load", std::to_string(model_.running() + model_.waiting())}});
}

void order_service_server::advance() {
    for (const finished_order& finished : model_.advance(events_->now())) {
        finish(finished);
    }
    timer_.arm(model_.next_event());
}

} // namespace samphiretray::standins

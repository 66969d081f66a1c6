#include "standins/engine_server.h"

#include "samphiretray/base/log.h"

#include <utility>

namespace samphiretray::standins {

namespace {

constexpr duration weight_store_timeout = 120s;

struct adapter_command {
    std::string name;
    std::uint64_t fencing = 0;
};

adapter_command parse_command(const std::string& body) {
    const auto document = nlohmann::json::parse(body);
    return {document.at("lora_name").get<std::string>(), document.value("fencing", std::uint64_t{0})};
}

nlohmann::json error_body(std::string_view message) {
    return {{"error", {{"message", message}}}};
}

} // namespace

engine_server::engine_server(net::loop& events, const engine_options& options,
                             std::optional<net::address> weight_store)
    : events_(&events), model_(options), weight_store_(std::move(weight_store)),
      client_(net::http_client::create(events)), timer_(events, [this] { advance(); }) {}

net::http_handler engine_server::handler() {
    return [this](const net::http_request& request, const response_handle& response) {
        handle(request, response);
    };
}

void engine_server::handle(const net::http_request& request, const response_handle& response) {
    if (handle_admin(request, response)) {
        return;
    }
    if (pause_timer_) {
        paused_requests_.emplace_back(request, response);
        return;
    }
    serve(request, response);
}

bool engine_server::handle_admin(const net::http_request& request, const response_handle& response) {
    if (request.path == "/admin/seen") {
        reply(*response, 200, seen_.all());
    } else if (request.path == "/admin/counters") {
        reply(*response, 200, model_.counters());
    } else if (request.path == "/admin/faults" && request.method == "POST") {
        change_faults(nlohmann::json::parse(request.body));
        reply(*response, 200, nlohmann::json::object());
    } else {
        return false;
    }
    return true;
}

void engine_server::serve(const net::http_request& request, const response_handle& response) {
    seen_.add(request);
    if (request.path == "/v1/completions") {
        complete(completion_kind::text, request, response);
    } else if (request.path == "/v1/chat/completions") {
        complete(completion_kind::chat, request, response);
    } else if (request.path == "/v1/load_lora_adapter") {
        load(request, response);
    } else if (request.path == "/v1/unload_lora_adapter") {
        unload(request, response);
    } else if (request.path == "/v1/state") {
        reply(*response, 200, model_.state(events_->now()));
    } else {
        reply(*response, 404, error_body("no such call"));
    }
}

void engine_server::complete(completion_kind kind, const net::http_request& request,
                             const response_handle& response) {
    if (!response->is_open()) {
        // The caller closed the connection while the engine was paused.
        return;
    }
    completion_request wanted = parse_completion(kind, request.body);
    const std::string model = wanted.batch.model;
    const auto id = model_.submit(std::move(wanted.batch), events_->now());
    if (!id) {
        reply(*response, 404, error_body("the model " + model + " does not exist"));
        return;
    }
    const std::string prefix = kind == completion_kind::chat ? "chatcmpl-" : "cmpl-";
    running_.emplace(
        *id, running_completion{response, {kind, prefix + std::to_string(*id), model}, wanted.stream});
    response->on_closed(lifetime_.guard([this, id = *id] {
        model_.cancel(id);
        running_.erase(id);
    }));
    timer_.arm(model_.next_event());
}

void engine_server::load(const net::http_request& request, const response_handle& response) {
    const adapter_command command = parse_command(request.body);
    switch (model_.begin_load(command.name, command.fencing)) {
    case begin_load_result::start:
        return start_load(command.name, response);
    case begin_load_result::already_loading:
        loads_[command.name].callers.push_back(response);
        return;
    case begin_load_result::already_loaded:
        return reply(*response, 200, nlohmann::json::object());
    case begin_load_result::fenced:
        return reply(*response, 409, error_body("old fencing number"));
    case begin_load_result::no_slot:
        return reply(*response, 507, error_body("no free slot"));
    }
}

void engine_server::unload(const net::http_request& request, const response_handle& response) {
    const adapter_command command = parse_command(request.body);
    switch (model_.unload(command.name, command.fencing)) {
    case unload_result::done:
        reply(*response, 200, nlohmann::json::object());
        break;
    case unload_result::not_loaded:
        reply(*response, 404, error_body("not loaded"));
        break;
    case unload_result::fenced:
        reply(*response, 409, error_body("old fencing number"));
        break;
    }
    timer_.arm(model_.next_event());
}

void engine_server::start_load(const std::string& name, const response_handle& response) {
    running_load& load = loads_[name];
    load = {{response}, model_.incarnation()};
    if (!weight_store_) {
        load.timer = events_->after(local_load_time, [this, name] { finish_load(name, true); });
        return;
    }
    net::http_call call;
    call.peer = *weight_store_;
    call.method = "POST";
    call.target = "/v1/loads";
    call.headers = {{"content-type", "application/json"}};
    call.body = nlohmann::json{{"name", name}}.dump();
    call.timeout = weight_store_timeout;
    load.call = client_->fetch(std::move(call), [this, name](const result<net::http_answer>& answer) {
        finish_load(name, answer && answer->status == 200);
    });
}

void engine_server::finish_load(const std::string& name, bool succeeded) {
    auto node = loads_.extract(name);
    running_load& load = node.mapped();
    const bool is_loaded = model_.finish_load(name, succeeded, load.incarnation);
    for (const response_handle& caller : load.callers) {
        reply(*caller, is_loaded ? 200 : 502,
              is_loaded ? nlohmann::json::object() : error_body("load failed"));
    }
    // This runs in a callback of the load's timer or HTTP exchange, which must not be destroyed before it
    // returns.
    events_->post([held = std::make_shared<running_load>(std::move(load))] {});
}

void engine_server::change_faults(const nlohmann::json& change) {
    cut_next_ = change.value("cut_next", cut_next_);
    if (change.contains("fail_loads")) {
        model_.fail_next_loads(change["fail_loads"].get<std::uint32_t>());
    }
    if (change.contains("pause_ms")) {
        pause(std::chrono::milliseconds{change["pause_ms"].get<std::int64_t>()});
    }
    if (change.value("restart", false)) {
        model_.restart();
        for (auto& [name, load] : std::exchange(loads_, {})) {
            for (const response_handle& caller : load.callers) {
                caller->abort();
            }
        }
    }
    timer_.arm(model_.next_event());
}

void engine_server::pause(duration length) {
    model_.pause();
    pause_timer_ = events_->after(length, [this] { events_->post(lifetime_.guard([this] { resume(); })); });
}

void engine_server::resume() {
    pause_timer_.reset();
    model_.resume(events_->now());
    for (const auto& [request, response] : std::exchange(paused_requests_, {})) {
        reject_invalid_json([this](const net::http_request& held, const response_handle& caller) {
            serve(held, caller);
        })(request, response);
    }
    timer_.arm(model_.next_event());
}

void engine_server::reply(net::http_response& response, int status, const nlohmann::json& body) const {
    response.send(status, headers("application/json"), body.dump());
}

void engine_server::on_event(const batch_event& event) {
    const auto found = running_.find(event.request);
    if (found == running_.end()) {
        return;
    }
    if (event.what == batch_event::kind::token) {
        send_token(found->second, event.text);
        return;
    }
    auto node = running_.extract(found);
    running_completion& running = node.mapped();
    const bool is_cut = cut_next_ > 0 && event.what == batch_event::kind::finished;
    cut_next_ -= is_cut ? 1 : 0;
    if (is_cut || event.what == batch_event::kind::aborted) {
        running.response->abort();
        return;
    }
    send_last(running, {event.prompt_tokens, event.completion_tokens, event.reached_limit});
}

void engine_server::send_token(running_completion& running, const std::string& text) const {
    if (!running.stream) {
        running.text += text;
        return;
    }
    if (!running.response->is_started()) {
        running.response->start(200, headers("text/event-stream"));
    }
    running.response->write(running.writer.token_event(text));
}

void engine_server::send_last(running_completion& running, const completion_usage& usage) const {
    if (!running.stream) {
        running.response->send(200, headers("application/json"),
                               running.writer.response_body(running.text, usage));
        return;
    }
    running.response->write(running.writer.last_event(usage));
    running.response->finish();
}

void engine_server::advance() {
    for (const batch_event& event : model_.advance(events_->now())) {
        on_event(event);
    }
    timer_.arm(model_.next_event());
}

net::http_headers engine_server::headers(std::string_view content_type) const {
    return {{"content-type", std::string{content_type}}, {"x-engine-incarnation", model_.incarnation()}};
}

} // namespace samphiretray::standins

#include "soak/platform_server.h"

#include "samphiretray/base/text.h"

#include "soak/stream_callers.h"

#include <array>
#include <stdexcept>

namespace samphiretray::soak {

namespace {

using json = nlohmann::json;

constexpr std::size_t adapter_slots = 3;
constexpr duration service_time = 15ms;
constexpr duration load_time = 60ms;
constexpr duration prompt_crash_downtime = 400ms;
constexpr duration order_delay = 1500ms;
constexpr int event_count = 4;
/// Time between the events of a resumable stream.
constexpr duration event_interval = 40ms;
/// Time between writes of a response that does not end.
constexpr duration write_interval = 5ms;
/// Outcomes of successive responses while response faults are on.
constexpr std::array faulty_outcomes{response_outcome::dropped,  response_outcome::truncated,
                                     response_outcome::replayed, response_outcome::endless,
                                     response_outcome::stalled,  response_outcome::failed};

/// The service of the route that the path belongs to.
std::string_view service_of(std::string_view path) {
    return path.starts_with("/e/") || path.starts_with(resumable_prefix) ? "engines"
           : path.starts_with("/l/")                                     ? "lookups"
                                                                         : "orders";
}

std::string header(const net::http_request& request, std::string_view name) {
    return std::string{net::find_header(request.headers, name)};
}

} // namespace

std::string expected_body(const std::string& attempt) {
    std::string body;
    for (int event = 1; event <= event_count; ++event) {
        body += "id: " + std::to_string(event) + "\ndata: " + attempt + "\n\n";
    }
    return body;
}

platform_server::platform_server(net::loop& events, server_description description,
                                 invariant_checker& checker)
    : loop_(events), description_(std::move(description)), checker_(checker) {
    listen();
}

void platform_server::run_after(duration delay, std::function<void()> action) {
    const std::uint64_t id = next_timer_++;
    timers_[id] = loop_.after(delay, [this, id, action = std::move(action)] {
        loop_.post([kept = std::make_shared<net::timer_handle>(std::move(timers_.at(id)))] {});
        timers_.erase(id);
        action();
    });
}

void platform_server::listen() {
    auto created = net::http_server::create(
        loop_, {description_.listen},
        [this](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
            handle_request(request, response);
        });
    if (!created) {
        throw std::runtime_error(to_string(created.error()));
    }
    server_ = std::move(*created);
    ++start_count_;
    id_count_ += next_start_ == restart_kind::same_id ? 0 : 1;
    id_ = description_.id + "-" + std::to_string(id_count_);
    if (next_start_ == restart_kind::other_service) {
        std::swap(description_.service, description_.other_service);
    }
    ++incarnation_;
    started_at_ = loop_.now();
    runs_while_cold_.clear();
}

void platform_server::check_run(const net::http_request& request, const std::string& attempt) {
    const time_point now = loop_.now();
    if (request.path.starts_with(home_prefix) && description_.data_centre != home_data_centre) {
        checker_.add_violation(id_ + " runs " + attempt + " outside its home", now);
    }
    if (no_runs_from_ && now >= *no_runs_from_) {
        checker_.add_violation(id_ + " runs " + attempt + " in an evacuated data centre", now);
    }
    if (service_of(request.path) != description_.service) {
        checker_.add_violation(
            id_ + " of " + description_.service + " runs " + attempt + " of another service", now);
    }
    if (!description_.is_engine || incarnation_ == 1 || now - started_at_ >= cold_time) {
        return;
    }
    // The excess that operators accept.
    constexpr double allowed = cold_requests_per_s * 1.5 + 5;
    runs_while_cold_.push_back(now);
    if (static_cast<double>(runs_while_cold_.size()) > allowed) {
        checker_.add_violation(id_ + " is cold and gets too many requests", now);
    }
}

void platform_server::crash(duration downtime, restart_kind kind) {
    if (!is_up()) {
        return;
    }
    const bool has_other_service = !description_.other_service.empty();
    next_start_ = kind == restart_kind::other_service && !has_other_service ? restart_kind::new_id : kind;
    announce(announcement::none);
    loop_.post([stopped = std::shared_ptr<net::http_server>(std::move(server_))] {});
    sequence_ = 0;
    highest_fencing_number_ = 0;
    models_.clear();
    adapters_.clear();
    run_after(downtime, [this] { listen(); });
}

std::string platform_server::registration() const {
    json models = json::array();
    if (description_.is_engine && !models_.empty()) {
        models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", json::array()}});
    }
    return json{{"service", description_.service},
                {"address", net::to_string(description_.advertised)},
                {"zone", description_.data_centre},
                {"version", software_version()},
                {"slots", 16},
                {"state", "ready"},
                {"seq", sequence_},
                {"born", incarnation_},
                {"coldMs", std::max<std::int64_t>(milliseconds_in(started_at_ + cold_time - loop_.now()), 0)},
                {"models", models}}
        .dump();
}

std::string platform_server::report() const {
    json adapters = json::array();
    for (const auto& [name, version] : adapters_) {
        adapters.push_back(name + "@" + std::to_string(version));
    }
    json models = json::array();
    if (!models_.empty()) {
        models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", adapters}});
    }
    return json{{"models", models}, {"busy", false}, {"seq", sequence_}, {"born", incarnation_}}.dump();
}

void platform_server::handle_request(const net::http_request& request,
                                     const std::shared_ptr<net::http_response>& response) {
    if (request.path == "/v1/report") {
        response->send(200, {}, report());
    } else if (request.path == "/v1/order") {
        handle_order(request, response);
    } else {
        run_request(request, response);
    }
}

void platform_server::handle_order(const net::http_request& request,
                                   const std::shared_ptr<net::http_response>& response) {
    const json order_body = json::parse(request.body);
    checker_.on_engine_order(description_.id, order_body["owner"], order_body["fencingToken"],
                             highest_fencing_number_);
    if (delays_orders_) {
        run_after(order_delay, [this, order_body, response] { (void)execute_order(order_body); });
        return;
    }
    response->send(execute_order(order_body), {}, "");
}

int platform_server::execute_order(const json& order_body) {
    if (!is_up()) {
        return 503;
    }
    const std::uint64_t fencing_number = order_body["fencingToken"];
    if (fencing_number < highest_fencing_number_) {
        return 412;
    }
    highest_fencing_number_ = fencing_number;
    if (order_body.contains("precondition") && order_body["precondition"] != sequence_) {
        return 409;
    }
    const bool is_load = order_body["operation"] == "load";
    if (!order_body.contains("adapter")) {
        ++sequence_;
        run_after(load_time, [this, incarnation = incarnation_] {
            if (incarnation == incarnation_) {
                models_ = {"m0"};
            }
        });
        return 202;
    }
    if (models_.empty()) {
        return 400;
    }
    ++sequence_;
    const std::string name = order_body["adapter"];
    if (!is_load) {
        adapters_.erase(name);
        return 200;
    }
    adapters_[name] = order_body.value("version", std::uint64_t{1});
    if (adapters_.size() > adapter_slots) {
        checker_.on_engine_overloaded(id_);
    }
    return 202;
}

void platform_server::run_request(const net::http_request& request,
                                  const std::shared_ptr<net::http_response>& response) {
    const std::string attempt = header(request, "x-samphiretray-attempt-id");
    const std::string model = header(request, "x-samphiretray-model");
    const auto slash = model.find('/');
    const bool lacks_adapter = slash != std::string::npos && !adapters_.contains(model.substr(slash + 1));
    if (header(request, "x-samphiretray-expect-instance") != id_ || lacks_adapter ||
        (description_.is_engine && models_.empty())) {
        response->send(421, {{"x-samphiretray-attempt-id", attempt}, {"x-samphiretray-instance-id", id_}},
                       "");
        return;
    }
    if (refuses_ && ++refusable_count_ % 2 == 0) {
        net::http_headers headers{{"x-samphiretray-attempt-id", attempt},
                                  {"x-samphiretray-not-executed", "1"}};
        add_announcement(headers);
        response->send(503, headers, "");
        return;
    }
    const auto counts = split(net::find_header(request.headers, "x-samphiretray-token-count"), ',');
    const double tokens = counts.empty() ? 1 : parse_number<int>(counts[0]).value_or(1);
    const bool key_seen = !net::find_header(request.headers, "x-samphiretray-credential").empty();
    check_run(request, attempt);
    checker_.on_attempt_run(id_, attempt, header(request, "x-samphiretray-tenant"), key_seen, tokens,
                            loop_.now());
    const auto outcome = has_response_faults_
                             ? faulty_outcomes.at(faulty_response_count_++ % faulty_outcomes.size())
                             : response_outcome::complete;
    const std::string id = id_;
    const bool is_crashing = request.body == crashing_body;
    const bool crashes_on_prompt =
        description_.is_engine &&
        net::find_header(request.headers, "x-samphiretray-prompt-prefix").find(crashing_part) !=
            std::string_view::npos;
    if (is_crashing || crashes_on_prompt) {
        run_after(service_time, [this, response, attempt, id, cause = is_crashing ? request.path : ""] {
            crash_while_running(response, attempt, id, cause);
        });
        return;
    }
    if (request.path.starts_with(resumable_prefix)) {
        const auto last = parse_number<std::size_t>(header(request, "last-event-id")).value_or(0);
        response->start(200, {{"x-samphiretray-attempt-id", attempt},
                              {"x-samphiretray-server-seal", "seal"},
                              {"content-type", "text/event-stream"}});
        write_stream(response, last + 1, outcome != response_outcome::complete);
        return;
    }
    run_after(service_time, [this, response, attempt, outcome, incarnation = incarnation_] {
        if (incarnation != incarnation_ || !is_up() || !response->is_open()) {
            response->abort();
            return;
        }
        send_response(response, attempt, outcome);
    });
}

void platform_server::crash_while_running(const std::shared_ptr<net::http_response>& response,
                                          const std::string& attempt, const std::string& id,
                                          const std::string& cause) {
    if (id != id_ || !is_up()) {
        response->abort();
        return;
    }
    if (cause.empty()) {
        checker_.on_prompt_crash(loop_.now());
        response->start(200,
                        {{"x-samphiretray-attempt-id", attempt}, {"x-samphiretray-server-seal", "seal"}});
    } else {
        checker_.on_request_crash(cause, loop_.now());
    }
    response->abort();
    crash(prompt_crash_downtime);
}

void platform_server::send_response(const std::shared_ptr<net::http_response>& response,
                                    const std::string& attempt, response_outcome outcome) {
    if (outcome == response_outcome::dropped) {
        response->abort();
        return;
    }
    const bool is_replay = outcome == response_outcome::replayed && !previous_attempt_.empty();
    const std::string& sent_attempt = is_replay ? previous_attempt_ : attempt;
    const std::string body = expected_body(sent_attempt);
    const std::string_view first_half = std::string_view{body}.substr(0, body.size() / 2);
    net::http_headers headers{{"x-samphiretray-attempt-id", sent_attempt},
                              {"x-samphiretray-server-seal", "seal"}};
    add_announcement(headers);
    previous_attempt_ = attempt;
    if (outcome == response_outcome::complete || outcome == response_outcome::replayed) {
        response->send(200, headers, body);
        return;
    }
    if (outcome == response_outcome::failed) {
        response->send(503, headers, "failed");
        return;
    }
    response->start(200, headers);
    switch (outcome) {
    case response_outcome::dropped:
    case response_outcome::failed:
        break;
    case response_outcome::truncated:
        response->write(first_half);
        response->abort();
        break;
    case response_outcome::endless:
        response->write(first_half);
        keep_writing(response, std::string(64U << 10U, 'x'));
        break;
    case response_outcome::stalled:
        response->write(first_half);
        keep_writing(response, ":\n");
        break;
    case response_outcome::complete:
    case response_outcome::replayed:
        break;
    }
}

void platform_server::add_announcement(net::http_headers& headers) const {
    switch (announcement_) {
    case announcement::none:
        break;
    case announcement::limit:
        headers.push_back({"server-limit", "20"});
        break;
    case announcement::leaving:
        headers.push_back({"server-leaving", "1"});
        break;
    case announcement::pause:
        headers.push_back({"retry-after", "0.2"});
        break;
    }
}

void platform_server::write_stream(const std::shared_ptr<net::http_response>& response, std::size_t event,
                                   bool has_fault) {
    if (event > resumable_event_count) {
        response->finish();
        return;
    }
    response->write("id: " + std::to_string(event) + "\ndata: " + software_version() + "\n\n");
    run_after(event_interval, [this, response, event, has_fault, incarnation = incarnation_] {
        if (has_fault || incarnation != incarnation_ || !is_up() || !response->is_open()) {
            response->abort();
            return;
        }
        write_stream(response, event + 1, false);
    });
}

void platform_server::keep_writing(const std::shared_ptr<net::http_response>& response,
                                   const std::string& bytes) {
    if (!response->is_open()) {
        return;
    }
    if (response->buffered_bytes() < (1U << 20U)) {
        response->write(bytes);
    }
    run_after(write_interval, [this, response, bytes] { keep_writing(response, bytes); });
}

} // namespace samphiretray::soak

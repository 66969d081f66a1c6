#include "standins/load_runner.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphiretray::standins {

namespace {

/// Wait before an order with an unknown outcome is sent again with the same idempotency key.
constexpr duration repeat_delay = 500ms;
/// Timeout of the request for an order server's run counts after the run.
constexpr duration order_fetch_timeout = 5s;
/// Added to the plan's length and timeout as the limit of a run, so that an unresponsive target cannot block
/// it.
constexpr duration extra_time = 60s;

std::string completion_body(const planned_request& request) {
    nlohmann::json body = {{"model", request.model()}, {"max_tokens", request.max_tokens}};
    if (request.stream) {
        body["stream"] = true;
    }
    if (request.chat) {
        body["messages"] = {{{"role", "user"}, {"content", request.prompt}}};
    } else {
        body["prompt"] = request.prompt;
    }
    return body.dump();
}

std::string path_of(const planned_request& request, const traffic_source& source) {
    if (source.kind != source_kind::completions) {
        return source.path;
    }
    return request.chat ? "/v1/chat/completions" : "/v1/completions";
}

std::string body_of(const planned_request& request, const traffic_source& source) {
    return source.kind == source_kind::completions ? completion_body(request)
                                                   : nlohmann::json{{"order", request.order}}.dump();
}

} // namespace

load_runner::load_runner(net::loop& events, const load_plan& plan, check_mode mode)
    : events_(&events), plan_(&plan), mode_(mode), client_(net::http_client::create(events)),
      schedule_(plan) {}

const load_report& load_runner::run() {
    start_ = events_->now();
    schedule_next();
    const duration limit = plan_->length + plan_->timeout + extra_time;
    (void)events_->run_until([this] { return is_finished(); }, limit);
    for (const auto& [number, item] : in_flight_) {
        report_.add({source_of(item).organisation, {outcome::broken, "no_answer"}, {}, limit});
    }
    compare_orders();
    return report_;
}

void load_runner::schedule_next() {
    const auto request = schedule_.next();
    if (!request) {
        is_schedule_done_ = true;
        return;
    }
    const duration wait = std::max<duration>(0us, start_ + request->at - events_->now());
    next_ = events_->after(wait, [this, planned = *request] {
        launch(planned);
        events_->post([this] { schedule_next(); });
    });
}

void load_runner::launch(const planned_request& request) {
    if (in_flight_.size() >= plan_->max_in_flight) {
        report_.add_skipped();
        return;
    }
    send(in_flight_.emplace(request.number, attempt{request}).first->second);
}

void load_runner::send(attempt& item) {
    const std::uint64_t number = item.request.number;
    item.answer = {};
    net::http_call_events handlers;
    handlers.on_head = [&item](int status, const net::http_headers& headers) {
        item.answer.on_head(status, headers);
    };
    handlers.on_data = [this, &item](std::string_view bytes) {
        item.first_byte = item.first_byte.value_or(events_->now());
        item.answer.on_data(bytes);
    };
    handlers.on_end = [this, &item, number](std::optional<error> failure) {
        item.answer.on_end(std::move(failure));
        // `complete` destroys the exchange, which is not allowed inside the exchange's own callback.
        events_->post([this, number] { complete(number); });
    };
    item.exchange = client_->send(make_call(item), std::move(handlers));
}

void load_runner::complete(std::uint64_t number) {
    attempt& item = in_flight_.at(number);
    if (try_next_target(item)) {
        return;
    }
    check_result result = check(item);
    if (source_of(item).kind == source_kind::orders) {
        ledger_.add(item.request.order, source_of(item).organisation, result.kind);
    }
    if (retry_order(item, result)) {
        return;
    }
    record(item, std::move(result));
    in_flight_.erase(number);
}

bool load_runner::try_next_target(attempt& item) {
    const bool was_unreachable = item.answer.failure() && !item.exchange->may_have_been_sent();
    if (!was_unreachable) {
        return false;
    }
    report_.add_failed_connection();
    ++item.failed_targets;
    if (item.failed_targets >= plan_->targets.size()) {
        return false;
    }
    send(item);
    return true;
}

bool load_runner::retry_order(attempt& item, const check_result& result) {
    const bool is_outcome_unknown = result.kind == outcome::unknown || result.kind == outcome::broken;
    const traffic_source& source = source_of(item);
    if (!is_outcome_unknown || !source.idempotency_keys || item.sends >= source.attempts) {
        return false;
    }
    ++item.sends;
    report_.add_repeat();
    item.repeat = events_->after(repeat_delay, [this, &item] {
        item.failed_targets = 0;
        send(item);
    });
    return true;
}

void load_runner::record(const attempt& item, check_result result) {
    const traffic_source& source = source_of(item);
    const time_point sent = start_ + item.request.at;
    const time_point now = events_->now();
    const bool is_late = source.expect_refused_after && now - start_ > *source.expect_refused_after;
    if (is_late && result.kind == outcome::answered) {
        result = {outcome::wrong, "answered_after_revocation"};
    }
    finished_request finished{source.organisation, std::move(result), {}, now - sent};
    if (item.first_byte) {
        finished.first_byte = *item.first_byte - sent;
    }
    report_.add(finished);
}

net::http_call load_runner::make_call(const attempt& item) const {
    const traffic_source& source = source_of(item);
    const std::size_t target_index = item.request.number + item.failed_targets + item.sends - 1;
    net::http_call call;
    call.peer = plan_->targets[target_index % plan_->targets.size()];
    call.method = "POST";
    call.target = path_of(item.request, source);
    call.headers = {{"content-type", "application/json"},
                    {"x-timeout-ms", std::to_string(milliseconds_in(plan_->timeout))}};
    if (!source.key.empty() && mode_ == check_mode::system) {
        call.headers.push_back({"authorization", "Bearer " + source.key});
    }
    if (source.idempotency_keys) {
        call.headers.push_back({"idempotency-key", item.request.order});
    }
    call.body = body_of(item.request, source);
    // The system answers 504 at the deadline. The extra time lets that response arrive.
    call.timeout = plan_->timeout + 2s;
    return call;
}

check_result load_runner::check(const attempt& item) const {
    switch (source_of(item).kind) {
    case source_kind::completions:
        return check_completion(item.request, item.answer, mode_);
    case source_kind::orders:
        return check_order(item.request, item.answer);
    case source_kind::calls:
        break;
    }
    return check_call(item.answer);
}

const traffic_source& load_runner::source_of(const attempt& item) const {
    return plan_->sources[item.request.source];
}

void load_runner::compare_orders() {
    if (plan_->order_servers.empty()) {
        return;
    }
    std::map<std::string, std::uint32_t> runs;
    for (const net::address& server : plan_->order_servers) {
        const auto orders = fetch_orders(server);
        if (!orders) {
            report_.add_violation("(all)", "orders_of_" + net::to_string(server) + "_unavailable");
            return;
        }
        for (const auto& [order, count] : *orders) {
            runs[order] += count;
        }
    }
    for (const auto& violation : ledger_.compare(runs)) {
        report_.add_violation(violation.organisation, violation.reason);
    }
}

std::optional<std::map<std::string, std::uint32_t>> load_runner::fetch_orders(const net::address& server) {
    std::optional<net::http_answer> answer;
    bool is_done = false;
    net::http_call call;
    call.peer = server;
    call.target = "/admin/orders";
    call.timeout = order_fetch_timeout;
    const auto exchange = client_->fetch(std::move(call), [&](result<net::http_answer> got) {
        is_done = true;
        if (got && got->status == 200) {
            answer = std::move(*got);
        }
    });
    (void)events_->run_until([&] { return is_done; }, 2 * order_fetch_timeout);
    if (!answer) {
        return std::nullopt;
    }
    return nlohmann::json::parse(answer->body).get<std::map<std::string, std::uint32_t>>();
}

} // namespace samphiretray::standins

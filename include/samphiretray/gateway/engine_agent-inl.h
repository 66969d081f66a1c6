#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/base/split.h"
#include "samphiretray/gateway/engine_agent.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

namespace limits {

/// Failed reports in a row after which the engine counts as down: with the poll interval, half a second.
inline constexpr std::uint32_t engine_down_polls = 3;
/// Failed loads in a row after which the requests that wait for the adapter are refused.
inline constexpr std::uint32_t failed_loads = 3;
/// A request whose adapter is not there after this long goes back to its entry, which tries another engine:
/// ten times a load from the store, since moving on earlier has the same adapter loaded twice.
inline constexpr duration longest_load_wait = 2500ms;
inline constexpr duration agent_tick = 20ms;
/// Requests that wait beside a leaving engine may begin for this long: a third of the shortest time in which
/// operators want a leaving engine to get no new work.
inline constexpr duration leaving_grace = 1s;
/// Fencing numbers of one agent: one for each restart of its engine that it may see.
inline constexpr std::uint64_t fencing_numbers = 1U << 16U;
/// A planned stop ends this long before the process would be killed.
inline constexpr duration agent_stop_margin = 400ms;
/// The engine is on the same machine.
inline constexpr duration engine_connect_timeout = 150ms;
/// Connections of entries are kept longer than the entries' clients keep them, so that it is they who close.
inline constexpr duration entry_idle_timeout = 30s;
/// A stopping agent keeps idle connections until no entry uses them any more for a request that runs at most
/// once; the rest is the longest way between regions and a busy machine.
inline constexpr duration idle_before_close = recent_connection + 500ms;

} // namespace limits

/// Popularity decides evictions, and no residence time holds a load up: callers wait for a second or two at
/// most.
[[nodiscard]] inline agent::slot_settings slot_settings_of(std::size_t slots) {
    agent::slot_settings values;
    values.slots = slots;
    values.minimum_residence = 0ms;
    values.reserved = 0;
    values.drain_after = 300ms;
    return values;
}

template <request_binding Binding, ordered_engine Engine>
engine_agent<Binding, Engine>::engine_agent(net::loop& events, engine_agent_settings settings, Engine& engine)
    : loop_(events), settings_(std::move(settings)), engine_(engine), http_(net::http_client::create(events)),
      admission_({}), pacing_({}),
      ended_works_(
          metrics_.counter({"samphiretray_agent_requests_total", "Requests by outcome", {"outcome"}})),
      orders_(metrics_.counter(
          {"samphiretray_agent_orders_total", "Orders by kind and outcome", {"kind", "outcome"}})),
      wait_seconds_(metrics_.histogram(
          {"samphiretray_agent_wait_seconds", "Time from the arrival of a request until it is passed on", {}},
          observe::latency_buckets())) {}

template <request_binding Binding, ordered_engine Engine>
status engine_agent<Binding, Engine>::start() {
    net::http_server_options options;
    options.listen = settings_.listen;
    options.idle_timeout = limits::entry_idle_timeout;
    options.idle_before_close = limits::idle_before_close;
    auto server = net::http_server::create(
        loop_, options, [this](net::http_request http, std::shared_ptr<net::http_response> response) {
            on_request(std::move(http), std::move(response));
        });
    if (!server) {
        return server.error();
    }
    server_ = std::move(*server);
    net::http_server_options control;
    control.listen = settings_.control_listen;
    auto admin = net::http_server::create(
        loop_, control,
        [this](const net::http_request& http, const std::shared_ptr<net::http_response>& response) {
            on_control(http, *response);
        });
    if (!admin) {
        return admin.error();
    }
    control_ = std::move(*admin);
    poll();
    tick_timer_ = loop_.every(limits::agent_tick, [this] {
        if (!works_.empty() || drain_started_) {
            pump();
        }
        if (drain_started_) {
            check_drained();
        }
    });
    log_event(log_level::info, "agent_started",
              {{"vm", settings_.node.vm},
               {"listen", net::to_string(listen_address())},
               {"engine", net::to_string(settings_.engine)}});
    return success();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::apply(const routing_state& state) {
    const auto found = std::ranges::find(state.services, settings_.service, &service::name);
    if (found == state.services.end() || !found->engine) {
        return;
    }
    possible_models_ = found->engine->models;
    model_load_time_ = found->engine->model_load_time;
    admission_.set_capacity(found->engine->batch, found->engine->kv_tokens);
    prefixes_.set_capacity(found->engine->kv_tokens);
    if (!slots_) {
        slots_.emplace(slot_settings_of(found->engine->adapter_slots));
        log_event(log_level::info, "capacity_known",
                  {{"version", state.version},
                   {"batch", found->engine->batch},
                   {"kv_tokens", found->engine->kv_tokens},
                   {"adapter_slots", found->engine->adapter_slots}});
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::apply(const adapter_release& release) {
    std::uint64_t& version = versions_[release.adapter];
    if (release.version > version) {
        version = release.version;
        log_event(log_level::info, "adapter_released", {{"adapter", release.adapter}, {"version", version}});
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::set_fencing_number(std::uint64_t number) {
    fencing_number_ = std::max(fencing_number_, number * limits::fencing_numbers + engine_restarts_);
    log_event(log_level::info, "fencing_number_taken", {{"number", fencing_number_}});
}

template <request_binding Binding, ordered_engine Engine>
bool engine_agent<Binding, Engine>::is_engine_up() const {
    return report_ && failed_polls_ < limits::engine_down_polls;
}

template <request_binding Binding, ordered_engine Engine>
ports::adapter_version engine_agent<Binding, Engine>::adapter_of(const forwarded_request& request) const {
    if (request.caller.adapter.empty()) {
        return {};
    }
    std::uint64_t version = 1;
    if (const auto known = versions_.find(request.caller.adapter); known != versions_.end()) {
        version = known->second;
    }
    // An entry may have heard of a newer version first.
    if (const auto asked = parse_number<std::uint64_t>(request.fields.version)) {
        version = std::max(version, *asked);
    }
    return {request.caller.adapter, std::to_string(version)};
}

template <request_binding Binding, ordered_engine Engine>
agent::admission_request engine_agent<Binding, Engine>::admission_of(const work& asked) const {
    const caller_request& caller = asked.request.caller;
    const std::uint32_t kept =
        std::min(prefixes_.kept(caller.adapter.empty() ? caller.model : caller.adapter, asked.prompt),
                 caller.prompt_tokens);
    return {asked.id,
            asked.request.fields.urgency,
            caller.prompt_tokens - kept,
            std::uint64_t{caller.prompt_tokens} + caller.max_output_tokens,
            asked.arrived,
            asked.arrived + asked.budget.until_abandoned,
            asked.arrived + asked.budget.until_late,
            !asked.adapter.adapter.empty() && !(slots_ && slots_->resident(asked.adapter))};
}

template <request_binding Binding, ordered_engine Engine>
std::optional<agent_refusal>
engine_agent<Binding, Engine>::reason_to_refuse(const work& asked,
                                                const agent::admission_request& wanted) const {
    if (drain_started_ || leaving_since_) {
        return agent_refusal::draining;
    }
    if (!is_engine_up() || !slots_ || !(holds_model() || may_wait_for_model(asked))) {
        return agent_refusal::engine_down;
    }
    // The engine would turn it away, and its arrival there would count as one of the few repeats.
    if (const auto known = read_engine_start(asked.http.headers); known && *known < report_->started_at) {
        return agent_refusal::engine_restarted;
    }
    if (wanted.needs_load && fencing_number_ == 0) {
        return agent_refusal::load_failed;
    }
    const duration load_wait = wanted.needs_load ? slots_->load_delay(loop_.now()) : 0ms;
    const duration wait = model_delay() + admission_.expected_wait(wanted, loop_.now());
    const duration reading = admission_.speed().time_to_first_byte(wanted.unread_tokens);
    const bool too_late = wait + load_wait + reading > asked.budget.until_abandoned;
    return too_late || wait > asked.budget.accepted ? std::optional{agent_refusal::busy} : std::nullopt;
}

template <request_binding Binding, ordered_engine Engine>
bool engine_agent<Binding, Engine>::may_wait_for_model(const work& asked) const {
    const bool is_last_resort = asked.budget.accepted >= asked.budget.until_abandoned;
    return restoring_since_ && is_last_resort && model_delay() < asked.budget.until_abandoned;
}

template <request_binding Binding, ordered_engine Engine>
duration engine_agent<Binding, Engine>::model_delay() const {
    return restoring_since_ ? std::max<duration>(*restoring_since_ + model_load_time_ - loop_.now(), 0ms)
                            : duration::zero();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_request(net::http_request&& http,
                                               std::shared_ptr<net::http_response>&& response) {
    auto asked = std::make_shared<work>();
    asked->id = next_id_++;
    asked->http = std::move(http);
    asked->response = std::move(response);
    asked->arrived = loop_.now();
    works_.emplace(asked->id, asked);
    auto decoded = Binding::decode_forwarded(asked->http);
    if (!decoded) {
        asked->response->send(400, {}, decoded.error().detail + "\n");
        finish(asked, "malformed");
        return;
    }
    asked->request = std::move(*decoded);
    asked->adapter = adapter_of(asked->request);
    asked->deadline = asked->arrived + asked->request.fields.time_left;
    const duration time_left = asked->request.fields.time_left;
    asked->budget =
        read_waiting_budget(asked->http.headers).value_or(waiting_budget{time_left, time_left, time_left});
    for (const prompt_part& part : asked->request.caller.prefix) {
        asked->prompt.push_back({part.id, part.tokens});
    }
    const agent::admission_request wanted = admission_of(*asked);
    if (const auto reason = reason_to_refuse(*asked, wanted)) {
        refuse(asked, *reason, "");
        return;
    }
    enqueue(asked, wanted);
    pump();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::enqueue(const work_pointer& asked,
                                            const agent::admission_request& wanted) {
    asked->wanted = wanted;
    if (!admission_.enqueue(wanted)) {
        refuse(asked, agent_refusal::busy, "too many requests wait");
        return;
    }
    const std::weak_ptr<work> weak = asked;
    read_on_when_drained(asked);
    asked->response->on_closed([this, weak] {
        if (const auto left = weak.lock()) {
            finish(left, "entry_left");
            pump();
        }
    });
    if (!asked->adapter.adapter.empty()) {
        asked->waits = true;
        slots_->wait_started(asked->adapter, false, loop_.now());
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::pump() {
    if (!slots_) {
        return;
    }
    expire();
    run_admitted();
    perform(slots_->poll(loop_.now()));
    want_loads();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::expire() {
    for (const std::uint64_t id : admission_.expire(loop_.now())) {
        if (const auto found = works_.find(id); found != works_.end()) {
            const work_pointer late = found->second;
            refuse(late, agent_refusal::deadline, "the deadline passed in the queue");
        }
    }
    for (const std::uint64_t id : admission_.hopeless(loop_.now())) {
        if (const auto found = works_.find(id); found != works_.end()) {
            const work_pointer hopeless = found->second;
            refuse(hopeless, agent_refusal::busy, "late, and too many others are");
        }
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::run_admitted() {
    if (!holds_model()) {
        return;
    }
    const auto runnable = [this](std::uint64_t id) {
        const ports::adapter_version& adapter = works_.at(id)->adapter;
        return adapter.adapter.empty() || slots_->can_run(adapter, false);
    };
    while (const auto id = admission_.next(runnable, loop_.now())) {
        const work_pointer admitted = works_.at(*id);
        if (!admitted->adapter.adapter.empty()) {
            admitted->pin = slots_->pin(admitted->adapter, false, loop_.now());
            admitted->waits = false;
            perform(slots_->wait_ended(admitted->adapter, false, loop_.now()));
        }
        run(admitted);
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::run(const work_pointer& admitted) {
    const time_point now = loop_.now();
    admitted->run_at = now;
    wait_seconds_.observe({}, std::chrono::duration<double>(now - admitted->arrived).count());
    forward_fields fields = admitted->request.fields;
    fields.time_left = std::max<duration>(admitted->deadline - now, 1ms);
    fields.version = versions_.contains(admitted->adapter.adapter) || !fields.version.empty()
                         ? admitted->adapter.version
                         : "";
    net::http_call call;
    call.peer = settings_.engine;
    call.method = admitted->http.method;
    call.target = admitted->http.target;
    call.headers = Binding::forward_headers(admitted->http.headers, fields);
    remove_agent_headers(call.headers);
    call.body = std::move(admitted->http.body);
    call.timeout = fields.time_left + 1s;
    call.connect_timeout = limits::engine_connect_timeout;
    call.max_idle = 2s;
    const caller_request& caller = admitted->request.caller;
    prefixes_.remember(caller.adapter.empty() ? caller.model : caller.adapter, admitted->prompt);
    const std::weak_ptr<work> weak = admitted;
    net::http_call_events handlers;
    handlers.on_head = [this, weak](int code, const net::http_headers& headers) {
        if (const auto self = weak.lock()) {
            on_head(self, code, headers);
        }
    };
    handlers.on_data = [this, weak](std::string_view bytes) {
        if (const auto self = weak.lock()) {
            on_data(self, bytes);
        }
    };
    handlers.on_end = [this, weak](const std::optional<error>& failure) {
        if (const auto self = weak.lock()) {
            on_end(self, failure);
            pump();
        }
    };
    admitted->exchange = http_->send(std::move(call), std::move(handlers));
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_head(const work_pointer& running, int code,
                                            const net::http_headers& headers) {
    if (running->ended) {
        return;
    }
    const answer_summary head = Binding::decode_answer(code, headers);
    if (judge_answer(head, running->request.caller.attempt_id) == answer_verdict::foreign) {
        on_foreign(running, code, head);
        return;
    }
    if (head.misdirected && running->pin) {
        slots_->unpin(*std::exchange(running->pin, std::nullopt), loop_.now());
        slots_->forget(running->adapter);
    }
    net::http_headers copy = headers;
    remove_agent_headers(copy);
    add_engine_load(copy, load());
    running->response->start(code, copy);
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_foreign(const work_pointer& running, int code,
                                               const answer_summary& head) {
    log_event(log_level::warning, "foreign_answer",
              {{"request", running->request.caller.attempt_id},
               {"endpoint", running->request.fields.endpoint},
               {"status", code},
               {"names", head.attempt_id},
               {"signed", head.is_signed ? "true" : "false"}});
    // Ends the connection too: whatever it brings next is no answer to a later request.
    running->exchange.reset();
    refuse(running, agent_refusal::outcome_unknown, "not an answer to the request");
    pump();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_data(const work_pointer& running, std::string_view bytes) {
    if (running->ended) {
        return;
    }
    if (!std::exchange(running->seen_body, true)) {
        admission_.read(running->id, loop_.now());
        running->first_byte_at = loop_.now();
    }
    relay(*running->response, *running->exchange, bytes);
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_end(const work_pointer& running, const std::optional<error>& failure) {
    if (running->ended) {
        return;
    }
    if (!failure) {
        running->response->finish();
        finish(running, "answered");
        return;
    }
    if (running->response->is_started()) {
        running->response->abort();
        finish(running, to_string(*failure));
        return;
    }
    const bool never_sent = !running->exchange->may_have_been_sent();
    refuse(running, never_sent ? agent_refusal::engine_down : agent_refusal::outcome_unknown,
           to_string(*failure));
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::refuse(const work_pointer& refused, agent_refusal reason,
                                           std::string_view detail) {
    net::http_headers headers;
    add_refusal(headers, reason);
    if (report_) {
        add_engine_load(headers, load());
    }
    refused->response->send(reason == agent_refusal::outcome_unknown ? 502 : 503, headers, "");
    finish(refused, detail.empty() ? name_of(reason) : detail);
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::finish(const work_pointer& finished, std::string_view outcome) {
    if (std::exchange(finished->ended, true)) {
        return;
    }
    const time_point now = loop_.now();
    admission_.remove(finished->id);
    if (finished->pin) {
        slots_->unpin(*finished->pin, now);
    }
    if (std::exchange(finished->waits, false)) {
        perform(slots_->wait_ended(finished->adapter, false, now));
    }
    ended_works_.add({outcome.size() < 20 ? outcome : "failed"});
    log_event(log_level::info, "work_ended",
              {{"request", finished->request.caller.attempt_id},
               {"adapter", finished->adapter.adapter},
               {"version", finished->adapter.version},
               {"outcome", outcome},
               {"cold", finished->wanted.needs_load ? "true" : "false"},
               {"unread_tokens", finished->wanted.unread_tokens},
               {"wait_ms", finished->run_at ? milliseconds_in(*finished->run_at - finished->arrived) : -1},
               {"first_ms",
                finished->first_byte_at ? milliseconds_in(*finished->first_byte_at - *finished->run_at) : -1},
               {"total_ms", milliseconds_in(now - finished->arrived)},
               {"backlog_tokens", admission_.backlog_tokens()},
               {"running", admission_.running_count()},
               {"waiting", admission_.waiting_count()}});
    const auto found = works_.find(finished->id);
    if (found != works_.end()) {
        loop_.post([kept = std::move(found->second)] { kept->exchange.reset(); });
        works_.erase(found);
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::want_loads() {
    if (fencing_number_ == 0 || !is_engine_up() || !holds_model()) {
        return;
    }
    const auto weight = [order = order_of_loads()](const ports::adapter_version& adapter) {
        return order.weight(adapter);
    };
    for (const ports::adapter_version& adapter : slots_->loads_wanted(loop_.now(), weight)) {
        if (pacing_.may_begin(adapter, slots_->loads_under_way(), loop_.now())) {
            perform(slots_->begin_load(adapter, fencing_number_, loop_.now()));
        }
    }
    refuse_failed_loads();
}

template <request_binding Binding, ordered_engine Engine>
agent::load_order engine_agent<Binding, Engine>::order_of_loads() const {
    agent::load_order order;
    for (const work_pointer& each : works_ | std::views::values) {
        if (each->waits && !slots_->resident(each->adapter)) {
            order.add(each->adapter, admission_.rank(each->wanted, agent::usual_store_load, loop_.now()));
        }
    }
    return order;
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::refuse_failed_loads() {
    std::vector<work_pointer> hopeless;
    const time_point now = loop_.now();
    for (const work_pointer& each : works_ | std::views::values) {
        if (!each->waits || slots_->resident(each->adapter)) {
            continue;
        }
        const bool is_stuck = now - each->arrived > limits::longest_load_wait;
        if (is_stuck || slots_->failures(each->adapter) >= limits::failed_loads) {
            hopeless.push_back(each);
        }
    }
    for (const work_pointer& each : hopeless) {
        refuse(each, agent_refusal::load_failed, "");
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::perform(std::vector<agent::slot_command> commands) {
    for (agent::slot_command& command : commands) {
        command.order.adapter_slots = slots_->size();
        switch (command.kind) {
        case agent::slot_command_kind::load:
            log_event(log_level::info, "load_started",
                      {{"adapter", command.order.target.adapter},
                       {"version", command.order.target.version},
                       {"fencing_number", command.order.fencing_number},
                       {"pinned_slots", slots_->pinned()},
                       {"wanted_adapters", slots_->wanted()}});
            engine_.load(command.order,
                         [this, command, began = loop_.now()](const result<std::string>& outcome) {
                             load_ended(command, loop_.now() - began, outcome);
                         });
            break;
        case agent::slot_command_kind::unload:
            engine_.unload(command.order, [this, command](const result<std::string>& outcome) {
                unload_ended(command, outcome);
            });
            break;
        case agent::slot_command_kind::cancel_load:
            // Loads take a fraction of a second; they are left to end.
            break;
        }
    }
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::load_ended(const agent::slot_command& command, duration took,
                                               const result<std::string>& outcome) {
    using enum agent::load_outcome;
    orders_.add({"load", outcome ? "done" : "failed"});
    const bool certain = outcome || outcome.error().code == errc::load_failed ||
                         outcome.error().code == errc::fenced ||
                         outcome.error().code == errc::connection_failed;
    log_event(log_level::info, "load_ended",
              {{"adapter", command.order.target.adapter},
               {"version", command.order.target.version},
               {"fencing_number", command.order.fencing_number},
               {"took_ms", milliseconds_in(took)},
               {"failure", outcome ? "" : to_string(outcome.error())}});
    if (outcome) {
        pacing_.loaded(command.order.target, took, loop_.now());
    }
    perform(slots_->load_finished(command.id, outcome ? loaded : certain ? failed : unknown, loop_.now()));
    pump();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::unload_ended(const agent::slot_command& command,
                                                 const result<std::string>& outcome) {
    orders_.add({"unload", outcome ? "done" : "failed"});
    log_event(log_level::info, "unload_ended",
              {{"adapter", command.order.target.adapter},
               {"version", command.order.target.version},
               {"failure", outcome ? "" : to_string(outcome.error())}});
    perform(slots_->unload_finished(command.id, outcome.has_value(), loop_.now()));
    pump();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::poll() {
    engine_.report([this](const result<engine_report>& report) {
        on_report(report);
        poll_timer_ = loop_.after(settings_.poll_interval, [this] { poll(); });
    });
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_report(const result<engine_report>& report) {
    const time_point now = loop_.now();
    if (!report) {
        // A refused connection is certain; silence may be a slow answer.
        const bool is_refused = report.error().code == errc::connection_failed;
        const bool was_up = is_engine_up();
        failed_polls_ = is_refused ? limits::engine_down_polls : failed_polls_ + 1;
        if (was_up && !is_engine_up()) {
            log_event(log_level::warning, "engine_lost", {{"failure", to_string(report.error())}});
            refuse_waiting(agent_refusal::engine_down);
        }
        return;
    }
    if (failed_polls_ >= limits::engine_down_polls || !report_) {
        log_event(log_level::info, "engine_regained",
                  {{"started_at", report->started_at}, {"adapters", report->loaded.size()}});
    }
    failed_polls_ = 0;
    const bool restarted = report_ && report_->started_at != report->started_at;
    const bool first = !report_;
    report_ = *report;
    if (!slots_) {
        report_.reset();
        return;
    }
    const auto effect = slots_->incarnation_seen(std::to_string(report->started_at), now);
    if (restarted) {
        // The engine has forgotten the numbers it saw. An order from before the restart may still be carried
        // out, and its condition may hold again; the new number fences it off.
        ++engine_restarts_;
        fencing_number_ += fencing_number_ > 0 ? 1 : 0;
    }
    if (first || restarted) {
        prefixes_.clear();
        admission_.restarted();
        pacing_.restarted();
        slots_->adopt(report->loaded, now);
    }
    if (!report->models.empty()) {
        model_ = report->models.front();
    }
    if (restarted) {
        refuse_waiting(agent_refusal::engine_down);
    }
    check_engine_leaving();
    restore_model();
    if (!holds_model() && !restoring_since_) {
        refuse_waiting(agent_refusal::engine_down);
    }
    for (const ports::adapter_version& unexpected : slots_->reconcile(report->loaded, now)) {
        log_event(log_level::warning, "unexpected_adapter",
                  {{"adapter", unexpected.adapter}, {"version", unexpected.version}});
        engine_.unload({unexpected, fencing_number_}, [](const result<std::string>&) {});
    }
    if (effect) {
        log_event(log_level::warning, "engine_restarted",
                  {{"started_at", report->started_at}, {"reload", effect->reload.size()}});
    }
    pump();
}

/// A leaving engine takes new work for a few seconds only, and a stopping agent has as long to finish. What
/// waits may still begin in the first of these seconds; then it goes back to the entries.
template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::check_engine_leaving() {
    if (report_->draining != leaving_since_.has_value()) {
        log_event(log_level::info, report_->draining ? "engine_leaving" : "engine_staying",
                  {{"started_at", report_->started_at}, {"waiting", admission_.waiting_count()}});
        leaving_since_ = report_->draining ? std::optional{loop_.now()} : std::nullopt;
    }
    const std::optional<time_point> since = leaving_since_ ? leaving_since_ : drain_started_;
    if (since && loop_.now() - *since >= limits::leaving_grace) {
        refuse_waiting(agent_refusal::draining);
    }
}

/// Requests that have not been passed on are better off at another engine.
template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::refuse_waiting(agent_refusal reason) {
    std::vector<work_pointer> waiting;
    std::ranges::copy_if(works_ | std::views::values, std::back_inserter(waiting),
                         [](const work_pointer& each) { return !each->run_at; });
    for (const work_pointer& each : waiting) {
        refuse(each, reason, "");
    }
}

template <request_binding Binding, ordered_engine Engine>
bool engine_agent<Binding, Engine>::holds_model() const {
    return report_ && !report_->models.empty();
}

/// Engines restart empty. One that held a model gets it back; a new one gets one of its service's.
template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::restore_model() {
    if (holds_model() || restoring_since_ || fencing_number_ == 0) {
        return;
    }
    if (model_.empty() && !possible_models_.empty()) {
        model_ = possible_models_[hash64(settings_.node.vm) % possible_models_.size()];
    }
    if (model_.empty()) {
        return;
    }
    restoring_since_ = loop_.now();
    log_event(log_level::info, "model_load_started",
              {{"model", model_}, {"fencing_number", fencing_number_}, {"started_at", report_->started_at}});
    engine_.load({{model_, ""}, fencing_number_}, [this](const result<std::string>& outcome) {
        restoring_since_.reset();
        orders_.add({"model", outcome ? "done" : "failed"});
        log_event(log_level::info, "model_load_ended",
                  {{"model", model_}, {"failure", outcome ? "" : to_string(outcome.error())}});
        if (!outcome) {
            refuse_waiting(agent_refusal::engine_down);
        } else if (report_) {
            // The next report would tell it a poll interval later.
            report_->models = {model_};
            pump();
        }
    });
}

template <request_binding Binding, ordered_engine Engine>
routing::engine_load engine_agent<Binding, Engine>::load() const {
    routing::engine_load load;
    load.backlog_tokens = admission_.backlog_tokens();
    load.running = static_cast<std::uint32_t>(admission_.running_count());
    load.kv_reserved = admission_.reserved_memory();
    load.reading_rate = static_cast<std::uint32_t>(admission_.speed().tokens_per_ms() * 1000.0);
    if (slots_) {
        load.free_slots = static_cast<std::uint32_t>(slots_->free_slots());
        load.wanted_adapters = static_cast<std::uint32_t>(slots_->wanted());
        for (const ports::adapter_version& each : slots_->residents()) {
            load.resident.push_back(each.adapter + "@" + each.version);
        }
    }
    return load;
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::drain() {
    if (drain_started_) {
        return;
    }
    drain_started_ = loop_.now();
    // Each answer from now on asks its entry to leave the connection.
    server_->begin_graceful_shutdown();
    log_event(log_level::info, "drain_started", {{"vm", settings_.node.vm}, {"requests", works_.size()}});
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::check_drained() {
    const duration passed = loop_.now() - *drain_started_;
    const bool finished = works_.empty() && server_->open_connections() == 0;
    if (!finished && passed < settings_.node.drain_limit - limits::agent_stop_margin) {
        return;
    }
    if (!std::exchange(closing_, true)) {
        // One more turn for connections that were accepted meanwhile.
        server_->stop_accepting();
        return;
    }
    log_event(log_level::info, "drain_finished",
              {{"vm", settings_.node.vm}, {"requests_cut", works_.size()}});
    loop_.stop();
}

template <request_binding Binding, ordered_engine Engine>
void engine_agent<Binding, Engine>::on_control(const net::http_request& request,
                                               net::http_response& response) {
    if (request.path == "/metrics") {
        response.send(200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text());
    } else if (request.path == "/status") {
        response.send(200, {{"content-type", "application/json"}},
                      "{\"vm\":\"" + settings_.node.vm +
                          "\",\"revision\":0,\"requests\":" + std::to_string(works_.size()) +
                          ",\"engine_up\":" + (is_engine_up() ? "true" : "false") + "}");
    } else {
        response.send(404, {}, "no such page\n");
    }
}

} // namespace samphiretray::gateway

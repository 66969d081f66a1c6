#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/base/text.h"
#include "samphiretray/gateway/agent_limits.h"
#include "samphiretray/gateway/crash_exchange.h"
#include "samphiretray/gateway/crash_report.h"
#include "samphiretray/gateway/endpoint_directory.h"
#include "samphiretray/gateway/engine_agent.h"
#include "samphiretray/gateway/origin_exchange.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

template <request_binding Binding, engine_control Engine>
engine_agent<Binding, Engine>::engine_agent(net::loop& events, engine_agent_settings settings, Engine& engine)
    : loop_(events), settings_(std::move(settings)), engine_(engine),
      buffers_(std::make_shared<net::buffer_budget>(net::buffer_limits_of(settings_.node.memory_mb))),
      http_(net::http_client::create(events)), admission_({}), pacing_({}), crashes_({}), known_crashes_({}),
      requests_total_(
          metrics_.counter({"samphiretray_agent_requests_total", "Requests by outcome", {"outcome"}})),
      orders_total_(metrics_.counter(
          {"samphiretray_agent_orders_total", "Orders by kind and outcome", {"kind", "outcome"}})),
      crashes_total_(metrics_.counter(
          {"samphiretray_agent_engine_crashes_total", "Crashes of the engine that cut answers", {}})),
      wait_seconds_(metrics_.histogram(
          {"samphiretray_agent_wait_seconds", "Time from the arrival of a request until it is passed on", {}},
          observe::latency_buckets())) {}

template <request_binding Binding, engine_control Engine>
status engine_agent<Binding, Engine>::start() {
    net::http_server_options options;
    options.listen = settings_.listen;
    options.idle_timeout = limits::entry_idle_timeout;
    options.shutdown_idle_timeout = limits::idle_before_close;
    options.buffers = buffers_;
    options.max_connections = max_caller_connections(settings_.node.max_descriptors);
    // These refusals do not name the sending, so they must be the last response on their connection.
    options.overload_headers.push_back({"connection", "close"});
    add_refusal(options.overload_headers, agent_refusal::busy);
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
    control.buffers = buffers_;
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
    tick_timer_ = loop_.every(limits::agent_tick_interval, [this] {
        if (const auto late_by = loop_watch_.observe(loop_.take_longest_timer_delay(), loop_.now())) {
            log_event(
                log_level::warning, "loop_late",
                {{"longest_ms", milliseconds_in(*late_by)}, {"connections", server_->open_connections()}});
        }
        for (const std::string& each : evacuations_.expire(loop_.now())) {
            if (each == settings_.node.data_centre) {
                on_evacuation_ended();
            }
        }
        if (!requests_.empty() || drain_started_) {
            process_queue();
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

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::apply(const routing_state& state) {
    const auto found = std::ranges::find(state.services, settings_.service, &service::name);
    if (found == state.services.end() || !found->engine) {
        return;
    }
    service_models_ = found->engine->models;
    model_load_time_ = found->engine->model_load_time;
    admission_.set_capacity(found->engine->max_batch_size, found->engine->kv_tokens);
    prefixes_.set_capacity(found->engine->kv_tokens);
    if (std::exchange(cold_start_, found->cold_start) != found->cold_start) {
        cold_window_.set_rate(cold_start_.requests_per_s);
        cold_.on_start(cold_start_.cold_time, loop_.now());
    }
    memory_ = std::make_shared<const ports::engine_memory>(ports::engine_memory{
        found->engine->adapter_slots, found->engine->weights_mb, found->engine->model_sizes});
    if (!slots_) {
        slots_.emplace(agent::slot_settings::for_short_waits(found->engine->adapter_slots));
        log_event(log_level::info, "capacity_known",
                  {{"version", state.version},
                   {"batch", found->engine->max_batch_size},
                   {"kv_tokens", found->engine->kv_tokens},
                   {"adapter_slots", found->engine->adapter_slots}});
    }
    set_slot_capacity();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::set_slot_capacity() {
    // Without a fencing number adapters above the capacity could not be unloaded.
    if (!report_ || fencing_number_ == 0) {
        return;
    }
    const std::size_t capacity = ports::adapter_capacity(*memory_, report_->models);
    if (capacity != slots_->capacity()) {
        log_event(log_level::info, "adapter_capacity_changed",
                  {{"adapters", capacity}, {"weights_mb", memory_->weights_mb.value_or(0)}});
        slots_->set_capacity(capacity);
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::apply(const adapter_release& release) {
    if (!releases_.note(release)) {
        return;
    }
    log_event(log_level::info, "adapter_released",
              {{"adapter", release.adapter}, {"version", release.version}});
    const time_point now = loop_.now();
    for (const request_pointer& each : requests_ | std::views::values) {
        if (each->waits_for_adapter && each->adapter.adapter == release.adapter) {
            execute(slots_->wait_ended(each->adapter, false, now));
            each->adapter = releases_.newest(release.adapter);
            slots_->wait_started(each->adapter, false, now);
            each->load_wanted_at = now;
            each->admission.needs_load = !slots_->resident(each->adapter);
            admission_.set_needs_load(each->id, each->admission.needs_load);
        }
    }
    process_queue();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::begin_evacuation(const std::string& data_centre) {
    if (evacuations_.begin(data_centre) && data_centre == settings_.node.data_centre) {
        log_event(log_level::warning, "evacuation_began",
                  {{"data_centre", data_centre}, {"waiting", admission_.waiting_count()}});
        refuse_waiting(agent_refusal::draining);
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::end_evacuation(const std::string& data_centre, bool after_outage) {
    if (evacuations_.end(data_centre, after_outage, loop_.now()) &&
        data_centre == settings_.node.data_centre) {
        on_evacuation_ended();
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_evacuation_ended() {
    // The engine may have become cold while it got no requests.
    cold_.on_start(cold_start_.cold_time, loop_.now());
    log_event(log_level::warning, "evacuation_ended", {{"data_centre", settings_.node.data_centre}});
}

template <request_binding Binding, engine_control Engine>
duration engine_agent<Binding, Engine>::cold_wait(std::size_t requests) const {
    const bool is_limited = cold_start_.is_limited() && cold_.is_cold(loop_.now());
    return is_limited ? std::min(cold_window_.wait_for(requests, loop_.now()), cold_.time_left(loop_.now()))
                      : duration::zero();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::set_fencing_number(std::uint64_t number) {
    fencing_number_ =
        std::max(fencing_number_, number * limits::fencing_numbers_per_agent + engine_restarts_);
    log_event(log_level::info, "fencing_number_taken", {{"number", fencing_number_}});
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::is_engine_up() const {
    return report_ && failed_polls_ < limits::engine_down_polls;
}

template <request_binding Binding, engine_control Engine>
agent::admission_request
engine_agent<Binding, Engine>::make_admission_request(const agent_request& request) const {
    const caller_request& caller = request.forwarded.caller;
    const std::uint32_t cached_tokens = std::min(
        prefixes_.cached_tokens(caller.adapter.empty() ? caller.model : caller.adapter, request.prompt),
        caller.prompt_tokens);
    return {request.id,
            request.forwarded.fields.urgency,
            caller.prompt_tokens - cached_tokens,
            std::uint64_t{caller.prompt_tokens} + caller.max_output_tokens,
            request.arrived_at,
            request.arrived_at + request.budget.until_abandoned,
            request.arrived_at + request.budget.until_late,
            !request.adapter.adapter.empty() && !(slots_ && slots_->resident(request.adapter))};
}

template <request_binding Binding, engine_control Engine>
std::optional<agent_refusal>
engine_agent<Binding, Engine>::reason_to_refuse(const agent_request& request,
                                                const agent::admission_request& admission) const {
    if (drain_started_ || is_evacuated() || (engine_draining_since_ && !may_take_up(request))) {
        return agent_refusal::draining;
    }
    if (!is_engine_up() || !slots_ || !(has_base_model() || may_wait_for_base_model(request))) {
        return agent_refusal::engine_down;
    }
    // The restarted engine would reject the request, and the forwarded attempt would use up retry budget.
    if (const auto known = read_engine_start(request.http.headers); known && *known < report_->started_at) {
        return agent_refusal::engine_restarted;
    }
    if (admission.needs_load && (fencing_number_ == 0 || slots_->capacity() == 0)) {
        return agent_refusal::load_failed;
    }
    const duration load_wait = admission.needs_load ? slots_->load_delay(loop_.now()) : 0ms;
    const duration wait = model_load_time_left() + admission_.expected_wait(admission, loop_.now());
    const duration time_to_first_byte =
        admission_.prefill_rate().time_to_first_byte(admission.prefill_tokens);
    const std::size_t waiting = admission_.waiting_count() + 1;
    const duration limit_wait =
        std::max({limit_.wait_for(waiting, loop_.now()), pause_left(), cold_wait(waiting)});
    if (limit_wait > request.budget.max_queue_wait) {
        return agent_refusal::limited;
    }
    const bool is_too_late =
        std::max(wait + load_wait, limit_wait) + time_to_first_byte > request.budget.until_abandoned;
    return is_too_late || wait > request.budget.max_queue_wait ? std::optional{agent_refusal::busy}
                                                               : std::nullopt;
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::may_wait_for_base_model(const agent_request& request) const {
    const bool is_last_resort = request.budget.max_queue_wait >= request.budget.until_abandoned;
    return base_model_load_started_ && is_last_resort &&
           model_load_time_left() < request.budget.until_abandoned;
}

template <request_binding Binding, engine_control Engine>
duration engine_agent<Binding, Engine>::model_load_time_left() const {
    return base_model_load_started_
               ? std::max<duration>(*base_model_load_started_ + model_load_time_ - loop_.now(), 0ms)
               : duration::zero();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_request(net::http_request&& http,
                                               std::shared_ptr<net::http_response>&& response) {
    auto request = std::make_shared<agent_request>();
    request->id = next_id_++;
    request->http = std::move(http);
    request->response = std::move(response);
    request->arrived_at = loop_.now();
    requests_.emplace(request->id, request);
    if (is_repeated_sending(request->http)) {
        log_event(log_level::warning, "request_repeated",
                  {{"peer", request->http.peer}, {"sending", read_sending(request->http.headers)}});
        request->response->abort();
        finish(request, "repeated");
        return;
    }
    auto decoded = Binding::decode_forwarded(request->http);
    if (!decoded) {
        net::http_headers headers;
        add_sending(headers, read_sending(request->http.headers));
        request->response->send(400, headers, decoded.error().detail + "\n");
        finish(request, "malformed");
        return;
    }
    request->forwarded = std::move(*decoded);
    // The entry may know of a newer version than this agent.
    if (const auto version = parse_number<std::uint64_t>(request->forwarded.fields.version)) {
        apply(adapter_release{request->forwarded.caller.adapter, *version});
    }
    request->adapter = releases_.newest(request->forwarded.caller.adapter);
    request->deadline = request->arrived_at + request->forwarded.fields.time_left;
    const duration time_left = request->forwarded.fields.time_left;
    request->budget =
        read_waiting_budget(request->http.headers).value_or(waiting_budget{time_left, time_left, time_left});
    for (const prompt_part& part : request->forwarded.caller.prefix) {
        request->prompt.push_back({part.id, part.tokens});
    }
    request->shared = make_prompt_request(hash64(request->forwarded.caller.attempt_id),
                                          shared_part_ids(request->forwarded.caller.prefix));
    request->key =
        make_request_key(request->forwarded.caller, request->http, request->forwarded.fields.organisation);
    request->stream = routing::make_stream_key(request->forwarded.fields.organisation,
                                               stream_attempt_of(request->forwarded.caller));
    request->software_version = read_software_version(request->http.headers);
    learn_engine_id(*request);
    if (const auto left = read_engine_cold(request->http.headers)) {
        cold_.on_report(*left, request->arrived_at);
    }
    if (const auto held = hold_of(*request)) {
        refuse(request, agent_refusal::quarantined, "", held->retry_after);
        return;
    }
    const agent::admission_request admission = make_admission_request(*request);
    if (const auto reason = reason_to_refuse(*request, admission)) {
        refuse(request, *reason, "");
        return;
    }
    enqueue(request, admission);
    process_queue();
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::is_repeated_sending(const net::http_request& request) {
    const std::string_view sending = read_sending(request.headers);
    if (sending.empty()) {
        return false;
    }
    const std::uint64_t id = hash64(sending);
    const bool is_known = known_sendings_.contains(id);
    known_sendings_.note(id);
    return is_known;
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::learn_engine_id(const agent_request& request) {
    if (report_ && read_engine_start(request.http.headers) == report_->started_at) {
        engine_id_ = request.forwarded.fields.endpoint_id;
    }
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::has_been_refused(const agent_request& request) const {
    return refused_attempts_.contains(request.shared.id);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::note_engine_refusal(const agent_request& request) {
    refused_attempts_.note(request.shared.id);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::enqueue(const request_pointer& request,
                                            const agent::admission_request& admission) {
    request->admission = admission;
    if (!admission_.enqueue(admission)) {
        refuse(request, agent_refusal::busy, "the admission queue is full");
        return;
    }
    const std::weak_ptr<agent_request> weak = request;
    resume_reading_when_drained(request);
    request->response->on_closed([this, weak] {
        if (const auto left = weak.lock()) {
            finish(left, "entry_left");
            process_queue();
        }
    });
    if (!request->adapter.adapter.empty()) {
        request->waits_for_adapter = true;
        request->load_wanted_at = request->arrived_at;
        slots_->wait_started(request->adapter, false, loop_.now());
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::process_queue() {
    if (!slots_) {
        return;
    }
    refuse_expired();
    forward_admitted();
    execute(slots_->poll(loop_.now()));
    start_loads();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::refuse_expired() {
    for (const std::uint64_t id : admission_.expire(loop_.now())) {
        if (const auto found = requests_.find(id); found != requests_.end()) {
            const request_pointer request = found->second;
            refuse(request, agent_refusal::deadline, "the deadline passed while the request was queued");
        }
    }
    for (const std::uint64_t id : admission_.expected_to_expire(loop_.now())) {
        if (const auto found = requests_.find(id); found != requests_.end()) {
            const request_pointer request = found->second;
            refuse(request, agent_refusal::busy,
                   "the target latency is missed and too many other requests are late");
        }
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::forward_admitted() {
    if (!has_base_model()) {
        return;
    }
    const auto runnable = [this](std::uint64_t id) {
        const ports::adapter_version& adapter = requests_.at(id)->adapter;
        return adapter.adapter.empty() || slots_->can_run(adapter, false);
    };
    while (limit_.allows(loop_.now()) && pause_left() <= duration::zero() &&
           cold_wait(1) <= duration::zero() && !is_evacuated()) {
        const auto id = admission_.next(runnable, loop_.now());
        if (!id || !limit_.try_take(loop_.now())) {
            break;
        }
        const request_pointer request = requests_.at(*id);
        if (!request->adapter.adapter.empty()) {
            request->pin = slots_->pin(request->adapter, false, loop_.now());
            request->waits_for_adapter = false;
            execute(slots_->wait_ended(request->adapter, false, loop_.now()));
        }
        forward_to_engine(request);
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::forward_to_engine(const request_pointer& request) {
    const time_point now = loop_.now();
    request->forwarded_at = now;
    cold_window_.count(now);
    wait_seconds_.observe({}, std::chrono::duration<double>(now - request->arrived_at).count());
    forward_fields fields = request->forwarded.fields;
    fields.time_left = std::max<duration>(request->deadline - now, 1ms);
    fields.version = releases_.contains(request->adapter.adapter) || !fields.version.empty()
                         ? request->adapter.version
                         : "";
    net::http_call call;
    call.peer = settings_.engine;
    call.method = request->http.method;
    call.target = request->http.target;
    call.headers = Binding::forward_headers(request->http.headers, fields);
    remove_agent_headers(call.headers);
    call.body = std::move(request->http.body);
    call.timeout = fields.time_left + 1s;
    call.connect_timeout = limits::engine_connect_timeout;
    call.max_idle = 2s;
    call.fresh_connection = has_been_refused(*request);
    const caller_request& caller = request->forwarded.caller;
    prefixes_.insert(caller.adapter.empty() ? caller.model : caller.adapter, request->prompt);
    const std::weak_ptr<agent_request> weak = request;
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
            process_queue();
        }
    };
    request->exchange = http_->send(std::move(call), std::move(handlers));
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_head(const request_pointer& request, int code,
                                            const net::http_headers& headers) {
    if (request->ended) {
        return;
    }
    const answer_summary head = Binding::decode_answer(code, headers);
    if (classify_answer(head, request->forwarded.caller.attempt_id) == answer_class::mismatched) {
        on_mismatched_response(request, code, head);
        return;
    }
    request->answer_began_at = loop_.now();
    if (head.not_run) {
        note_engine_refusal(*request);
    }
    note_limit(head.requests_per_s);
    note_answer(head);
    if (head.misdirected && request->pin) {
        slots_->unpin(*std::exchange(request->pin, std::nullopt), loop_.now());
        slots_->on_not_loaded(request->adapter);
    }
    if (request->exchange->ends_at_close() && names_event_stream(headers)) {
        request->events.emplace();
    }
    if (is_event_stream(call_kind::streaming, code, headers) && !request->software_version.empty()) {
        request->first_event.emplace();
    }
    net::http_headers response_headers = headers;
    remove_agent_headers(response_headers);
    add_sending(response_headers, read_sending(request->http.headers));
    add_engine_load(response_headers, current_load());
    request->response->start(code, response_headers);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_mismatched_response(const request_pointer& request, int code,
                                                           const answer_summary& head) {
    log_event(log_level::warning, "foreign_answer",
              {{"request", request->forwarded.caller.attempt_id},
               {"endpoint", request->forwarded.fields.endpoint_id},
               {"status", code},
               {"names", head.attempt_id},
               {"signed", head.is_signed ? "true" : "false"}});
    // Also closes the connection: further bytes on it must not be read as the response to a later request.
    request->exchange.reset();
    refuse(request, agent_refusal::outcome_unknown, "the engine's response does not belong to the request");
    process_queue();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_data(const request_pointer& request, std::string_view bytes) {
    if (request->ended) {
        return;
    }
    if (!std::exchange(request->body_started, true)) {
        admission_.on_prefill_done(request->id, loop_.now());
        request->first_byte_at = loop_.now();
        request->last_byte_at = loop_.now();
    }
    request->longest_pause = std::max(request->longest_pause, loop_.now() - request->last_byte_at);
    request->last_byte_at = loop_.now();
    if (request->first_event && request->first_event->append(bytes)) {
        request->first_event.reset();
        note_stream(*request);
    }
    relay(*request->response, *request->exchange, bytes);
    if (request->events) {
        (void)request->events->append(bytes, loop_.now());
        if (request->events->is_event_too_large()) {
            request->exchange.reset();
            request->response->abort();
            finish(request, "event_too_large");
            process_queue();
        }
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::note_stream(agent_request& request) {
    request.is_stream_known = true;
    stream_origins_.note(request.stream, {settings_.service, request.software_version}, loop_.now());
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_end(const request_pointer& request,
                                           const std::optional<error>& failure) {
    if (request->ended) {
        return;
    }
    if (!failure && request->events) {
        const bool continues_stream = !net::find_header(request->http.headers, last_event_id_header).empty();
        const stream_end end = classify_stream_end(*request->events, true, continues_stream);
        if (end != stream_end::whole) {
            // The end of the response to the entry is marked, so the entry could not tell that the engine's
            // was not.
            on_interrupted_answer(request, name_of(end));
            return;
        }
    }
    if (!failure) {
        if (request->first_byte_at) {
            known_crashes_.on_answered(request->shared.parts, *request->first_byte_at, loop_.now());
        }
        request->response->finish();
        finish(request, "answered");
        return;
    }
    on_interrupted_answer(request, to_string(*failure));
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_interrupted_answer(const request_pointer& request,
                                                          std::string_view cause) {
    note_interruption(*request);
    if (request->response->is_started()) {
        request->response->abort();
        finish(request, cause);
        return;
    }
    const bool never_sent = !request->exchange->may_have_been_sent();
    refuse(request, never_sent ? agent_refusal::engine_down : agent_refusal::outcome_unknown, cause);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::note_limit(std::optional<double> requests_per_s) {
    if (limit_.is_set() != requests_per_s.has_value()) {
        log_event(log_level::info, requests_per_s ? "engine_limited" : "engine_unlimited",
                  {{"requests_per_s", requests_per_s.value_or(0)}, {"waiting", admission_.waiting_count()}});
    }
    limit_.set(requests_per_s, loop_.now());
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::note_answer(const answer_summary& head) {
    if (head.work_time_percent) {
        work_time_.observe(*head.work_time_percent, loop_.now());
    }
    if (head.is_leaving) {
        said_leaving_at_ = loop_.now();
        engine_drain_.on_said_leaving(loop_.now());
        check_engine_draining();
    }
    if (head.pause) {
        paused_until_ = std::max(paused_until_, loop_.now() + *head.pause);
        log_event(log_level::info, "engine_paused",
                  {{"pause_ms", milliseconds_in(*head.pause)}, {"waiting", admission_.waiting_count()}});
    }
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::is_engine_leaving() const {
    const bool has_said =
        said_leaving_at_ && loop_.now() - *said_leaving_at_ < endpoint_directory::leaving_memory;
    return (report_ && report_->draining) || has_said;
}

template <request_binding Binding, engine_control Engine>
duration engine_agent<Binding, Engine>::pause_left() const {
    return std::max<duration>(paused_until_ - loop_.now(), 0ms);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::note_interruption(const agent_request& request) {
    if (!request.exchange->may_have_been_sent()) {
        return;
    }
    const caller_request& caller = request.forwarded.caller;
    agent::interrupted_work work{caller.attempt_id, {}, request.answer_began_at, loop_.now(), request.key};
    std::ranges::copy(shared_part_ids(caller.prefix), std::back_inserter(work.parts));
    crashes_.on_interrupted(std::move(work));
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_engine_crash() {
    const time_point now = loop_.now();
    const auto suspects = crashes_.take_suspects(now);
    // A leaving engine ends whatever it still runs.
    if (suspects.empty() || report_->draining) {
        return;
    }
    crashes_total_.add({});
    log_event(log_level::warning, "engine_crashed",
              {{"started_at", report_->started_at}, {"suspects", suspects.size()}});
    const std::string engine = crashed_engine_name(settings_.engine, report_->started_at);
    known_crashes_.on_crash(describe_crash(suspects, engine, now), now);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::refuse(const request_pointer& request, agent_refusal reason,
                                           std::string_view detail, std::optional<duration> retry_after) {
    net::http_headers headers;
    add_sending(headers, read_sending(request->http.headers));
    add_refusal(headers, reason, retry_after);
    if (report_) {
        add_engine_load(headers, current_load());
    }
    request->response->send(is_outcome_unknown(reason) ? 502 : 503, headers, "");
    finish(request, detail.empty() ? name_of(reason) : detail);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::finish(const request_pointer& request, std::string_view outcome) {
    if (std::exchange(request->ended, true)) {
        return;
    }
    const time_point now = loop_.now();
    if (request->is_stream_known) {
        // Its caller may take the stream up from now on.
        note_stream(*request);
    }
    admission_.remove(request->id);
    if (request->pin) {
        slots_->unpin(*request->pin, now);
    }
    if (std::exchange(request->waits_for_adapter, false)) {
        execute(slots_->wait_ended(request->adapter, false, now));
    }
    // Longer outcomes are error texts, which would make the number of label values unbounded.
    requests_total_.add({outcome.size() < 20 ? outcome : "failed"});
    log_event(
        log_level::info, "work_ended",
        {{"request", request->forwarded.caller.attempt_id},
         {"adapter", request->adapter.adapter},
         {"version", request->adapter.version},
         {"outcome", outcome},
         {"cold", request->admission.needs_load ? "true" : "false"},
         {"unread_tokens", request->admission.prefill_tokens},
         {"wait_ms",
          request->forwarded_at ? milliseconds_in(*request->forwarded_at - request->arrived_at) : -1},
         {"first_ms",
          request->first_byte_at ? milliseconds_in(*request->first_byte_at - *request->forwarded_at) : -1},
         {"longest_pause_ms", milliseconds_in(request->longest_pause)},
         {"total_ms", milliseconds_in(now - request->arrived_at)},
         {"backlog_tokens", admission_.backlog_tokens()},
         {"running", admission_.running_count()},
         {"waiting", admission_.waiting_count()}});
    const auto found = requests_.find(request->id);
    if (found != requests_.end()) {
        loop_.post([kept = std::move(found->second)] { kept->exchange.reset(); });
        requests_.erase(found);
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::start_loads() {
    if (fencing_number_ == 0 || !is_engine_up() || !has_base_model()) {
        return;
    }
    const auto weight = [order = make_load_priorities()](const ports::adapter_version& adapter) {
        return order.weight(adapter);
    };
    for (const ports::adapter_version& adapter : slots_->loads_wanted(loop_.now(), weight)) {
        if (pacing_.may_begin(adapter, slots_->loads_in_flight(), loop_.now())) {
            execute(slots_->begin_load(adapter, fencing_number_, loop_.now()));
        }
    }
    refuse_after_failed_loads();
}

template <request_binding Binding, engine_control Engine>
agent::load_priorities engine_agent<Binding, Engine>::make_load_priorities() const {
    agent::load_priorities order;
    for (const request_pointer& each : requests_ | std::views::values) {
        if (each->waits_for_adapter && !slots_->resident(each->adapter)) {
            order.add(each->adapter,
                      admission_.rank(each->admission, agent::nominal_store_load_time, loop_.now()));
        }
    }
    return order;
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::refuse_after_failed_loads() {
    std::vector<request_pointer> to_refuse;
    const time_point now = loop_.now();
    for (const request_pointer& each : requests_ | std::views::values) {
        if (!each->waits_for_adapter || slots_->resident(each->adapter)) {
            continue;
        }
        const bool has_timed_out = now - each->load_wanted_at > limits::max_load_wait;
        if (has_timed_out || slots_->failures(each->adapter) >= limits::max_failed_loads) {
            to_refuse.push_back(each);
        }
    }
    for (const request_pointer& each : to_refuse) {
        refuse(each, agent_refusal::load_failed, "");
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::execute(std::vector<agent::slot_command> commands) {
    for (agent::slot_command& command : commands) {
        command.order.memory = memory_;
        command.order.engine_id = engine_id_;
        if (command.order.fencing_number == 0) {
            // An adapter that this agent found loaded.
            command.order.fencing_number = fencing_number_;
        }
        switch (command.kind) {
        case agent::slot_command_kind::load:
            log_event(log_level::info, "load_started",
                      {{"adapter", command.order.target.adapter},
                       {"version", command.order.target.version},
                       {"fencing_number", command.order.fencing_number},
                       {"pinned_slots", slots_->pinned_count()},
                       {"wanted_adapters", slots_->wanted_count()}});
            engine_.load(command.order,
                         [this, command, started = loop_.now()](const result<std::string>& outcome) {
                             on_load_ended(command, loop_.now() - started, outcome);
                         });
            break;
        case agent::slot_command_kind::unload:
            engine_.unload(command.order, [this, command](const result<std::string>& outcome) {
                on_unload_ended(command, outcome);
            });
            break;
        case agent::slot_command_kind::cancel_load:
            // Loads take a fraction of a second, so they run to completion.
            break;
        }
    }
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_load_ended(const agent::slot_command& command, duration elapsed,
                                                  const result<std::string>& outcome) {
    using enum agent::load_outcome;
    orders_total_.add({"load", outcome ? "done" : "failed"});
    const bool outcome_known = outcome || outcome.error().code == errc::load_failed ||
                               outcome.error().code == errc::fenced ||
                               outcome.error().code == errc::connection_failed;
    log_event(log_level::info, "load_ended",
              {{"adapter", command.order.target.adapter},
               {"version", command.order.target.version},
               {"fencing_number", command.order.fencing_number},
               {"took_ms", milliseconds_in(elapsed)},
               {"failure", outcome ? "" : to_string(outcome.error())}});
    if (outcome) {
        pacing_.on_loaded(command.order.target, elapsed, loop_.now());
    }
    execute(slots_->load_finished(command.id,
                                  outcome         ? loaded
                                  : outcome_known ? failed
                                                  : unknown,
                                  loop_.now()));
    process_queue();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_unload_ended(const agent::slot_command& command,
                                                    const result<std::string>& outcome) {
    orders_total_.add({"unload", outcome ? "done" : "failed"});
    log_event(log_level::info, "unload_ended",
              {{"adapter", command.order.target.adapter},
               {"version", command.order.target.version},
               {"failure", outcome ? "" : to_string(outcome.error())}});
    execute(slots_->unload_finished(command.id, outcome.has_value(), loop_.now()));
    process_queue();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::poll() {
    polled_at_ = loop_.now();
    engine_.report([this](const result<engine_report>& report) {
        on_report(report);
        poll_timer_ = loop_.after(settings_.poll_interval, [this] { poll(); });
    });
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_failed_poll(const error& failure) {
    // A refused connection proves that the engine is down; a timeout may only be a slow response.
    const bool is_refused = failure.code == errc::connection_failed;
    const bool was_up = is_engine_up();
    failed_polls_ = is_refused ? limits::engine_down_polls : failed_polls_ + 1;
    if (!was_up || is_engine_up()) {
        return;
    }
    log_event(log_level::warning, "engine_lost", {{"failure", to_string(failure)}});
    if (is_refused) {
        on_engine_crash();
    }
    refuse_waiting(agent_refusal::engine_down);
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_report(const result<engine_report>& report) {
    if (!report) {
        on_failed_poll(report.error());
        return;
    }
    const time_point now = loop_.now();
    if (failed_polls_ >= limits::engine_down_polls || !report_) {
        log_event(log_level::info, "engine_regained",
                  {{"started_at", report->started_at}, {"adapters", report->loaded.size()}});
    }
    failed_polls_ = 0;
    const bool restarted = report_ && report_->started_at != report->started_at;
    engine_drain_ = restarted ? drain_promise{} : engine_drain_;
    engine_drain_.on_state(report->draining, report->serves_for, reported_at_);
    reported_at_ = polled_at_;
    const bool is_first_report = !report_;
    if (restarted) {
        on_engine_crash();
    }
    report_ = *report;
    if (!slots_) {
        report_.reset();
        return;
    }
    const auto slots_reset = slots_->on_incarnation(std::to_string(report->started_at), now);
    if (restarted) {
        // The restarted engine has lost the highest fencing number that it had seen. An order that was sent
        // before the restart may still arrive, with a precondition that is true again; the higher number
        // fences it off.
        ++engine_restarts_;
        engine_id_.clear();
        fencing_number_ += fencing_number_ > 0 ? 1 : 0;
    }
    cold_.on_report(report->cold_left, now);
    if (is_first_report || restarted) {
        cold_.on_start(cold_start_.cold_time, now);
        prefixes_.clear();
        admission_.on_engine_restart();
        limit_.set(std::nullopt, now);
        paused_until_ = now;
        said_leaving_at_.reset();
        pacing_.on_engine_restart();
        work_time_.reset();
        slots_->adopt(report->loaded, now);
    }
    if (!report->models.empty()) {
        base_model_ = report->models.front();
    }
    set_slot_capacity();
    if (restarted) {
        refuse_waiting(agent_refusal::engine_down);
    }
    check_engine_draining();
    load_base_model();
    if (!has_base_model() && !base_model_load_started_) {
        refuse_waiting(agent_refusal::engine_down);
    }
    for (const ports::adapter_version& unexpected : slots_->reconcile(report->loaded, now)) {
        log_event(log_level::warning, "unexpected_adapter",
                  {{"adapter", unexpected.adapter}, {"version", unexpected.version}});
        engine_.unload({.target = unexpected, .fencing_number = fencing_number_, .engine_id = engine_id_},
                       [](const result<std::string>&) {});
    }
    if (slots_reset) {
        log_event(log_level::warning, "engine_restarted",
                  {{"started_at", report->started_at}, {"reload", slots_reset->reload.size()}});
    }
    process_queue();
}

/// A draining engine accepts new requests for a few seconds only, and an agent that shuts down has as long to
/// finish. Queued requests are still forwarded during `engine_drain_grace`; then they are refused, so that
/// their entries try another engine.
template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::check_engine_draining() {
    const bool is_leaving = is_engine_leaving();
    if (report_ && is_leaving != engine_draining_since_.has_value()) {
        log_event(log_level::info, is_leaving ? "engine_leaving" : "engine_staying",
                  {{"started_at", report_->started_at}, {"waiting", admission_.waiting_count()}});
        engine_draining_since_ = is_leaving ? std::optional{loop_.now()} : std::nullopt;
    }
    const std::optional<time_point> since = engine_draining_since_ ? engine_draining_since_ : drain_started_;
    if (since && loop_.now() - *since >= limits::engine_drain_grace) {
        refuse_waiting(agent_refusal::draining);
    }
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::may_take_up(const agent_request& request) const {
    return !request.forwarded.caller.resumed_attempt_id.empty() && !drain_started_ &&
           engine_drain_.takes_up(loop_.now());
}

/// Refuses the requests that have not been forwarded yet, so that their entries try another engine.
template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::refuse_waiting(agent_refusal reason) {
    std::vector<request_pointer> waiting;
    std::ranges::copy_if(
        requests_ | std::views::values, std::back_inserter(waiting), [&](const request_pointer& each) {
            const bool goes_on = reason == agent_refusal::draining && !is_evacuated() && may_take_up(*each);
            return !each->forwarded_at && !goes_on;
        });
    for (const request_pointer& each : waiting) {
        refuse(each, reason, "");
    }
}

template <request_binding Binding, engine_control Engine>
std::optional<routing::quarantine_match>
engine_agent<Binding, Engine>::hold_of(const agent_request& request) const {
    std::vector<routing::part_key> keys = request.shared.parts;
    keys.push_back(request.key);
    return held_parts_.check(keys, loop_.now());
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::withdraw_held() {
    std::vector<request_pointer> not_begun;
    std::ranges::copy_if(requests_ | std::views::values, std::back_inserter(not_begun),
                         [](const request_pointer& each) { return !each->answer_began_at; });
    for (const request_pointer& each : not_begun) {
        const auto held = hold_of(*each);
        if (!held) {
            continue;
        }
        each->exchange.reset();
        refuse(each, each->forwarded_at ? agent_refusal::withdrawn : agent_refusal::quarantined, "",
               held->retry_after);
    }
    process_queue();
}

template <request_binding Binding, engine_control Engine>
bool engine_agent<Binding, Engine>::has_base_model() const {
    return report_ && !report_->models.empty();
}

/// Engines start without a base model. One that had a model gets the same again; a new one gets one of the
/// models of its service, chosen by a hash of the VM's name.
template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::load_base_model() {
    if (has_base_model() || base_model_load_started_ || fencing_number_ == 0) {
        return;
    }
    base_model_ = ports::choose_base_model(*memory_, base_model_, service_models_, hash64(settings_.node.vm));
    if (base_model_.empty()) {
        return;
    }
    base_model_load_started_ = loop_.now();
    log_event(
        log_level::info, "model_load_started",
        {{"model", base_model_}, {"fencing_number", fencing_number_}, {"started_at", report_->started_at}});
    engine_.load({{base_model_, ""}, fencing_number_, memory_}, [this](const result<std::string>& outcome) {
        base_model_load_started_.reset();
        orders_total_.add({"model", outcome ? "done" : "failed"});
        log_event(log_level::info, "model_load_ended",
                  {{"model", base_model_}, {"failure", outcome ? "" : to_string(outcome.error())}});
        if (!outcome) {
            refuse_waiting(agent_refusal::engine_down);
        } else if (report_) {
            // Takes effect now instead of with the next status poll.
            report_->models = {base_model_};
            set_slot_capacity();
            process_queue();
        }
    });
}

template <request_binding Binding, engine_control Engine>
routing::engine_load engine_agent<Binding, Engine>::current_load() const {
    routing::engine_load load;
    load.backlog_tokens = admission_.backlog_tokens();
    load.running = static_cast<std::uint32_t>(admission_.running_count());
    load.kv_reserved = admission_.reserved_memory();
    load.work_time_percent = work_time_.percent();
    load.prefill_rate = static_cast<std::uint32_t>(admission_.prefill_rate().tokens_per_ms() * 1000.0);
    if (slots_) {
        load.free_slots = static_cast<std::uint32_t>(slots_->free_slots());
        load.waiting_adapters = static_cast<std::uint32_t>(slots_->wanted_count());
        for (const ports::adapter_version& each : slots_->resident_adapters()) {
            load.resident.push_back(each.adapter + "@" + each.version);
        }
    }
    return load;
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::drain() {
    if (drain_started_) {
        return;
    }
    drain_started_ = loop_.now();
    // From now on each response asks the entry to close the connection.
    server_->begin_graceful_shutdown();
    log_event(log_level::info, "drain_started", {{"vm", settings_.node.vm}, {"requests", requests_.size()}});
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::check_drained() {
    const duration elapsed = loop_.now() - *drain_started_;
    const bool is_idle = requests_.empty() && server_->open_connections() == 0;
    if (!is_idle && elapsed < settings_.node.drain_limit - limits::agent_stop_margin) {
        return;
    }
    if (!std::exchange(stopped_accepting_, true)) {
        // Waits one more tick for connections that were accepted in the meantime.
        server_->stop_accepting();
        return;
    }
    log_event(log_level::info, "drain_finished",
              {{"vm", settings_.node.vm}, {"requests_cut", requests_.size()}});
    loop_.stop();
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_crash_message(const net::http_request& request,
                                                     net::http_response& response) {
    const auto told = decode_crash_message(request.body, request.peer);
    if (!told) {
        log_event(log_level::warning, "crash_inquiry_refused",
                  {{"peer", request.peer}, {"failure", to_string(told.error())}});
        response.send(400, {}, told.error().detail + "\n");
        return;
    }
    const time_point now = loop_.now();
    known_crashes_.merge(told->evidence, now);
    if (held_parts_.merge(told->held, now)) {
        log_event(log_level::info, "prompt_parts_held",
                  {{"peer", request.peer}, {"parts", held_parts_.count(now)}});
        withdraw_held();
    }
    if (request.path == announcements_path) {
        response.send(200, {}, "");
        return;
    }
    crash_message own{known_crashes_.evidence_after(0, now),
                      {},
                      report_ ? std::optional{report_->started_at} : std::nullopt};
    remove_known_crashes(own.evidence, told->evidence);
    response.send(200, {{"content-type", "application/json"}}, encode(own));
}

template <request_binding Binding, engine_control Engine>
void engine_agent<Binding, Engine>::on_control(const net::http_request& request,
                                               net::http_response& response) {
    if (request.path == crashes_path || request.path == announcements_path) {
        on_crash_message(request, response);
    } else if (request.path == stream_origins_path) {
        response.send(200, {{"content-type", "application/json"}},
                      answer_origin_query(request.query, stream_origins_, loop_.now()));
    } else if (request.path == releases_path) {
        const auto told = decode_releases(request.body, request.peer);
        if (told) {
            std::ranges::for_each(*told, [this](const adapter_release& each) { apply(each); });
        }
        response.send(told ? 200 : 400, {}, told ? "" : told.error().detail + "\n");
    } else if (request.path == "/metrics") {
        buffer_metrics_.update(*buffers_, *server_);
        response.send(200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text());
    } else if (request.path == "/status") {
        response.send(200, {{"content-type", "application/json"}},
                      "{\"vm\":\"" + settings_.node.vm +
                          "\",\"revision\":0,\"requests\":" + std::to_string(requests_.size()) +
                          ",\"known_streams\":" + std::to_string(stream_origins_.size()) +
                          ",\"engine_up\":" + (is_engine_up() ? "true" : "false") +
                          ",\"engine_cold\":" + (cold_.is_cold(loop_.now()) ? "true" : "false") +
                          ",\"evacuated\":" + (is_evacuated() ? "true" : "false") + "}");
    } else {
        response.send(404, {}, "no such page\n");
    }
}

} // namespace samphiretray::gateway

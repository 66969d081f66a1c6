#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/gateway/entry_gateway.h"
#include "samphiretray/gateway/usage_exchange-inl.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

namespace limits {

/// A connection between the farthest regions takes one round trip of 60 ms; the rest is for busy machines.
inline constexpr duration connect_timeout = 250ms;
/// An agent whose machine or process does not take connections is not tried again for this long.
inline constexpr duration agent_pause = 1s;
/// An engine whose agent has refused for another reason than load is avoided for this long: half of the
/// shortest load of a base model.
inline constexpr duration endpoint_pause = 300ms;
/// Time that a caller has when it states none.
inline constexpr duration default_time = 60s;
/// Part of the target latency that the first choice may let a request wait while others could take it.
inline constexpr double first_choice_wait = 1.5;
/// Told to callers over their organisation's rate, at least.
inline constexpr duration retry_after = 400ms;
/// Told to callers whom no endpoint takes: callers come back once, and a queue at all engines, or the load of
/// a base model after a restart, lasts for one to three seconds.
inline constexpr duration retry_when_full = 1500ms;
/// Told to callers while this process is stopping or full; another entry may be ready at once.
inline constexpr duration retry_elsewhere = 50ms;
/// Told to callers while this process has no configuration: callers come back once, and after a loss of power
/// everywhere the store takes about a second to return.
inline constexpr duration retry_without_configuration = 1s;
inline constexpr duration tick = 100ms;
/// Attempts for one request whatever the route allows, counting those that agents refused.
inline constexpr std::size_t most_places = 5;
/// Urgency of requests goes from 0 to this value.
inline constexpr std::uint32_t least_urgent = 9;
/// Idle connections of callers are kept this much longer than the configured limit, so that it is the caller
/// that closes.
inline constexpr duration idle_margin = 5s;
/// A planned stop ends this long before the process would be killed.
inline constexpr duration stop_margin = 400ms;
/// Requests that are unfinished this long before the end of a planned stop get a final answer; the time is
/// for its way to the caller.
inline constexpr duration last_answers = 200ms;
/// Largest answer that is collected before it is passed on, and all of them together: a quarter of the memory
/// of the smallest entry VM. Calls to plain services are answered with a few kilobytes.
inline constexpr std::size_t most_collected = 4U << 20U;
inline constexpr std::size_t most_collected_at_once = 40U << 20U;
/// A resumable stream goes on elsewhere when no event has come for this part of the time after which its
/// caller leaves, so that the other endpoint has the rest of it.
inline constexpr double stalled_part = 0.5;

} // namespace limits

/// Endpoints that fail are noticed within few requests, since the services have few servers and each failure
/// is a caller's.
inline constexpr routing::ejection_settings gateway_ejection{.consecutive_failures = 4,
                                                             .failure_rate = 0.35,
                                                             .minimum_attempts = 10,
                                                             .window = 5s,
                                                             .base_time = 2s,
                                                             .max_time = 16s,
                                                             .forgiveness = 30s,
                                                             .max_ejected = 0.5};

/// Half of the fleet's budget is left unused: entries do not know each other's repeats.
inline constexpr double used_retry_part = 0.5;

/// Entries that share the retry floor, at least; a new entry does not know the others yet.
inline constexpr std::size_t assumed_entries = 5;

[[nodiscard]] inline routing::retry_settings retry_settings_of(const gateway_settings& settings,
                                                               std::size_t entries) {
    routing::retry_settings values;
    values.ratio = settings.retry_ratio * used_retry_part;
    values.floor =
        settings.retry_floor * used_retry_part / static_cast<double>(std::max(entries, assumed_entries));
    values.floor_period = settings.retry_period;
    values.max_saved = values.floor;
    values.max_attempts = limits::most_places;
    return values;
}

/// Part of what operators tolerate that is given out; the rest is for what peers have not told yet.
inline constexpr double used_tolerance = 0.5;

[[nodiscard]] inline rate::bucket_limits bucket_of(const organisation& of, const gateway_settings& settings) {
    return {of.rate * (1 + settings.rate_tolerance * used_tolerance),
            of.burst + settings.burst_tolerance * used_tolerance};
}

template <request_binding Binding, typename Store>
entry_gateway<Binding, Store>::entry_gateway(net::loop& events, gateway_settings settings, Store& store)
    : loop_(events), settings_(std::move(settings)), incarnation_(random_hex(8)),
      http_(net::http_client::create(events)), choice_({}), ejection_(gateway_ejection),
      retries_(retry_settings_of(settings_, 0)), usage_({}),
      exchange_(events, *http_, store,
                {.vm = settings_.node.vm,
                 .data_centre = settings_.node.data_centre,
                 .listen = settings_.control_listen},
                usage_),
      ended_requests_(metrics_.counter(
          {"samphiretray_requests_total", "Requests by kind and outcome", {"kind", "outcome"}})),
      repeats_(metrics_.counter({"samphiretray_repeats_total", "Repeated attempts by cause", {"cause"}})),
      first_byte_seconds_(metrics_.histogram({"samphiretray_first_byte_seconds",
                                              "Time from the request to the first byte of its answer",
                                              {"kind"}},
                                             observe::latency_buckets())),
      request_seconds_(metrics_.histogram(
          {"samphiretray_request_seconds", "Time from the request to the end of its answer", {"kind"}},
          observe::latency_buckets())) {}

template <request_binding Binding, typename Store>
status entry_gateway<Binding, Store>::start() {
    if (auto started = start_servers(); !started) {
        return started;
    }
    exchange_.start();
    tick_ = loop_.every(limits::tick, [this] { on_tick(); });
    log_event(log_level::info, "entry_started",
              {{"vm", settings_.node.vm},
               {"listen", net::to_string(listen_address())},
               {"incarnation", incarnation_}});
    return success();
}

template <request_binding Binding, typename Store>
status entry_gateway<Binding, Store>::start_servers() {
    net::http_server_options front;
    front.listen = settings_.listen;
    front.idle_timeout = caller_limits{}.idle_timeout + limits::idle_margin;
    auto callers = net::http_server::create(
        loop_, front, [this](net::http_request http, std::shared_ptr<net::http_response> response) {
            on_request(std::move(http), std::move(response));
        });
    if (!callers) {
        return callers.error();
    }
    front_ = std::move(*callers);
    net::http_server_options ready;
    ready.listen = settings_.ready_listen;
    auto balancer = net::http_server::create(
        loop_, ready, [this](const net::http_request&, const std::shared_ptr<net::http_response>& response) {
            response->send(is_ready() ? 200 : 503, {}, "");
        });
    if (!balancer) {
        return balancer.error();
    }
    ready_ = std::move(*balancer);
    net::http_server_options control;
    control.listen = settings_.control_listen;
    auto peers = net::http_server::create(
        loop_, control,
        [this](const net::http_request& http, const std::shared_ptr<net::http_response>& response) {
            on_control(http, response);
        });
    if (!peers) {
        return peers.error();
    }
    control_ = std::move(*peers);
    return success();
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::reload(const gateway_settings& settings) {
    settings_.retry_ratio = settings.retry_ratio;
    settings_.retry_floor = settings.retry_floor;
    retries_.set_settings(retry_settings_of(settings_, entries_));
    settings_.drain_notice = settings.drain_notice;
    settings_.node.drain_limit = settings.node.drain_limit;
    log_event(log_level::info, "settings_reloaded", {{"vm", settings_.node.vm}});
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_ready() const {
    return table_ != nullptr && endpoints_complete_ && !drain_started_;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::apply(routing_state state) {
    if (table_ && state.version <= table_->version()) {
        return;
    }
    const time_point now = loop_.now();
    table_ = std::make_shared<const routing_table>(std::move(state));
    std::vector<std::string> names;
    for (const organisation& each : table_->state().organisations) {
        names.push_back(each.name);
        usage_.set_limits(each.name, bucket_of(each, settings_), now);
    }
    usage_.retain(names);
    if (front_) {
        const caller_limits& callers = table_->state().limits;
        front_->set_limits(callers.max_body_bytes, callers.idle_timeout + limits::idle_margin);
    }
    log_event(log_level::info, "configuration_applied",
              {{"version", table_->version()},
               {"routes", table_->state().routes.size()},
               {"organisations", names.size()}});
    for (const std::string& id : directory_.ids()) {
        refresh_endpoint(*directory_.find(id));
    }
    refresh_pools();
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::apply(const adapter_release& release) {
    std::uint64_t& version = versions_[release.adapter];
    if (release.version <= version) {
        return;
    }
    version = release.version;
    log_event(log_level::info, "adapter_released", {{"adapter", release.adapter}, {"version", version}});
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::refresh_endpoint(const endpoint& value) {
    routing::choice_endpoint known;
    known.id = value.id;
    known.place = net::to_string(value.at);
    known.slots = value.slots;
    const service* of = table_ ? table_->find_service(value.service) : nullptr;
    known.is_engine = of != nullptr && of->engine.has_value();
    known.kv_tokens = known.is_engine ? of->engine->kv_tokens : 0;
    const auto region = settings_.regions.find(value.data_centre);
    const bool is_local = value.data_centre == settings_.node.data_centre;
    const bool is_near = region != settings_.regions.end() && region->second == settings_.node.region;
    // Round trips between the deployments' places: within a data centre, between those of a region, and
    // between regions.
    known.round_trip = is_local ? duration{500us} : is_near ? duration{3ms} : duration{62ms};
    choice_.add(known);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::refresh_pools() {
    std::map<std::string, std::vector<std::string>> pools;
    for (const std::string& id : directory_.ids()) {
        const endpoint* known = directory_.find(id);
        if (!known->draining) {
            pools[known->service].push_back(id);
        }
    }
    for (const auto& [pool, ids] : pools) {
        ejection_.replace_endpoints(pool, ids);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::update_endpoint(endpoint value) {
    const endpoint* known = directory_.find(value.id);
    const bool left = value.draining && (known == nullptr || !known->draining);
    const bool is_same = known != nullptr && known->draining == value.draining && known->at == value.at &&
                         known->started_at == value.started_at;
    const endpoint copy = value;
    const bool restarted = directory_.update(std::move(value));
    if (restarted) {
        refresh_endpoint(copy);
        if (!copy.adapters.empty()) {
            routing::engine_load load;
            // Until its agent tells otherwise, no slot is in use.
            load.free_slots = copy.slots;
            for (const ports::adapter_version& each : copy.adapters) {
                load.resident.push_back(each.adapter + "@" + each.version);
            }
            choice_.observe_engine(copy.id, load, loop_.now());
        }
    }
    if (is_same) {
        return;
    }
    refresh_pools();
    log_event(log_level::info,
              left        ? "endpoint_leaving"
              : restarted ? "endpoint_started"
                          : "endpoint_changed",
              {{"endpoint", copy.id},
               {"service", copy.service},
               {"at", net::to_string(copy.at)},
               {"started_at", copy.started_at}});
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::remove_endpoint(const std::string& id, bool after_outage) {
    directory_.remove(id, after_outage, loop_.now());
    log_event(log_level::info, "endpoint_removed",
              {{"endpoint", id}, {"after_outage", after_outage ? "true" : "false"}});
    if (directory_.find(id) == nullptr) {
        forget_endpoint(id);
        refresh_pools();
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::forget_endpoint(const std::string& id) {
    choice_.remove(id);
    paused_until_.erase(id);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::endpoints_complete() {
    endpoints_complete_ = true;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_request(net::http_request&& http,
                                               std::shared_ptr<net::http_response>&& response) {
    auto request = std::make_shared<active_request>();
    request->id = next_id_++;
    request->http = std::move(http);
    request->response = std::move(response);
    request->arrived = loop_.now();
    request->table = table_;
    active_.emplace(request->id, request);
    if (!accept(request)) {
        return;
    }
    const std::weak_ptr<active_request> weak = request;
    read_on_when_drained(request);
    request->deadline_timer = loop_.after(request->deadline - request->arrived, [this, weak] {
        if (const auto late = weak.lock()) {
            on_deadline(late);
        }
    });
    request->response->on_closed([this, weak] {
        if (const auto left = weak.lock()) {
            on_caller_left(left);
        }
    });
    retries_.request_started(request->service, request->service, request->arrived);
    place(request);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::accept(const request_pointer& request) {
    if (auto decoded = Binding::decode_request(request->http)) {
        request->caller = std::move(*decoded);
    } else {
        refuse(*request, 400, std::nullopt, decoded.error().detail);
        return false;
    }
    if (!table_ || active_.size() > settings_.max_requests) {
        refuse(*request, 503, table_ ? limits::retry_elsewhere : limits::retry_without_configuration,
               table_ ? "too_many_requests" : "no_configuration");
        return false;
    }
    const bool past_notice = drain_started_ && request->arrived - *drain_started_ > settings_.drain_notice;
    if (past_notice) {
        refuse(*request, 503, limits::retry_elsewhere, "stopping");
        return false;
    }
    request->on = table_->match(request->caller.host, request->http.path);
    if (request->on == nullptr) {
        refuse(*request, 404, std::nullopt, "no_route");
        return false;
    }
    const duration time =
        std::min(request->caller.time_left.value_or(limits::default_time), request->on->timeout);
    request->deadline = request->arrived + time;
    for (const prompt_part& part : request->caller.prefix) {
        request->prompt.push_back({part.id, part.tokens});
    }
    return authenticate(*request) && admit(*request);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::authenticate(active_request& request) {
    if (request.on->is_public || !table_->has_organisations()) {
        return true;
    }
    request.owner = request.caller.key.empty() ? nullptr : table_->find_key(sha256_hex(request.caller.key));
    request.caller.key.clear();
    if (request.owner == nullptr) {
        refuse(request, 401, std::nullopt, "unknown_key");
        return false;
    }
    return true;
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::admit(active_request& request) {
    request.service = routing_table::choose_service(*request.on, hash64(request.caller.attempt_id));
    const service* known = table_->find_service(request.service);
    request.is_engine = known != nullptr && known->engine.has_value();
    if (request.owner == nullptr) {
        return true;
    }
    const double stated =
        static_cast<double>(request.caller.prompt_tokens) + request.caller.max_output_tokens;
    request.cost = request.caller.has_tokens ? stated : request.owner->plain_tokens;
    const auto wait = usage_.take(request.owner->name, request.cost, request.arrived);
    if (wait) {
        log_event(log_level::info, "over_rate",
                  {{"request", request.caller.attempt_id},
                   {"organisation", request.owner->name},
                   {"cost", request.cost},
                   {"level", usage_.level(request.owner->name)},
                   {"rate", request.owner->rate},
                   {"peers_heard", usage_.heard_peers(request.arrived)},
                   {"wait_ms", milliseconds_in(*wait)}});
        request.cost = 0;
        refuse(request, 429, std::max(*wait, limits::retry_after), "over_rate");
        return false;
    }
    return true;
}

template <request_binding Binding, typename Store>
std::vector<std::string> entry_gateway<Binding, Store>::usable_endpoints(const active_request& request) {
    const time_point now = loop_.now();
    std::vector<std::string> usable;
    std::vector<std::string> ejected;
    for (const endpoint* each : directory_.live(request.service)) {
        if (std::ranges::find(request.tried, each->id) != request.tried.end()) {
            continue;
        }
        const auto pause = paused_until_.find(each->id);
        const bool paused = pause != paused_until_.end() && now < pause->second;
        (!paused && ejection_.usable(each->id, now) ? usable : ejected).push_back(each->id);
    }
    // With all others gone, an endpoint that fails a part of its requests is still the best choice.
    return usable.empty() ? ejected : usable;
}

template <request_binding Binding, typename Store>
routing::choice_request entry_gateway<Binding, Store>::choice_of(const active_request& request) const {
    return {request.caller.adapter, request.version, request.prompt, request.caller.prompt_tokens,
            request.caller.max_output_tokens};
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_agent_down(const std::string& host) const {
    const auto found = agents_down_until_.find(host);
    return found != agents_down_until_.end() && loop_.now() < found->second;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::place(const request_pointer& request) {
    const auto announced = versions_.find(request->caller.adapter);
    request->version = request->caller.adapter.empty() ? "" : "1";
    if (announced != versions_.end()) {
        request->version = std::to_string(announced->second);
    }
    auto candidates = choice_.order(choice_of(*request), usable_endpoints(*request), loop_.now());
    // Without its agent an engine can serve only what it already holds.
    std::erase_if(candidates, [this](const routing::choice_candidate& each) {
        return !each.resident && is_agent_down(directory_.find(each.id)->at.host);
    });
    if (candidates.empty() || request->tried.size() >= limits::most_places) {
        const std::string_view cause = request->tried.empty()  ? "no_endpoint"
                                       : request->last_refusal ? name_of(*request->last_refusal)
                                                               : "all_refused";
        give_up(*request, cause);
        return;
    }
    send(request, candidates.front(), candidates.size() > 1);
}

template <request_binding Binding, typename Store>
waiting_budget entry_gateway<Binding, Store>::budget_of(const active_request& request,
                                                        bool has_others) const {
    const time_point now = loop_.now();
    const time_point abandoned_at = std::min(request.deadline, request.arrived + request.on->longest_silence);
    waiting_budget budget;
    budget.until_abandoned = abandoned_at - now;
    budget.until_late =
        request.arrived + request.on->target_latency - now - choice_.round_trip(request.endpoint);
    const duration patience = scaled(request.on->target_latency, limits::first_choice_wait);
    const bool may_move_on = has_others && request.tried.empty();
    budget.accepted = may_move_on ? std::min(patience, budget.until_abandoned) : budget.until_abandoned;
    return budget;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::send(const request_pointer& request,
                                         const routing::choice_candidate& chosen, bool has_others) {
    const time_point now = loop_.now();
    const endpoint* to = directory_.find(chosen.id);
    const bool via_agent = request->is_engine && !is_agent_down(to->at.host);
    request->endpoint = to->id;
    request->agent_host = via_agent ? to->at.host : "";
    request->state = answer_state::none;
    request->seen_body = false;
    drop_collected(*request);
    request->events.resume(now);
    request->sent_at = now;
    const std::uint64_t attempt = ++request->attempt;

    forward_fields fields;
    fields.time_left = request->deadline - now;
    fields.endpoint = to->id;
    fields.organisation = request->owner == nullptr ? "" : request->owner->name;
    fields.version = versions_.contains(request->caller.adapter) ? request->version : "";
    const std::uint32_t priority = request->owner != nullptr && request->owner->priority
                                       ? *request->owner->priority
                                       : request->on->priority;
    fields.urgency = std::min(priority, limits::least_urgent);
    fields.resume_after = request->events.last_id().value_or("");

    net::http_call call;
    call.peer = via_agent ? net::address{to->at.host, settings_.agent_port} : to->at;
    call.method = request->http.method;
    call.target = request->http.target;
    call.headers = Binding::forward_headers(request->http.headers, fields);
    if (via_agent) {
        add_waiting_budget(call.headers, budget_of(*request, has_others));
        add_engine_start(call.headers, to->started_at);
    }
    call.body = request->http.body;
    call.timeout = fields.time_left + 1s;
    call.connect_timeout = limits::connect_timeout;
    if (!is_repeatable(*request)) {
        call.max_idle = recent_connection;
    }
    const std::weak_ptr<active_request> weak = request;
    const auto current = [weak, attempt]() -> request_pointer {
        const auto self = weak.lock();
        return self && self->attempt == attempt && self->exchange ? self : nullptr;
    };
    net::http_call_events handlers;
    handlers.on_head = [this, current](int code, const net::http_headers& headers) {
        if (const auto self = current()) {
            on_head(self, code, headers);
        }
    };
    handlers.on_data = [this, current](std::string_view bytes) {
        if (const auto self = current()) {
            on_data(self, bytes);
        }
    };
    handlers.on_end = [this, current](std::optional<error> failure) {
        if (const auto self = current()) {
            on_end(self, std::move(failure));
        }
    };
    log_event(log_level::info, "request_placed",
              {{"request", request->caller.attempt_id},
               {"route", request->on->name},
               {"endpoint", to->id},
               {"agent", via_agent ? "true" : "false"},
               {"attempt", attempt},
               {"estimate_ms", milliseconds_in(chosen.estimate)},
               {"resident", chosen.resident ? "true" : "false"},
               {"kept_tokens", chosen.kept_tokens},
               {"report_age_ms", chosen.report_age ? milliseconds_in(*chosen.report_age) : -1},
               {"configuration", request->table->version()}});
    choice_.sent(to->id, request->id, choice_of(*request));
    ejection_.started(to->id, now);
    request->exchange = http_->send(std::move(call), std::move(handlers));
}

template <request_binding Binding, typename Store>
typename entry_gateway<Binding, Store>::answer_state
entry_gateway<Binding, Store>::classify(const active_request& request, const answer_summary& head,
                                        const net::http_headers& headers) const {
    if (!request.agent_host.empty() && read_refusal(headers)) {
        return answer_state::agent_refused;
    }
    switch (judge_answer(head, request.caller.attempt_id)) {
    case answer_verdict::foreign:
        return answer_state::invalid;
    case answer_verdict::not_run:
        return answer_state::endpoint_refused;
    case answer_verdict::own:
        break;
    }
    return request.on->kind == call_kind::streaming ? answer_state::relayed : answer_state::collected;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_head(const request_pointer& request, int code,
                                            const net::http_headers& headers) {
    const time_point now = loop_.now();
    if (const auto load = read_engine_load(headers)) {
        choice_.observe_engine(request->endpoint, *load, now);
    }
    const answer_summary head = Binding::decode_answer(code, headers);
    if (!request->is_engine && head.running && head.waiting) {
        choice_.observe_plain(request->endpoint, *head.running, *head.waiting, now);
    }
    request->status = code;
    request->state = classify(*request, head, headers);
    if (request->state == answer_state::agent_refused) {
        request->last_refusal = read_refusal(headers);
        return;
    }
    if (request->state == answer_state::invalid) {
        log_event(log_level::warning, "foreign_answer",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"status", code},
                   {"names", head.attempt_id},
                   {"signed", head.is_signed ? "true" : "false"},
                   {"attempt", request->attempt}});
        on_invalid(request, "not an answer to the request");
        return;
    }
    if (head.misdirected) {
        choice_.forget_adapter(request->endpoint, request->caller.adapter);
    }
    if (request->state == answer_state::relayed || request->state == answer_state::collected) {
        request->may_have_run = true;
        request->headers = Binding::answer_headers(headers);
        remove_agent_headers(request->headers);
    }
    if (request->state == answer_state::relayed && !request->response->is_started()) {
        request->response->start(code, request->headers);
    } else if (request->state == answer_state::relayed && !has_events(*request)) {
        end_exchange(*request);
        on_broken(request, "the run that was to continue the stream failed");
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_data(const request_pointer& request, std::string_view bytes) {
    if (!std::exchange(request->seen_body, true)) {
        choice_.answered(request->endpoint, request->id);
        request->first_byte_at = request->first_byte_at.value_or(loop_.now());
    }
    if (request->state == answer_state::relayed) {
        on_stream_data(request, bytes);
    } else if (request->state == answer_state::collected) {
        collect(request, bytes);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_stream_data(const request_pointer& request, std::string_view bytes) {
    if (!has_events(*request)) {
        relay(*request->response, *request->exchange, bytes);
        return;
    }
    const std::string events = request->events.take(bytes, loop_.now());
    if (!events.empty()) {
        relay(*request->response, *request->exchange, events);
    }
    if (request->events.is_overlong()) {
        end_exchange(*request);
        on_broken(request, "an event without end");
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::collect(const request_pointer& request, std::string_view bytes) {
    const bool is_too_large = request->body.size() + bytes.size() > limits::most_collected;
    if (is_too_large || collected_bytes_ + bytes.size() > limits::most_collected_at_once) {
        log_event(log_level::warning, "answer_too_large",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"bytes", request->body.size()},
                   {"bytes_of_all", collected_bytes_}});
        request->state = answer_state::invalid;
        on_invalid(request, "the answer is too large");
        return;
    }
    request->body += bytes;
    collected_bytes_ += bytes.size();
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::drop_collected(active_request& request) {
    collected_bytes_ -= request.body.size();
    request.body = {};
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::end_exchange(active_request& request) {
    // Ends the connection too: whatever it brings next is no answer to a later request.
    request.exchange.reset();
    choice_.ended(request.endpoint, request.id, std::nullopt);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_invalid(const request_pointer& request, std::string_view cause) {
    end_exchange(*request);
    drop_collected(*request);
    ejection_.failed(request->endpoint, loop_.now());
    ++request->sends;
    request->may_have_run = true;
    try_again(request, true, cause);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_resumable(const active_request& request) {
    return request.on->kind == call_kind::streaming && request.on->resumable;
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_repeatable(const active_request& request) {
    return request.on->kind == call_kind::safe || is_resumable(request);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::has_events(const active_request& request) {
    return request.on->kind == call_kind::streaming && request.status >= 200 && request.status < 300;
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::may_have_run(const active_request& request) {
    return request.may_have_run || (request.exchange && request.exchange->may_have_been_sent());
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_end(const request_pointer& request, std::optional<error> failure) {
    const time_point now = loop_.now();
    choice_.ended(request->endpoint, request->id,
                  failure ? std::nullopt : std::optional<duration>{now - request->sent_at});
    const bool refused = request->state == answer_state::agent_refused &&
                         request->last_refusal != agent_refusal::outcome_unknown;
    if (refused && !failure) {
        ejection_.abandoned(request->endpoint, now);
        if (request->last_refusal == agent_refusal::engine_restarted) {
            // Its record is older than its engine. A record that is still written brings it back.
            remove_endpoint(request->endpoint, false);
            place(request);
            return;
        }
        request->tried.push_back(request->endpoint);
        if (request->last_refusal != agent_refusal::busy &&
            request->last_refusal != agent_refusal::deadline) {
            paused_until_[request->endpoint] = now + limits::endpoint_pause;
        }
        place(request);
        return;
    }
    if (request->state == answer_state::endpoint_refused && !failure) {
        ejection_.abandoned(request->endpoint, now);
        ++request->sends;
        try_again(request, false, "endpoint_refused");
        return;
    }
    if (request->state == answer_state::collected && !failure) {
        deliver(request);
        return;
    }
    if (request->state == answer_state::relayed) {
        const std::string_view rest = request->events.held();
        const bool ends_inside_event = !rest.empty() && request->events.last_id();
        if (failure || ends_inside_event) {
            on_broken(request, failure ? to_string(*failure) : "the stream ended inside an event");
            return;
        }
        ejection_.succeeded(request->endpoint, now);
        request->response->write(rest);
        request->response->finish();
        end(*request, request->status < 400 ? request_outcome::answered : request_outcome::endpoint_failed,
            request->status, "");
        return;
    }
    on_unanswered(request, failure);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_broken(const request_pointer& request, std::string_view cause) {
    ejection_.failed(request->endpoint, loop_.now());
    ++request->sends;
    if (is_resumable(*request)) {
        try_again(request, true, cause);
        return;
    }
    request->response->abort();
    end(*request, request_outcome::broken, request->status, cause);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_unanswered(const request_pointer& request,
                                                  const std::optional<error>& failure) {
    const time_point now = loop_.now();
    const bool never_sent = failure && !request->exchange->may_have_been_sent();
    if (never_sent && !request->agent_host.empty()) {
        // The agent does not answer; its engine may.
        ejection_.abandoned(request->endpoint, now);
        agents_down_until_[request->agent_host] = now + limits::agent_pause;
        log_event(log_level::warning, "agent_lost",
                  {{"request", request->caller.attempt_id},
                   {"at", request->agent_host},
                   {"failure", to_string(*failure)}});
        place(request);
        return;
    }
    ejection_.failed(request->endpoint, now);
    if (never_sent) {
        request->tried.push_back(request->endpoint);
        log_event(log_level::warning, "endpoint_unreachable",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"failure", to_string(*failure)}});
        place(request);
        return;
    }
    ++request->sends;
    request->may_have_run = true;
    try_again(request, true, failure ? to_string(*failure) : "the engine's answer to its agent was lost");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::deliver(const request_pointer& request) {
    const time_point now = loop_.now();
    const bool failed = request->status >= 500;
    if (failed) {
        ejection_.failed(request->endpoint, now);
        ++request->sends;
        if (is_repeatable(*request) && request->sends < request->on->max_attempts &&
            usable_endpoints(*request).size() > 1) {
            const routing::failed_attempt attempt{
                request->service, request->service, request->sends, request->deadline, true, true, false};
            if (retries_.decide(attempt, now) == routing::retry_verdict::retry) {
                repeats_.add({"endpoint_failed"});
                request->tried.push_back(request->endpoint);
                place(request);
                return;
            }
        }
    } else {
        ejection_.succeeded(request->endpoint, now);
    }
    std::erase_if(request->headers, [](const net::http_header& header) {
        return net::is_same_header(header.name, "content-length");
    });
    request->response->send(request->status, request->headers, request->body);
    end(*request, failed ? request_outcome::endpoint_failed : request_outcome::answered, request->status, "");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::try_again(const request_pointer& request, bool forwarded,
                                              std::string_view cause) {
    const time_point now = loop_.now();
    request->tried.push_back(request->endpoint);
    const bool repeatable = is_repeatable(*request);
    const routing::failed_attempt failed{
        request->service, request->service, request->sends, request->deadline, repeatable, forwarded, false};
    const bool may_run_elsewhere = !forwarded || request->sends < request->on->max_attempts;
    const auto verdict =
        may_run_elsewhere ? retries_.decide(failed, now) : routing::retry_verdict::too_many_attempts;
    log_event(log_level::info, "attempt_failed",
              {{"request", request->caller.attempt_id},
               {"endpoint", request->endpoint},
               {"verdict", name_of(verdict)},
               {"status", request->status},
               {"cause", cause}});
    if (verdict == routing::retry_verdict::retry) {
        repeats_.add({forwarded ? "unknown" : "refused"});
        place(request);
        return;
    }
    give_up(*request, cause);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::give_up(active_request& request, std::string_view cause) {
    if (request.response->is_started()) {
        request.response->abort();
        end(request, request_outcome::broken, request.status, cause);
    } else if (request.may_have_run) {
        refuse(request, 502, std::nullopt, cause);
    } else {
        refuse(request, 503, request.is_engine ? limits::retry_when_full : limits::retry_after, cause);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_deadline(const request_pointer& request) {
    if (request->ended) {
        return;
    }
    const bool in_flight = request->exchange && request->exchange->may_have_been_sent();
    if (in_flight) {
        ejection_.failed(request->endpoint, loop_.now());
        choice_.ended(request->endpoint, request->id, std::nullopt);
    }
    if (request->response->is_started()) {
        request->response->abort();
        end(*request, request_outcome::broken, request->status, "deadline");
        return;
    }
    refuse(*request, may_have_run(*request) ? 504 : 503, std::nullopt, "deadline");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_caller_left(const request_pointer& request) {
    if (request->ended) {
        return;
    }
    if (request->exchange) {
        choice_.ended(request->endpoint, request->id, std::nullopt);
        ejection_.abandoned(request->endpoint, loop_.now());
    }
    end(*request, request_outcome::abandoned, 0, "caller_left");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::refuse(active_request& request, int code,
                                           std::optional<duration> retry_after, std::string_view cause) {
    net::http_headers headers{{"content-type", "text/plain"}};
    if (retry_after) {
        // Seconds with three decimals.
        const auto milliseconds = std::to_string(milliseconds_in(*retry_after) % 1000);
        headers.push_back({"retry-after", std::to_string(milliseconds_in(*retry_after) / 1000) + "." +
                                              std::string(3 - milliseconds.size(), '0') + milliseconds});
    }
    const bool leave = drain_started_.has_value();
    if (leave || code == 400) {
        headers.push_back({"connection", "close"});
    }
    const bool not_run = code == 503 || code == 429;
    if (not_run && request.owner != nullptr && request.cost > 0) {
        usage_.put_back(request.owner->name, request.cost);
    }
    request.response->send(code, headers, std::string{cause} + "\n");
    end(request, not_run || code < 500 ? request_outcome::refused : request_outcome::unknown, code, cause);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::end(active_request& request, request_outcome outcome, int code,
                                        std::string_view cause) {
    if (std::exchange(request.ended, true)) {
        return;
    }
    const time_point now = loop_.now();
    const std::string_view kind = request.on == nullptr ? "none" : name_of(request.on->kind);
    ended_requests_.add({kind, name_of(outcome)});
    request_seconds_.observe({kind}, std::chrono::duration<double>(now - request.arrived).count());
    const auto first_ms =
        request.first_byte_at ? milliseconds_in(*request.first_byte_at - request.arrived) : -1;
    if (request.first_byte_at) {
        first_byte_seconds_.observe({kind}, static_cast<double>(first_ms) / 1000.0);
    }
    log_event(log_level::info, "request_ended",
              {{"request", request.caller.attempt_id},
               {"route", request.on == nullptr ? std::string{} : request.on->name},
               {"organisation", request.owner == nullptr ? std::string{} : request.owner->name},
               {"endpoint", request.endpoint},
               {"adapter", request.caller.adapter},
               {"tokens", request.cost},
               {"status", code},
               {"outcome", name_of(outcome)},
               {"cause", cause},
               {"attempts", request.attempt},
               {"first_ms", first_ms},
               {"total_ms", milliseconds_in(now - request.arrived)}});
    drop_collected(request);
    const auto found = active_.find(request.id);
    if (found != active_.end()) {
        // The timer or the exchange may be the one that is running.
        loop_.post([kept = std::move(found->second)] {
            kept->exchange.reset();
            kept->deadline_timer.reset();
        });
        active_.erase(found);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_tick() {
    const auto expired = directory_.expire(loop_.now());
    for (const std::string& id : expired) {
        log_event(log_level::info, "endpoint_expired", {{"endpoint", id}});
        forget_endpoint(id);
    }
    if (!expired.empty()) {
        refresh_pools();
    }
    if (std::exchange(entries_, exchange_.entries()) != exchange_.entries()) {
        retries_.set_settings(retry_settings_of(settings_, entries_));
    }
    check_stalled();
    if (drain_started_) {
        check_drained();
    }
}

/// Callers leave a stream without events after a time that the route states. Bytes that complete no event do
/// not count; an answer whose caller does not read is not stalled.
template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::check_stalled() {
    std::vector<request_pointer> stalled;
    const time_point now = loop_.now();
    for (const request_pointer& each : active_ | std::views::values) {
        const bool is_stream = each->state == answer_state::relayed && each->exchange && has_events(*each);
        if (!is_stream || each->response->buffered_bytes() > 0) {
            continue;
        }
        const double part = is_resumable(*each) ? limits::stalled_part : 1.0;
        if (now - each->events.progress_at() > scaled(each->on->longest_silence, part)) {
            stalled.push_back(each);
        }
    }
    std::ranges::for_each(stalled, [this](const request_pointer& each) { move_stalled(each); });
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::move_stalled(const request_pointer& request) {
    const duration silence = loop_.now() - request->events.progress_at();
    const bool may_resume = is_resumable(*request) && request->sends + 1 < request->on->max_attempts &&
                            usable_endpoints(*request).size() > 1;
    if (!may_resume && silence <= request->on->longest_silence) {
        return;
    }
    log_event(log_level::warning, "stream_stalled",
              {{"request", request->caller.attempt_id},
               {"endpoint", request->endpoint},
               {"silence_ms", milliseconds_in(silence)},
               {"incomplete_bytes", request->events.held().size()}});
    end_exchange(*request);
    on_broken(request, "no event for too long");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::drain() {
    if (drain_started_) {
        return;
    }
    drain_started_ = loop_.now();
    log_event(log_level::info, "drain_started", {{"vm", settings_.node.vm}, {"requests", active_.size()}});
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::check_drained() {
    const duration passed = loop_.now() - *drain_started_;
    if (passed < settings_.drain_notice) {
        return;
    }
    if (!std::exchange(closing_, true)) {
        front_->begin_graceful_shutdown();
    }
    const bool finished = active_.empty() && front_->open_connections() == 0;
    const duration limit = settings_.node.drain_limit - limits::stop_margin;
    if (!finished && passed >= limit - limits::last_answers && !std::exchange(answered_all_, true)) {
        answer_all_before_stop();
    }
    if (!finished && passed < limit) {
        return;
    }
    log_event(log_level::info, "drain_finished",
              {{"vm", settings_.node.vm}, {"requests_cut", active_.size()}});
    loop_.stop();
}

/// Whoever has waited until now gets a true answer instead of a closed connection.
template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::answer_all_before_stop() {
    std::vector<request_pointer> unfinished;
    std::ranges::copy(active_ | std::views::values, std::back_inserter(unfinished));
    for (const request_pointer& each : unfinished) {
        if (each->response->is_started()) {
            continue;
        }
        const bool has_run = may_have_run(*each);
        refuse(*each, has_run ? 502 : 503,
               has_run ? std::nullopt : std::optional<duration>{limits::retry_elsewhere}, "stopping");
    }
}

template <request_binding Binding, typename Store>
std::string entry_gateway<Binding, Store>::status_text() const {
    return "{\"vm\":\"" + settings_.node.vm +
           "\",\"revision\":" + std::to_string(table_ ? table_->version() : 0) +
           ",\"ready\":" + (is_ready() ? "true" : "false") +
           ",\"endpoints\":" + std::to_string(directory_.size()) +
           ",\"requests\":" + std::to_string(active_.size()) + "}";
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_control(const net::http_request& request,
                                               const std::shared_ptr<net::http_response>& response) {
    if (const auto page = peer_pages_.find(request.path); page != peer_pages_.end()) {
        page->second(request, response);
    } else if (request.path == "/usage") {
        response->send(200, {{"content-type", "application/json"}},
                       encode(usage_report{settings_.node.vm, incarnation_, table_ ? table_->version() : 0,
                                           usage_.spent()}));
    } else if (request.path == "/metrics") {
        response->send(200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text());
    } else if (request.path == "/status") {
        response->send(200, {{"content-type", "application/json"}}, status_text());
    } else {
        response->send(404, {}, "no such page\n");
    }
}

} // namespace samphiretray::gateway

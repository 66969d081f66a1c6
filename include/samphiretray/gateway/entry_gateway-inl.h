#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/base/rendezvous.h"
#include "samphiretray/base/text.h"
#include "samphiretray/gateway/crash_report.h"
#include "samphiretray/gateway/entry_gateway.h"
#include "samphiretray/gateway/quarantine_record-inl.h"
#include "samphiretray/gateway/usage_exchange-inl.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

namespace limits {

/// Connecting between the farthest regions takes one round trip of 60 ms; the rest allows for busy machines.
inline constexpr duration connect_timeout = 250ms;
/// An agent that could not be connected to is not tried again for this long.
inline constexpr duration agent_cooldown = 1s;
/// An engine whose agent has refused a request for a reason other than its load or the request's deadline is
/// avoided for this long: half of the shortest time to load a base model.
inline constexpr duration endpoint_cooldown = 300ms;
/// Timeout of a request that states none.
inline constexpr duration default_timeout = 60s;
/// Least `retry-after` for organisations over their rate; also sent when a plain service has no usable
/// endpoint.
inline constexpr duration default_retry_after = 400ms;
/// `retry-after` when no engine takes a request. Callers retry only once, and full queues at all engines, or
/// the load of a base model after a restart, last for one to three seconds.
inline constexpr duration retry_after_when_full = 1500ms;
/// `retry-after` while this process is shutting down or full; another entry may be ready at once.
inline constexpr duration retry_after_elsewhere = 50ms;
/// `retry-after` while this process has no configuration. Callers retry only once, and after a power loss at
/// all sites the store takes about a second to return.
inline constexpr duration retry_after_without_configuration = 1s;
inline constexpr duration tick_interval = 100ms;
/// An engine that crashes on a request does so within this time from the first byte of the answer.
inline constexpr duration max_suspect_answer_age = 500ms;
/// An engine that has gone on for this long after the first byte of an answer will not crash on the request.
inline constexpr duration harmless_answer_age = 1s;
/// While prompt parts are quarantined, agents are told again after this time, since they may have been
/// restarted.
inline constexpr duration quarantine_announcement_interval = 5s;
/// The record in the store is written again after this time, since the store may lose it.
inline constexpr duration quarantine_record_interval = 10s;
inline constexpr std::size_t entries_informing_an_agent = 2;
inline constexpr std::size_t entries_recording_the_quarantine = 2;
/// Most endpoints tried for one request, whatever the route allows; those whose agents refused count.
inline constexpr std::size_t max_tried_endpoints = 5;
/// The urgency of a request ranges from 0, the most urgent, to this value.
inline constexpr std::uint32_t least_urgent = 9;
/// Idle connections of callers are kept this much longer than the configured limit, so that the caller closes
/// them first.
inline constexpr duration idle_timeout_margin = 5s;
/// A graceful shutdown ends this long before the process would be killed.
inline constexpr duration stop_margin = 400ms;
/// Requests that are unfinished this long before the end of a graceful shutdown get a final answer; the time
/// allows for its transfer to the caller.
inline constexpr duration final_answer_margin = 200ms;
/// Limits of one buffered answer and of all buffered answers together. The latter is a quarter of the memory
/// of the smallest entry VM. Answers of plain services have a few kilobytes.
inline constexpr std::size_t max_buffered_answer_bytes = 4U << 20U;
inline constexpr std::size_t max_total_buffered_bytes = 40U << 20U;
/// Answers of which fewer bytes are kept are never aborted for the sake of that limit: a few large ones must
/// not cost the others theirs.
inline constexpr std::size_t small_buffered_answer_bytes = 16U << 10U;
/// A resumable stream moves to another endpoint when no event has come for this fraction of the time after
/// which its caller disconnects, so that the other endpoint has the rest of that time.
inline constexpr double resume_silence_fraction = 0.5;
/// Readiness checks have no body.
inline constexpr std::size_t max_readiness_body_bytes = 16U << 10U;

} // namespace limits

/// Seconds with three decimals.
[[nodiscard]] inline std::string retry_after_text(duration wait) {
    const auto milliseconds = std::to_string(milliseconds_in(wait) % 1000);
    return std::to_string(milliseconds_in(wait) / 1000) + "." + std::string(3 - milliseconds.size(), '0') +
           milliseconds;
}

/// Failing endpoints are ejected after few requests, since services have few servers and each failure reaches
/// a caller.
inline constexpr routing::ejection_settings gateway_ejection{.consecutive_failures = 4,
                                                             .failure_rate = 0.35,
                                                             .minimum_attempts = 10,
                                                             .window = 5s,
                                                             .base_ejection_time = 2s,
                                                             .max_ejection_time = 16s,
                                                             .reset_time = 30s,
                                                             .max_ejected_fraction = 0.5};

/// Fraction of the retry budget that is used. Half of it is left unused, since entries do not know each
/// other's retries.
inline constexpr double used_retry_fraction = 0.5;

/// Least number of entries that are assumed to share the retry floor; a new entry does not know the others
/// yet.
inline constexpr std::size_t min_assumed_entries = 5;

[[nodiscard]] inline routing::retry_settings retry_settings_of(const gateway_settings& settings,
                                                               std::size_t entries) {
    routing::retry_settings values;
    values.ratio = settings.retry_ratio * used_retry_fraction;
    values.floor = settings.retry_floor * used_retry_fraction /
                   static_cast<double>(std::max(entries, min_assumed_entries));
    values.floor_period = settings.retry_period;
    values.max_unused_retries = values.floor;
    values.max_attempts = limits::max_tried_endpoints;
    return values;
}

/// Fraction of the operators' tolerance that is granted; the rest covers usage that peers have not reported
/// yet.
inline constexpr double used_tolerance_fraction = 0.5;

[[nodiscard]] inline rate::bucket_limits bucket_limits_of(const organisation& limited,
                                                          const gateway_settings& settings) {
    return {limited.rate * (1 + settings.rate_tolerance * used_tolerance_fraction),
            limited.burst + settings.burst_tolerance * used_tolerance_fraction};
}

template <request_binding Binding, typename Store>
entry_gateway<Binding, Store>::entry_gateway(net::loop& events, gateway_settings settings, Store& store)
    : loop_(events), settings_(std::move(settings)), incarnation_(random_hex(8)),
      buffers_(std::make_shared<net::buffer_budget>(net::buffer_limits_of(settings_.node.memory_mb))),
      buffered_answers_(buffers_, nullptr, events.now()), http_(net::http_client::create(events)),
      choice_({}), ejection_(gateway_ejection), retries_(retry_settings_of(settings_, 0)), usage_({}),
      quarantine_({}), suspected_requests_({}), limits_({}), rules_(settings_.regions),
      usage_exchange_(events, *http_, store,
                      {.vm = settings_.node.vm,
                       .data_centre = settings_.node.data_centre,
                       .listen = settings_.control_listen},
                      usage_, quarantine_, suspected_requests_, limits_),
      crash_exchange_(events, *http_, quarantine_, suspected_requests_, settings_.agent_control_port),
      release_exchange_(events, *http_, settings_.agent_control_port), origin_exchange_(events, *http_),
      quarantine_record_(events, store, settings_.node.vm, quarantine_, suspected_requests_),
      ended_requests_(metrics_.counter(
          {"samphiretray_requests_total", "Requests by kind and outcome", {"kind", "outcome"}})),
      retry_counter_(
          metrics_.counter({"samphiretray_repeats_total", "Repeated attempts by cause", {"cause"}})),
      quarantine_counter_(metrics_.counter({"samphiretray_prompt_part_quarantines_total",
                                            "Changes of the quarantine of prompt parts",
                                            {"phase"}})),
      held_back_counter_(metrics_.counter({"samphiretray_held_back_requests_total",
                                           "Requests refused because of a quarantined prompt part",
                                           {}})),
      request_quarantine_counter_(metrics_.counter(
          {"samphiretray_request_quarantines_total", "Changes of the quarantine of requests", {"phase"}})),
      held_back_requests_counter_(metrics_.counter({"samphiretray_held_back_attempts_total",
                                                    "Attempts refused because their request is quarantined",
                                                    {}})),
      continued_streams_counter_(
          metrics_.counter({"samphiretray_continued_streams_total",
                            "Requests that go on with a stream, by what is known of it",
                            {"continuation"}})),
      known_streams_gauge_(metrics_.gauge(
          {"samphiretray_known_stream_requests", "Streams whose software version is remembered", {}})),
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
    usage_exchange_.on_peers_changed([this](const std::vector<peer_entry>& peers) {
        peers_ = peers;
        std::vector<std::string> names{settings_.node.vm};
        std::ranges::transform(peers, std::back_inserter(names), &peer_entry::vm);
        rules_.set_members(settings_.node.vm, std::move(names));
        if (on_peers_) {
            on_peers_(peers);
        }
    });
    usage_exchange_.start();
    quarantine_record_.read();
    tick_timer_ = loop_.every(limits::tick_interval, [this] { on_tick(); });
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
    front.idle_timeout = caller_limits{}.idle_timeout + limits::idle_timeout_margin;
    front.buffers = buffers_;
    front.max_connections = max_caller_connections(settings_.node.max_descriptors);
    front.link_bytes_per_s = settings_.node.link_mbps * bytes_per_s_of_mbps;
    front.overload_headers = {{"retry-after", retry_after_text(limits::retry_after_elsewhere)}};
    auto callers = net::http_server::create(
        loop_, front, [this](net::http_request http, std::shared_ptr<net::http_response> response) {
            on_request(std::move(http), std::move(response));
        });
    if (!callers) {
        return callers.error();
    }
    caller_server_ = std::move(*callers);
    net::http_server_options ready;
    ready.listen = settings_.ready_listen;
    ready.buffers = buffers_;
    ready.max_body_bytes = limits::max_readiness_body_bytes;
    auto readiness = net::http_server::create(
        loop_, ready, [this](const net::http_request&, const std::shared_ptr<net::http_response>& response) {
            response->send(is_ready() ? 200 : 503, {}, "");
        });
    if (!readiness) {
        return readiness.error();
    }
    readiness_server_ = std::move(*readiness);
    net::http_server_options control;
    control.listen = settings_.control_listen;
    control.buffers = buffers_;
    auto control_api = net::http_server::create(
        loop_, control,
        [this](const net::http_request& http, const std::shared_ptr<net::http_response>& response) {
            on_control_request(http, response);
        });
    if (!control_api) {
        return control_api.error();
    }
    control_server_ = std::move(*control_api);
    return success();
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::reload(const gateway_settings& settings) {
    settings_.retry_ratio = settings.retry_ratio;
    settings_.retry_floor = settings.retry_floor;
    retries_.set_settings(retry_settings_of(settings_, entry_count_));
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
        usage_.set_limits(each.name, bucket_limits_of(each, settings_), now);
    }
    usage_.retain(names);
    rules_.set_services(table_->state().services);
    if (caller_server_) {
        const caller_limits& callers = table_->state().limits;
        caller_server_->set_limits(callers.max_body_bytes,
                                   callers.idle_timeout + limits::idle_timeout_margin);
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
    if (!releases_.note(release)) {
        return;
    }
    log_event(log_level::info, "adapter_released",
              {{"adapter", release.adapter}, {"version", release.version}});
    std::set<std::string> waiting_at;
    for (const request_pointer& each : active_requests_ | std::views::values) {
        if (each->caller.adapter == release.adapter && each->state == answer_state::awaiting_head &&
            !each->agent_host.empty()) {
            waiting_at.insert(each->agent_host);
        }
    }
    release_exchange_.announce(waiting_at, release);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::refresh_endpoint(const endpoint& value) {
    routing::choice_endpoint known;
    known.id = value.id;
    known.address = net::to_string(value.address);
    known.slots = value.slots;
    const service* configured = table_ ? table_->find_service(value.service) : nullptr;
    known.is_engine = configured != nullptr && configured->engine.has_value();
    known.kv_tokens = known.is_engine ? configured->engine->kv_tokens : 0;
    const auto region = settings_.regions.find(value.data_centre);
    const bool is_local = value.data_centre == settings_.node.data_centre;
    const bool is_near = region != settings_.regions.end() && region->second == settings_.node.region;
    // Round trips in the deployments: within a data centre, between data centres of a region, and between
    // regions.
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
void entry_gateway<Binding, Store>::update_endpoint(endpoint value, std::optional<time_point> changed_after) {
    if (directory_.is_outdated(value, loop_.now())) {
        log_event(log_level::info, "endpoint_record_outdated",
                  {{"endpoint", value.id},
                   {"started_at", value.started_at},
                   {"sequence", value.sequence},
                   {"draining", value.draining ? "true" : "false"}});
        return;
    }
    const endpoint* known = directory_.find(value.id);
    const bool began_draining = value.draining && (known == nullptr || !known->draining);
    const bool is_same = known != nullptr && known->draining == value.draining &&
                         known->address == value.address && known->started_at == value.started_at;
    const endpoint copy = value;
    const bool restarted = directory_.update(std::move(value), changed_after);
    rules_.on_record(copy, restarted, loop_.now());
    restart_signs_.on_record(copy.id, restarted, changed_after);
    if (restarted) {
        refresh_endpoint(copy);
        if (!copy.adapters.empty()) {
            routing::engine_load load;
            // All slots are assumed free until the agent reports the engine's load.
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
              began_draining ? "endpoint_leaving"
              : restarted    ? "endpoint_started"
                             : "endpoint_changed",
              {{"endpoint", copy.id},
               {"service", copy.service},
               {"at", net::to_string(copy.address)},
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
    endpoints_paused_until_.erase(id);
    limits_.forget(id);
    rules_.forget(id);
    restart_signs_.forget(id);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::begin_evacuation(const std::string& data_centre) {
    if (rules_.begin_evacuation(data_centre)) {
        log_event(log_level::warning, "evacuation_began", {{"data_centre", data_centre}});
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::end_evacuation(const std::string& data_centre, bool after_outage) {
    if (rules_.end_evacuation(data_centre, after_outage, directory_.all(), loop_.now())) {
        on_evacuation_ended(data_centre);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_evacuation_ended(const std::string& data_centre) {
    log_event(log_level::warning, "evacuation_ended",
              {{"data_centre", data_centre}, {"cold_endpoints", rules_.cold_count(loop_.now())}});
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::set_endpoints_complete() {
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
    active_requests_.emplace(request->id, request);
    if (!accept(request)) {
        return;
    }
    const std::weak_ptr<active_request> weak = request;
    resume_reading_when_drained(request);
    request->deadline_timer = loop_.after(request->deadline - request->arrived, [this, weak] {
        if (const auto late = weak.lock()) {
            on_deadline(late);
        }
    });
    request->response->on_closed([this, weak] {
        if (const auto disconnected = weak.lock()) {
            on_caller_disconnected(disconnected);
        }
    });
    retries_.request_started(request->service, request->service, request->arrived);
    if (request->matched_route->kind == call_kind::streaming && request->caller.continues_stream) {
        find_origin(request);
    } else {
        dispatch(request);
    }
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::accept(const request_pointer& request) {
    if (auto decoded = Binding::decode_request(request->http)) {
        request->caller = std::move(*decoded);
    } else {
        refuse(*request, 400, std::nullopt, decoded.error().detail);
        return false;
    }
    if (!table_ || active_requests_.size() > settings_.max_requests) {
        refuse(*request, 503,
               table_ ? limits::retry_after_elsewhere : limits::retry_after_without_configuration,
               table_ ? "too_many_requests" : "no_configuration");
        return false;
    }
    const bool past_notice = drain_started_ && request->arrived - *drain_started_ > settings_.drain_notice;
    if (past_notice) {
        refuse(*request, 503, limits::retry_after_elsewhere, "stopping");
        return false;
    }
    request->matched_route = table_->match(request->caller.host, request->http.path);
    if (request->matched_route == nullptr) {
        deny(*request, 404, "no_route");
        return false;
    }
    const duration timeout = std::min(request->caller.time_left.value_or(limits::default_timeout),
                                      request->matched_route->timeout);
    request->deadline = request->arrived + timeout;
    for (const prompt_part& part : request->caller.prefix) {
        request->prompt.push_back({part.id, part.tokens});
    }
    request->shared =
        make_prompt_request(hash64(request->caller.attempt_id), shared_part_ids(request->caller.prefix));
    if (!authenticate(*request)) {
        return false;
    }
    const std::string organisation = request->owner == nullptr ? "" : request->owner->name;
    request->key = make_request_key(request->caller, request->http, organisation);
    request->stream = routing::make_stream_key(organisation, stream_attempt_of(request->caller));
    return admit(*request);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::authenticate(active_request& request) {
    if (request.matched_route->is_public || !table_->requires_keys()) {
        return true;
    }
    request.owner = request.caller.api_key.empty()
                        ? nullptr
                        : table_->find_organisation_by_key(sha256_hex(request.caller.api_key));
    request.caller.api_key.clear();
    if (request.owner == nullptr) {
        deny(request, 401, "unknown_key");
        return false;
    }
    return true;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::deny(active_request& request, int code, std::string_view cause) {
    const contact_state contact{configuration_age_ ? configuration_age_() : duration::zero(), peers_.size(),
                                usage_.active_peer_count(loop_.now())};
    if (may_deny(contact)) {
        refuse(request, code, std::nullopt, cause);
        return;
    }
    log_event(log_level::warning, "configuration_outdated",
              {{"request", request.caller.attempt_id},
               {"cause", cause},
               {"version", table_->version()},
               {"age_ms", milliseconds_in(contact.configuration_age)},
               {"peers", contact.peers}});
    refuse(request, 503, limits::retry_after_elsewhere, "configuration_outdated");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::set_service(active_request& request, const std::string& name) {
    request.service = name;
    const service* known = table_->find_service(name);
    request.is_engine = known != nullptr && known->engine.has_value();
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::admit(active_request& request) {
    set_service(request,
                routing_table::choose_service(*request.matched_route, hash64(request.caller.attempt_id)));
    if (request.owner == nullptr) {
        return true;
    }
    const double stated =
        static_cast<double>(request.caller.prompt_tokens) + request.caller.max_output_tokens;
    request.cost = request.caller.has_tokens ? stated : request.owner->default_request_tokens;
    const auto wait = usage_.take(request.owner->name, request.cost, request.arrived);
    if (wait) {
        log_event(log_level::info, "over_rate",
                  {{"request", request.caller.attempt_id},
                   {"organisation", request.owner->name},
                   {"cost", request.cost},
                   {"level", usage_.level(request.owner->name)},
                   {"rate", request.owner->rate},
                   {"peers_heard", usage_.active_peer_count(request.arrived)},
                   {"wait_ms", milliseconds_in(*wait)}});
        request.cost = 0;
        refuse(request, 429, std::max(*wait, limits::default_retry_after), "over_rate");
        return false;
    }
    return true;
}

template <request_binding Binding, typename Store>
std::vector<std::string> entry_gateway<Binding, Store>::usable_endpoints(const active_request& request) {
    const time_point now = loop_.now();
    std::vector<std::string> usable;
    std::vector<std::string> avoided;
    for (const endpoint* each : allowed_endpoints(request)) {
        if (std::ranges::find(request.tried_endpoints, each->id) != request.tried_endpoints.end()) {
            continue;
        }
        if (is_limited(request, *each)) {
            continue;
        }
        const auto pause = endpoints_paused_until_.find(each->id);
        const bool paused = pause != endpoints_paused_until_.end() && now < pause->second;
        (!paused && ejection_.usable(each->id, now) ? usable : avoided).push_back(each->id);
    }
    // If all endpoints are paused or ejected, one that fails some of its requests is better than none.
    std::vector<std::string> chosen = usable.empty() ? avoided : usable;
    if (request.possible_origin) {
        // Other processes may have noted an event of the attempt that failed.
        prefer_version(chosen, *request.possible_origin, directory_);
    }
    if (request.origin) {
        prefer_staying(chosen, directory_);
    }
    return chosen;
}

template <request_binding Binding, typename Store>
std::vector<const endpoint*>
entry_gateway<Binding, Store>::allowed_endpoints(const active_request& request) const {
    const auto homes = placement_rules::homes_of(*request.matched_route, request.owner,
                                                 table_ == request.table ? nullptr : table_.get(),
                                                 request.caller.host, request.http.path);
    auto found = directory_.available(request.service, loop_.now());
    if (request.origin && request.caller.continues_stream) {
        add_draining(found, *request.origin, directory_, loop_.now());
    }
    std::erase_if(found, [&](const endpoint* each) {
        const bool is_other_version =
            request.origin && !routing::may_continue(*request.origin, each->service, each->software_version);
        return is_other_version || rules_.is_evacuated(*each) || !rules_.is_at_home(*each, homes);
    });
    if (request.origin && !request.is_engine) {
        restart_signs_.remove_doubtful(found, loop_.now());
    }
    return found;
}

template <request_binding Binding, typename Store>
routing::choice_request
entry_gateway<Binding, Store>::make_choice_request(const active_request& request) const {
    return {request.caller.adapter, request.adapter_version, request.prompt, request.caller.prompt_tokens,
            request.caller.max_output_tokens};
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_limited(const active_request& request, const endpoint& value) const {
    const bool via_agent = request.is_engine && !is_agent_down(value.address.host);
    const time_point now = loop_.now();
    return !via_agent &&
           (!limits_.allows(value.id, now) || !rules_.is_warm_enough(value, request.is_engine, now));
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_agent_down(const std::string& host) const {
    const auto found = agents_down_until_.find(host);
    return found != agents_down_until_.end() && loop_.now() < found->second;
}

template <request_binding Binding, typename Store>
std::string_view entry_gateway<Binding, Store>::unplaced_cause(const active_request& request) const {
    if (request.origin &&
        is_version_gone(*request.origin, directory_, request.caller.continues_stream, loop_.now())) {
        return "stream_version_gone";
    }
    if (request.last_refusal) {
        return name_of(*request.last_refusal);
    }
    const auto allowed = allowed_endpoints(request);
    const bool any_limited =
        std::ranges::any_of(allowed, [&](const endpoint* each) { return is_limited(request, *each); });
    const bool any_paused = directory_.pause_left(request.service, loop_.now()).has_value();
    const bool any_elsewhere = !directory_.available(request.service, loop_.now()).empty();
    return any_limited                        ? "limited"
           : allowed.empty() && any_elsewhere ? "no_allowed_endpoint"
           : any_paused                       ? "endpoints_paused"
           : request.tried_endpoints.empty()  ? "no_endpoint"
                                              : "all_refused";
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::find_origin(const request_pointer& request) {
    if (const auto known = stream_origins_.find(request->stream, loop_.now())) {
        continue_stream(request, known, 0);
        return;
    }
    const std::weak_ptr<active_request> weak = request;
    const bool is_sought =
        !request->caller.resumed_attempt_id.empty() &&
        origin_exchange_.find(
            request->stream, processes_knowing(*request),
            [this, weak](const std::optional<routing::stream_origin>& origin, std::size_t asked) {
                if (const auto self = weak.lock(); self && !self->ended) {
                    continue_stream(self, origin, asked);
                }
            });
    if (!is_sought) {
        continue_stream(request, std::nullopt, 0);
    }
}

template <request_binding Binding, typename Store>
std::vector<net::address>
entry_gateway<Binding, Store>::processes_knowing(const active_request& request) const {
    origin_sources sources{settings_.node.data_centre, settings_.agent_control_port, {}, {}, peers_};
    std::vector<std::string> ids;
    for (const endpoint* each : directory_.all()) {
        const service* configured = table_->find_service(each->service);
        if (serves(*request.matched_route, each->service) && configured != nullptr && configured->engine) {
            ids.push_back(each->id);
            sources.agent_hosts.push_back(each->address.host);
        }
    }
    for (const routing::choice_candidate& each :
         choice_.order(make_choice_request(request), ids, loop_.now())) {
        sources.likely_agent_hosts.push_back(directory_.find(each.id)->address.host);
    }
    return order_origin_sources(sources);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::continue_stream(const request_pointer& request,
                                                    const std::optional<routing::stream_origin>& origin,
                                                    std::size_t asked) {
    const continuation outcome =
        classify_continuation(origin, *request->matched_route, directory_, loop_.now());
    continued_streams_counter_.add({name_of(outcome)});
    log_event(log_level::info, "stream_taken_up",
              {{"request", request->caller.attempt_id},
               {"resumes", request->caller.resumed_attempt_id},
               {"continuation", name_of(outcome)},
               {"service", origin ? origin->service : std::string{}},
               {"software_version", origin ? origin->software_version : std::string{}},
               {"asked", asked},
               {"waited_ms", milliseconds_in(loop_.now() - request->arrived)}});
    switch (outcome) {
    case continuation::unknown:
        // The processes that know the stream may have been out of reach.
        refuse(*request, 503, limits::default_retry_after, "stream_origin_unknown");
        return;
    case continuation::gone:
        // No time to wait is named: the stream cannot go on, and its caller may begin it anew.
        refuse(*request, 503, std::nullopt, "stream_version_gone");
        return;
    case continuation::possible:
        break;
    }
    request->origin = origin;
    set_service(*request, origin->service);
    note_stream(*request);
    dispatch(request);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::note_origin(active_request& request) {
    if (!request.origin) {
        request.origin = {request.service, request.software_version};
        note_stream(request);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::note_stream(const active_request& request) {
    if (request.origin && !request.origin->software_version.empty()) {
        stream_origins_.note(request.stream, *request.origin, loop_.now());
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::dispatch(const request_pointer& request) {
    if (const auto wait = suspected_requests_.check(request->key, request->shared.id, loop_.now())) {
        hold_back_quarantined(*request, *wait);
        return;
    }
    if (const auto match = quarantine_.check(request->shared, loop_.now())) {
        hold_back(*request, *match);
        return;
    }
    request->adapter_version = releases_.newest(request->caller.adapter).version;
    auto candidates = choice_.order(make_choice_request(*request), usable_endpoints(*request), loop_.now());
    // Without its agent, an engine can serve only models and adapters that are already loaded.
    // Nor is it noticed without an agent that the engine has been restarted under its id, perhaps with other
    // software, so no stream goes on there.
    const bool needs_agent = request->is_engine && request->origin.has_value();
    std::erase_if(candidates, [&](const routing::choice_candidate& each) {
        return (needs_agent || !each.resident) && is_agent_down(directory_.find(each.id)->address.host);
    });
    if (candidates.empty() || request->tried_endpoints.size() >= limits::max_tried_endpoints) {
        give_up(*request, unplaced_cause(*request));
        return;
    }
    send(request, candidates.front(), candidates.size() > 1);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::hold_back(active_request& request,
                                              const routing::quarantine_match& match) {
    held_back_counter_.add({});
    log_event(log_level::info, "request_held_back",
              {{"request", request.caller.attempt_id},
               {"part", part_name(request.caller.prefix, match.part)},
               {"retry_after_ms", milliseconds_in(match.retry_after)},
               {"attempts", request.attempt}});
    end_held_back(request, match.retry_after, "prompt_part_quarantined");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::hold_back_quarantined(active_request& request, duration wait) {
    held_back_requests_counter_.add({});
    quarantine_page_.on_refused(request.key, request.owner == nullptr ? "" : request.owner->name,
                                request.matched_route->name);
    log_event(log_level::info, "request_held_back",
              {{"request", request.caller.attempt_id},
               {"request_hash", to_hex(request.key)},
               {"retry_after_ms", milliseconds_in(wait)},
               {"attempts", request.attempt}});
    end_held_back(request, wait, "request_quarantined");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::end_held_back(active_request& request, duration wait,
                                                  std::string_view cause) {
    if (request.response->is_started() || request.may_have_run) {
        give_up(request, cause);
    } else {
        refuse(request, 503, wait, cause);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_held_back_by_agent(const request_pointer& request) {
    ejection_.abandoned(request->endpoint, loop_.now());
    crash_exchange_.on_held_back_by(request->agent_host);
    request->may_have_run = request->may_have_run || is_outcome_unknown(*request->last_refusal);
    const duration wait = request->refusal_wait.value_or(limits::retry_after_when_full);
    if (suspected_requests_.is_quarantined(request->key, loop_.now())) {
        hold_back_quarantined(*request, wait);
    } else {
        hold_back(*request, {0, wait});
    }
}

template <request_binding Binding, typename Store>
waiting_budget entry_gateway<Binding, Store>::waiting_budget_of(const active_request& request,
                                                                bool has_others) const {
    const request_times times{request.arrived, request.deadline, request.matched_route->silence_timeout,
                              request.matched_route->target_latency};
    const bool may_try_others = has_others && request.tried_endpoints.empty();
    return make_waiting_budget(times, choice_.round_trip(request.endpoint), may_try_others, loop_.now());
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::send(const request_pointer& request,
                                         const routing::choice_candidate& chosen, bool has_others) {
    const time_point now = loop_.now();
    const endpoint* to = directory_.find(chosen.id);
    const bool via_agent = request->is_engine && !is_agent_down(to->address.host);
    if (!via_agent && !limits_.try_take(to->id, now)) {
        log_event(log_level::warning, "limit_overrun", {{"endpoint", to->id}});
    }
    if (!via_agent) {
        rules_.count_direct(*to, now);
    }
    request->endpoint = to->id;
    request->agent_host = via_agent ? to->address.host : "";
    request->engine_started_at = to->started_at;
    request->software_version = answering_version(
        *to, via_agent, restart_signs_.is_version_doubtful(to->id, now) ? duration::max() : records_age_());
    request->state = answer_state::awaiting_head;
    request->body_started = false;
    discard_buffered(*request);
    request->events.resume(now);
    request->sent_at = now;
    const std::uint64_t attempt = ++request->attempt;

    forward_fields fields;
    fields.time_left = request->deadline - now;
    fields.endpoint_id = to->id;
    fields.organisation = request->owner == nullptr ? "" : request->owner->name;
    fields.version = releases_.contains(request->caller.adapter) ? request->adapter_version : "";
    const std::uint32_t priority = request->owner != nullptr && request->owner->priority
                                       ? *request->owner->priority
                                       : request->matched_route->priority;
    fields.urgency = std::min(priority, limits::least_urgent);
    fields.resume_after = request->events.last_event_id().value_or("");

    net::http_call call;
    call.peer = via_agent ? net::address{to->address.host, settings_.agent_port} : to->address;
    // Two records can have one address. A late copy of the first refusal names this attempt too.
    call.fresh_connection = std::ranges::find(request->refused_by, call.peer) != request->refused_by.end();
    request->sent_to = call.peer;
    call.method = request->http.method;
    call.target = request->http.target;
    call.headers = Binding::forward_headers(request->http.headers, fields);
    // The caller may have sent some.
    remove_agent_headers(call.headers);
    if (via_agent) {
        request->sending = incarnation_ + "-" + std::to_string(request->id) + "-" + std::to_string(attempt);
        add_sending(call.headers, request->sending);
        add_waiting_budget(call.headers, waiting_budget_of(*request, has_others));
        add_engine_start(call.headers, to->started_at);
        add_software_version(call.headers, to->software_version);
        add_engine_cold(call.headers, rules_.cold_left(to->id, now));
    }
    call.body = request->http.body;
    call.timeout = fields.time_left + 1s;
    call.connect_timeout = limits::connect_timeout;
    if (!is_retryable(*request)) {
        call.max_idle = at_most_once_max_idle;
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
               {"route", request->matched_route->name},
               {"endpoint", to->id},
               {"agent", via_agent ? "true" : "false"},
               {"attempt", attempt},
               {"estimate_ms", milliseconds_in(chosen.estimate)},
               {"resident", chosen.resident ? "true" : "false"},
               {"kept_tokens", chosen.cached_tokens},
               {"report_age_ms", chosen.report_age ? milliseconds_in(*chosen.report_age) : -1},
               {"configuration", request->table->version()}});
    choice_.sent(to->id, request->id, make_choice_request(*request));
    ejection_.started(to->id, now);
    request->exchange = http_->send(std::move(call), std::move(handlers));
}

template <request_binding Binding, typename Store>
typename entry_gateway<Binding, Store>::answer_state
entry_gateway<Binding, Store>::classify(const active_request& request, const answer_summary& head,
                                        const net::http_headers& headers) const {
    if (!request.agent_host.empty()) {
        // Only responses that the agent's HTTP server makes itself, before it has read the request, name
        // none.
        const std::string_view sending = read_sending(headers);
        if (!sending.empty() && sending != request.sending) {
            return answer_state::invalid;
        }
        if (read_refusal(headers)) {
            return answer_state::agent_refused;
        }
    }
    switch (classify_answer(head, request.caller.attempt_id)) {
    case answer_class::mismatched:
        return answer_state::invalid;
    case answer_class::not_run:
        return answer_state::endpoint_refused;
    case answer_class::matching:
        break;
    }
    return request.matched_route->kind == call_kind::streaming && !is_false_promise(request)
               ? answer_state::relayed
               : answer_state::buffered;
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
    request->is_event_stream = is_event_stream(request->matched_route->kind, code, headers);
    if (request->state == answer_state::agent_refused) {
        request->last_refusal = read_refusal(headers);
        request->refusal_wait = read_refusal_wait(headers);
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
        on_invalid_answer(request, "not an answer to the request");
        return;
    }
    if (limits_.observe(request->endpoint, head.requests_per_s, now)) {
        log_event(log_level::info, head.requests_per_s ? "endpoint_limited" : "endpoint_unlimited",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"requests_per_s", head.requests_per_s.value_or(0)},
                   {"own_part", limits_.part_of(request->endpoint, head.requests_per_s.value_or(0))}});
    }
    if (head.is_leaving && directory_.note_leaving(request->endpoint, now)) {
        log_event(log_level::info, "endpoint_says_it_leaves",
                  {{"request", request->caller.attempt_id}, {"endpoint", request->endpoint}});
    }
    if (head.pause) {
        directory_.note_pause(request->endpoint, now + *head.pause);
        log_event(log_level::info, "endpoint_paused",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"pause_ms", milliseconds_in(*head.pause)}});
    }
    if (head.misdirected) {
        choice_.forget_adapter(request->endpoint, request->caller.adapter);
    }
    if (request->state == answer_state::relayed || request->state == answer_state::buffered) {
        request->may_have_run = true;
        request->headers = Binding::answer_headers(headers);
        remove_agent_headers(request->headers);
    }
    if (request->state == answer_state::relayed && !request->response->is_started()) {
        if (request->is_event_stream && is_resumable(*request)) {
            // A run that continues the stream may be longer or shorter than the one that has begun it.
            remove_content_length(request->headers);
        }
        request->response->start(code, request->headers);
    } else if (request->state == answer_state::relayed && !request->is_event_stream) {
        cancel_attempt(*request);
        on_broken_answer(request, "the run that was to continue the stream failed");
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_data(const request_pointer& request, std::string_view bytes) {
    if (!std::exchange(request->body_started, true)) {
        request->answer_began_at = loop_.now();
        request->noted_harmless = false;
        choice_.first_byte_received(request->endpoint, request->id);
        request->first_byte_at = request->first_byte_at.value_or(loop_.now());
    }
    if (request->state == answer_state::relayed) {
        on_stream_data(request, bytes);
    } else if (request->state == answer_state::buffered) {
        buffer_answer(request, bytes);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_stream_data(const request_pointer& request, std::string_view bytes) {
    if (!request->is_event_stream) {
        relay(*request->response, *request->exchange, bytes);
        return;
    }
    const std::string events = request->events.append(bytes, loop_.now());
    if (!events.empty()) {
        note_origin(*request);
        relay(*request->response, *request->exchange, events);
    }
    const bool fits = count_buffered(*request, request->events.incomplete_event().size());
    if (!fits || request->events.is_event_too_large()) {
        cancel_attempt(*request);
        discard_buffered(*request);
        on_broken_answer(request, fits ? "an event without end" : "too many incomplete events");
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::buffer_answer(const request_pointer& request, std::string_view bytes) {
    const std::size_t size = request->body.size() + bytes.size();
    if (!count_buffered(*request, size) || size > limits::max_buffered_answer_bytes) {
        log_event(log_level::warning, "answer_too_large",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"bytes", size},
                   {"bytes_of_all", buffered_bytes_}});
        request->state = answer_state::invalid;
        on_invalid_answer(request, "the answer is too large");
        return;
    }
    request->body += bytes;
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::count_buffered(active_request& request, std::size_t bytes) {
    buffered_bytes_ -= std::exchange(request.buffered_bytes, bytes);
    buffered_bytes_ += bytes;
    buffered_answers_.set(buffered_bytes_, net::buffer_use::receiving);
    const bool fits = buffered_bytes_ <= limits::max_total_buffered_bytes && !buffers_->is_exceeded();
    return fits || bytes <= limits::small_buffered_answer_bytes;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::discard_buffered(active_request& request) {
    buffered_bytes_ -= std::exchange(request.buffered_bytes, 0);
    buffered_answers_.set(buffered_bytes_, net::buffer_use::receiving);
    request.body = {};
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::cancel_attempt(active_request& request) {
    // Also closes the connection, so that bytes still in transit are not taken for the answer to a later
    // request.
    request.exchange.reset();
    choice_.ended(request.endpoint, request.id, std::nullopt);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_invalid_answer(const request_pointer& request,
                                                      std::string_view cause) {
    cancel_attempt(*request);
    discard_buffered(*request);
    ejection_.failed(request->endpoint, loop_.now());
    ++request->failed_sends;
    request->may_have_run = true;
    retry_or_give_up(request, true, cause);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_resumable(const active_request& request) {
    return request.matched_route->kind == call_kind::streaming && request.matched_route->resumable;
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_retryable(const active_request& request) {
    return request.matched_route->kind == call_kind::safe || is_resumable(request);
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::is_false_promise(const active_request& request) {
    return promises_not_run(request.status) && !is_retryable(request);
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
    if (request->state == answer_state::agent_refused && !failure &&
        (request->last_refusal == agent_refusal::quarantined ||
         request->last_refusal == agent_refusal::withdrawn)) {
        on_held_back_by_agent(request);
        return;
    }
    const bool refused =
        request->state == answer_state::agent_refused && !is_outcome_unknown(*request->last_refusal);
    const stream_end end_of_stream = failure ? stream_end::whole : stream_end_of(*request);
    const bool is_broken_off = end_of_stream != stream_end::whole;
    const bool is_cut = is_broken_off || (failure && failure->code == errc::connection_closed);
    if (request->is_engine && (is_cut || (request->state == answer_state::agent_refused && !refused))) {
        on_interrupted(*request);
    } else if (!request->is_engine && is_cut && request->exchange->may_have_been_sent()) {
        on_cut(*request);
    }
    if (refused && !failure) {
        ejection_.abandoned(request->endpoint, now);
        log_event(log_level::info, "attempt_refused",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"attempt", request->attempt},
                   {"reason", name_of(*request->last_refusal)}});
        if (request->last_refusal == agent_refusal::engine_restarted) {
            // The endpoint's record predates the engine's restart. If it is written again, the endpoint
            // returns.
            remove_endpoint(request->endpoint, false);
            dispatch(request);
            return;
        }
        request->tried_endpoints.push_back(request->endpoint);
        if (request->last_refusal != agent_refusal::busy &&
            request->last_refusal != agent_refusal::deadline) {
            endpoints_paused_until_[request->endpoint] = now + limits::endpoint_cooldown;
        }
        dispatch(request);
        return;
    }
    if (request->state == answer_state::endpoint_refused && !failure) {
        ejection_.abandoned(request->endpoint, now);
        ++request->failed_sends;
        request->refused_by.push_back(request->sent_to);
        retry_or_give_up(request, false, "endpoint_refused");
        return;
    }
    if (request->state == answer_state::buffered && !failure) {
        deliver_buffered(request);
        return;
    }
    if (request->state == answer_state::relayed) {
        if (failure || is_broken_off) {
            on_broken_answer(request, failure ? to_string(*failure) : std::string{name_of(end_of_stream)});
            return;
        }
        ejection_.succeeded(request->endpoint, now);
        if (request->is_event_stream && request->body_started) {
            note_harmless(*request);
        }
        suspected_requests_.on_answered(request->key, now);
        // Only comments are left.
        request->response->write(request->events.incomplete_event());
        request->response->finish();
        end(*request, request->status < 400 ? request_outcome::answered : request_outcome::endpoint_failed,
            request->status, "");
        return;
    }
    on_no_answer(request, failure);
}

template <request_binding Binding, typename Store>
stream_end entry_gateway<Binding, Store>::stream_end_of(const active_request& request) {
    if (request.state != answer_state::relayed || !request.is_event_stream) {
        return stream_end::whole;
    }
    const bool continues_stream = request.events.last_event_id() ||
                                  !net::find_header(request.http.headers, last_event_id_header).empty();
    return classify_stream_end(request.events, request.exchange->ends_at_close(), continues_stream);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_broken_answer(const request_pointer& request, std::string_view cause) {
    ejection_.failed(request->endpoint, loop_.now());
    restart_signs_.on_broken_off(request->endpoint, loop_.now());
    ++request->failed_sends;
    if (is_resumable(*request)) {
        retry_or_give_up(request, true, cause);
        return;
    }
    request->response->abort();
    end(*request, request_outcome::broken, request->status, cause);
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_interrupted(const active_request& request) {
    const bool is_suspect =
        !request.body_started || loop_.now() - request.answer_began_at <= limits::max_suspect_answer_age;
    const endpoint* at = directory_.find(request.endpoint);
    std::optional<cut_answer> cut;
    if (at != nullptr && is_suspect) {
        cut = cut_answer{at->address,
                         request.engine_started_at,
                         {request.key, request.shared.parts},
                         request.shared.id,
                         incarnation_hash(request)};
        record_schedule_.on_cut(loop_.now());
    }
    if (!request.agent_host.empty()) {
        crash_exchange_.on_interrupted(request.agent_host, std::move(cut));
    } else if (cut) {
        // Without its agent, nobody else knows what the engine was running.
        quarantine_.on_crash({crashed_engine_name(cut->engine, cut->engine_started_at), 0ms, {cut->request}},
                             loop_.now());
        on_cut(request);
    }
}

/// A cut connection counts whether or not the server has ended: it may have lost only the process that ran
/// the request, and three servers in a row without an answer are evidence enough.
template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_cut(const active_request& request) {
    record_schedule_.on_cut(loop_.now());
    suspected_requests_.on_cut(request.key, {incarnation_hash(request), request.shared.id, 0ms}, loop_.now());
    log_event(log_level::info, "request_cut",
              {{"request", request.caller.attempt_id},
               {"request_hash", to_hex(request.key)},
               {"endpoint", request.endpoint},
               {"organisation", request.owner == nullptr ? std::string{} : request.owner->name},
               {"route", request.matched_route->name}});
}

/// Names the incarnation of the server that the request was sent to alike at all entries.
template <request_binding Binding, typename Store>
std::uint64_t entry_gateway<Binding, Store>::incarnation_hash(const active_request& request) {
    return hash64(request.endpoint + "#" + std::to_string(request.engine_started_at));
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::note_harmless(active_request& request) {
    if (!std::exchange(request.noted_harmless, true)) {
        quarantine_.on_answered(request.shared.parts, request.answer_began_at, loop_.now());
        suspected_requests_.on_answered(request.key, loop_.now());
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::note_harmless_prompts() {
    const time_point now = loop_.now();
    for (const request_pointer& each : active_requests_ | std::views::values) {
        const bool is_answered =
            each->state == answer_state::relayed && each->body_started && each->is_event_stream;
        // An answer that has only fallen silent may have been cut by a crash that is not known here yet.
        const bool has_gone_on = is_answered && each->events.last_progress_at() - each->answer_began_at >=
                                                    limits::max_suspect_answer_age;
        if (has_gone_on && now - each->answer_began_at > limits::harmless_answer_age) {
            note_harmless(*each);
        }
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::report_quarantine_changes() {
    const auto changes = quarantine_.poll(loop_.now());
    const bool is_changed = report_request_changes() || !changes.empty();
    const bool is_due = quarantine_announced_at_ &&
                        loop_.now() - *quarantine_announced_at_ >= limits::quarantine_announcement_interval;
    if (is_changed || is_due) {
        announce_quarantine();
    }
    const bool is_record_due = quarantine_recorded_at_ &&
                               loop_.now() - *quarantine_recorded_at_ >= limits::quarantine_record_interval;
    if (is_changed || is_record_due) {
        record_quarantine();
    }
    exchange_through_store();
    for (const routing::quarantine_change& each : changes) {
        const std::string_view phase = each.phase ? name_of(*each.phase) : "harmless";
        quarantine_counter_.add({phase});
        log_event(log_level::warning, "prompt_part_quarantine",
                  {{"part_hash", each.part},
                   {"phase", phase},
                   {"crashes", each.crashes},
                   {"last_crash_age_ms", milliseconds_in(each.last_crash_age)},
                   {"companions", each.companions},
                   {"known_crashes", quarantine_.crash_count()}});
    }
}

template <request_binding Binding, typename Store>
bool entry_gateway<Binding, Store>::report_request_changes() {
    const auto changes = suspected_requests_.poll(loop_.now());
    for (const routing::request_change& each : changes) {
        const std::string_view phase = each.phase ? name_of(*each.phase) : "lifted";
        request_quarantine_counter_.add({phase});
        log_event(log_level::warning, "request_quarantine",
                  {{"request_hash", to_hex(each.request)},
                   {"phase", phase},
                   {"cuts", each.cuts},
                   {"suspects", suspected_requests_.suspect_count()}});
        if (!each.phase) {
            quarantine_page_.forget(each.request);
        }
    }
    if (!changes.empty()) {
        withdraw_quarantined();
    }
    return !changes.empty();
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::withdraw_quarantined() {
    std::vector<request_pointer> sent;
    std::ranges::copy_if(
        active_requests_ | std::views::values, std::back_inserter(sent), [this](const request_pointer& each) {
            return each->exchange && each->agent_host.empty() && each->state == answer_state::awaiting_head &&
                   suspected_requests_.is_quarantined(each->key, loop_.now());
        });
    for (const request_pointer& each : sent) {
        const bool was_sent = may_have_run(*each);
        cancel_attempt(*each);
        ejection_.abandoned(each->endpoint, loop_.now());
        if (was_sent) {
            each->may_have_run = true;
            give_up(*each, "request_quarantined");
        } else {
            dispatch(each);
        }
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::exchange_through_store() {
    const auto work = record_schedule_.next(usage_exchange_.hears_all_peers(),
                                            suspected_requests_.observed_cuts(), loop_.now());
    if (work.read) {
        quarantine_record_.read();
    }
    const bool has_repeated_cut = suspected_requests_.take_repeated_cut();
    if (work.write || has_repeated_cut) {
        quarantine_record_.write();
    }
}

/// The data centre itself if its region is not configured.
template <request_binding Binding, typename Store>
std::string entry_gateway<Binding, Store>::region_of(const std::string& data_centre) const {
    const auto found = settings_.regions.find(data_centre);
    return found == settings_.regions.end() ? data_centre : found->second;
}

/// Each agent is informed by two entries of its region, or by two of all entries if its region has none.
template <request_binding Binding, typename Store>
std::vector<std::string> entry_gateway<Binding, Store>::informed_agents() const {
    std::vector<std::string> all_peers;
    std::map<std::string, std::vector<std::string>> peers_of_region;
    for (const peer_entry& each : peers_) {
        all_peers.push_back(each.vm);
        peers_of_region[region_of(each.data_centre)].push_back(each.vm);
    }
    const std::string own_region = region_of(settings_.node.data_centre);
    const auto informs = [&](const endpoint& engine) {
        const std::string region = region_of(engine.data_centre);
        const bool is_local = region == own_region;
        if (!is_local && peers_of_region.contains(region)) {
            return false;
        }
        const auto& others = is_local ? peers_of_region[region] : all_peers;
        return rendezvous_rank(settings_.node.vm, others, hash64(engine.address.host)) <
               limits::entries_informing_an_agent;
    };
    std::vector<std::string> hosts;
    for (const std::string& id : directory_.ids()) {
        const endpoint* known = directory_.find(id);
        const service* configured = table_ ? table_->find_service(known->service) : nullptr;
        const bool is_engine = configured != nullptr && configured->engine.has_value();
        if (is_engine && informs(*known)) {
            hosts.push_back(known->address.host);
        }
    }
    return hosts;
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::announce_quarantine() {
    if (crash_exchange_.held().empty()) {
        quarantine_announced_at_.reset();
        return;
    }
    quarantine_announced_at_ = loop_.now();
    crash_exchange_.announce(informed_agents());
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::record_quarantine() {
    quarantine_recorded_at_.reset();
    if (quarantine_.quarantined_count(loop_.now()) > 0 ||
        !suspected_requests_.quarantined(loop_.now()).empty()) {
        quarantine_recorded_at_ = loop_.now();
    }
    const auto others = peers_ | std::views::transform(&peer_entry::vm);
    const std::size_t rank = rendezvous_rank(settings_.node.vm, others, hash64("quarantine record"));
    if (rank < limits::entries_recording_the_quarantine) {
        quarantine_record_.write();
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_no_answer(const request_pointer& request,
                                                 const std::optional<error>& failure) {
    const time_point now = loop_.now();
    const bool never_sent = failure && !request->exchange->may_have_been_sent();
    if (never_sent && !request->agent_host.empty()) {
        // Only the agent could not be reached; its engine may still answer.
        ejection_.abandoned(request->endpoint, now);
        agents_down_until_[request->agent_host] = now + limits::agent_cooldown;
        log_event(log_level::warning, "agent_lost",
                  {{"request", request->caller.attempt_id},
                   {"at", request->agent_host},
                   {"failure", to_string(*failure)}});
        dispatch(request);
        return;
    }
    ejection_.failed(request->endpoint, now);
    if (never_sent) {
        if (const endpoint* unreachable = directory_.find(request->endpoint)) {
            rules_.on_unreachable(*unreachable, now);
            restart_signs_.on_unreachable(request->endpoint, now);
        }
        request->tried_endpoints.push_back(request->endpoint);
        log_event(log_level::warning, "endpoint_unreachable",
                  {{"request", request->caller.attempt_id},
                   {"endpoint", request->endpoint},
                   {"failure", to_string(*failure)}});
        dispatch(request);
        return;
    }
    ++request->failed_sends;
    request->may_have_run = true;
    retry_or_give_up(request, true,
                     failure ? to_string(*failure) : "the engine's answer to its agent was lost");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::deliver_buffered(const request_pointer& request) {
    const time_point now = loop_.now();
    suspected_requests_.on_answered(request->key, now);
    const bool failed = request->status >= 500;
    if (failed) {
        ejection_.failed(request->endpoint, now);
        ++request->failed_sends;
        if (is_retryable(*request) && request->failed_sends < request->matched_route->max_attempts &&
            usable_endpoints(*request).size() > 1) {
            const routing::failed_attempt attempt{request->service,
                                                  request->service,
                                                  request->failed_sends,
                                                  request->deadline,
                                                  true,
                                                  true,
                                                  false};
            if (retries_.decide(attempt, now) == routing::retry_verdict::retry) {
                retry_counter_.add({"endpoint_failed"});
                request->tried_endpoints.push_back(request->endpoint);
                dispatch(request);
                return;
            }
        }
    } else {
        ejection_.succeeded(request->endpoint, now);
    }
    if (is_false_promise(*request)) {
        refuse(*request, 502, std::nullopt, "the endpoint failed");
        return;
    }
    remove_content_length(request->headers);
    request->response->send(request->status, request->headers, request->body);
    end(*request, failed ? request_outcome::endpoint_failed : request_outcome::answered, request->status, "");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::retry_or_give_up(const request_pointer& request, bool forwarded,
                                                     std::string_view cause) {
    const time_point now = loop_.now();
    request->tried_endpoints.push_back(request->endpoint);
    if (forwarded && request->matched_route->kind == call_kind::streaming &&
        !request->software_version.empty()) {
        request->possible_origin = {request->service, request->software_version};
    }
    const bool retryable = is_retryable(*request);
    const routing::failed_attempt failed{request->service,
                                         request->service,
                                         request->failed_sends,
                                         request->deadline,
                                         retryable,
                                         forwarded,
                                         false};
    const bool may_run_elsewhere =
        !forwarded || (request->failed_sends < request->matched_route->max_attempts &&
                       suspected_requests_.may_repeat(request->key));
    const auto verdict =
        may_run_elsewhere ? retries_.decide(failed, now) : routing::retry_verdict::too_many_attempts;
    log_event(log_level::info, "attempt_failed",
              {{"request", request->caller.attempt_id},
               {"endpoint", request->endpoint},
               {"verdict", name_of(verdict)},
               {"status", request->status},
               {"cause", cause}});
    if (verdict == routing::retry_verdict::retry) {
        retry_counter_.add({forwarded ? "unknown" : "refused"});
        dispatch(request);
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
        const duration usual =
            request.is_engine ? limits::retry_after_when_full : limits::default_retry_after;
        const bool is_any_free = !directory_.available(request.service, loop_.now()).empty();
        const auto pause = directory_.pause_left(request.service, loop_.now());
        refuse(request, 503, is_any_free ? usual : std::max(usual, pause.value_or(usual)), cause);
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
void entry_gateway<Binding, Store>::on_caller_disconnected(const request_pointer& request) {
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
        headers.push_back({"retry-after", retry_after_text(*retry_after)});
    }
    const bool is_draining = drain_started_.has_value();
    if (is_draining || code == 400) {
        headers.push_back({"connection", "close"});
    }
    const bool not_run = code == 503 || code == 429;
    if (not_run && request.owner != nullptr && request.cost > 0) {
        usage_.refund(request.owner->name, request.cost);
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
    const std::string_view kind =
        request.matched_route == nullptr ? "none" : name_of(request.matched_route->kind);
    ended_requests_.add({kind, name_of(outcome)});
    request_seconds_.observe({kind}, std::chrono::duration<double>(now - request.arrived).count());
    const auto first_ms =
        request.first_byte_at ? milliseconds_in(*request.first_byte_at - request.arrived) : -1;
    if (request.first_byte_at) {
        first_byte_seconds_.observe({kind}, static_cast<double>(first_ms) / 1000.0);
    }
    log_event(log_level::info, "request_ended",
              {{"request", request.caller.attempt_id},
               {"route", request.matched_route == nullptr ? std::string{} : request.matched_route->name},
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
    discard_buffered(request);
    // Its caller may take the stream up from now on.
    note_stream(request);
    // Cancelled at once: the exchange may fail to connect in this iteration of the loop, and the request
    // would then be sent to another endpoint although its caller has been told that it will not run.
    request.exchange.reset();
    const auto found = active_requests_.find(request.id);
    if (found != active_requests_.end()) {
        // This may be called from the action of the timer, which must not be destroyed inside it.
        loop_.post([kept = std::move(found->second)] { kept->deadline_timer.reset(); });
        active_requests_.erase(found);
    }
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_tick() {
    if (const auto late_by = loop_watch_.observe(loop_.take_longest_timer_delay(), loop_.now())) {
        log_event(log_level::warning, "loop_late",
                  {{"longest_ms", milliseconds_in(*late_by)},
                   {"connections", caller_server_->open_connections()},
                   {"requests", active_requests_.size()}});
    }
    if (link_watch_.observe(caller_server_->link_use(), caller_server_->accept_pauses(), loop_.now())) {
        log_event(log_level::warning, "link_busy",
                  {{"link_use", caller_server_->link_use()},
                   {"accept_pauses", caller_server_->accept_pauses()},
                   {"connections", caller_server_->open_connections()},
                   {"requests", active_requests_.size()}});
    }
    const auto expired = directory_.expire(loop_.now());
    for (const std::string& id : expired) {
        log_event(log_level::info, "endpoint_expired", {{"endpoint", id}});
        forget_endpoint(id);
    }
    if (!expired.empty()) {
        refresh_pools();
    }
    for (const std::string& data_centre : rules_.expire(directory_.all(), loop_.now())) {
        on_evacuation_ended(data_centre);
    }
    if (std::exchange(entry_count_, usage_exchange_.entry_count()) != usage_exchange_.entry_count()) {
        retries_.set_settings(retry_settings_of(settings_, entry_count_));
    }
    check_stalled_streams();
    note_harmless_prompts();
    report_quarantine_changes();
    if (drain_started_) {
        check_drained();
    }
}

/// Callers disconnect from a stream without events after the `silence_timeout` of its route. Bytes that
/// complete no event do not count. A stream whose caller reads too slowly is not stalled.
template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::check_stalled_streams() {
    std::vector<request_pointer> stalled;
    const time_point now = loop_.now();
    for (const request_pointer& each : active_requests_ | std::views::values) {
        const bool is_stream =
            each->state == answer_state::relayed && each->exchange && each->is_event_stream;
        if (!is_stream || each->response->buffered_bytes() > 0) {
            continue;
        }
        const double fraction = is_resumable(*each) ? limits::resume_silence_fraction : 1.0;
        if (now - each->events.last_progress_at() > scaled(each->matched_route->silence_timeout, fraction)) {
            stalled.push_back(each);
        }
    }
    std::ranges::for_each(stalled, [this](const request_pointer& each) { resume_or_end_stalled(each); });
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::resume_or_end_stalled(const request_pointer& request) {
    const duration silence = loop_.now() - request->events.last_progress_at();
    const bool may_resume = is_resumable(*request) &&
                            request->failed_sends + 1 < request->matched_route->max_attempts &&
                            usable_endpoints(*request).size() > 1;
    if (!may_resume && silence <= request->matched_route->silence_timeout) {
        return;
    }
    log_event(log_level::warning, "stream_stalled",
              {{"request", request->caller.attempt_id},
               {"endpoint", request->endpoint},
               {"silence_ms", milliseconds_in(silence)},
               {"incomplete_bytes", request->events.incomplete_event().size()}});
    cancel_attempt(*request);
    on_broken_answer(request, "no event for too long");
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::drain() {
    if (drain_started_) {
        return;
    }
    drain_started_ = loop_.now();
    log_event(log_level::info, "drain_started",
              {{"vm", settings_.node.vm}, {"requests", active_requests_.size()}});
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::check_drained() {
    const duration passed = loop_.now() - *drain_started_;
    if (passed < settings_.drain_notice) {
        return;
    }
    if (!std::exchange(shutdown_begun_, true)) {
        caller_server_->begin_graceful_shutdown();
    }
    const bool finished = active_requests_.empty() && caller_server_->open_connections() == 0;
    const duration limit = settings_.node.drain_limit - limits::stop_margin;
    if (!finished && passed >= limit - limits::final_answer_margin &&
        !std::exchange(final_answers_sent_, true)) {
        answer_pending_requests();
    }
    if (!finished && passed < limit) {
        return;
    }
    log_event(log_level::info, "drain_finished",
              {{"vm", settings_.node.vm}, {"requests_cut", active_requests_.size()}});
    loop_.stop();
}

/// Sends each waiting caller a final answer, which says whether the request may have run, instead of closing
/// its connection.
template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::answer_pending_requests() {
    std::vector<request_pointer> unfinished;
    std::ranges::copy(active_requests_ | std::views::values, std::back_inserter(unfinished));
    for (const request_pointer& each : unfinished) {
        if (each->response->is_started()) {
            continue;
        }
        const bool has_run = may_have_run(*each);
        refuse(*each, has_run ? 502 : 503,
               has_run ? std::nullopt : std::optional<duration>{limits::retry_after_elsewhere}, "stopping");
    }
}

template <request_binding Binding, typename Store>
std::string entry_gateway<Binding, Store>::status_text() const {
    return "{\"vm\":\"" + settings_.node.vm +
           "\",\"revision\":" + std::to_string(table_ ? table_->version() : 0) +
           ",\"ready\":" + (is_ready() ? "true" : "false") +
           ",\"endpoints\":" + std::to_string(directory_.size()) +
           ",\"quarantined_parts\":" + std::to_string(quarantine_.quarantined_count(loop_.now())) +
           ",\"quarantined_requests\":" +
           std::to_string(suspected_requests_.quarantined(loop_.now()).size()) +
           ",\"known_streams\":" + std::to_string(stream_origins_.size()) +
           ",\"limited_endpoints\":" + std::to_string(limits_.limited_count()) +
           ",\"cold_endpoints\":" + std::to_string(rules_.cold_count(loop_.now())) + ",\"evacuated\":\"" +
           join(rules_.evacuated(), ",") + "\"" + ",\"requests\":" + std::to_string(active_requests_.size()) +
           "}";
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_release(const net::http_request& request,
                                               net::http_response& response) {
    const auto key = parse_hex(net::find_query_parameter(request.query, "request"));
    if (request.method != "POST" || !key) {
        response.send(400, {}, "POST with the hash of a request is needed\n");
        return;
    }
    const bool is_known = suspected_requests_.release(*key, loop_.now());
    log_event(
        log_level::warning, "request_released",
        {{"request_hash", to_hex(*key)}, {"peer", request.peer}, {"known", is_known ? "true" : "false"}});
    response.send(is_known ? 200 : 404, {}, is_known ? "released\n" : "no such request\n");
}

template <request_binding Binding, typename Store>
usage_report entry_gateway<Binding, Store>::report_for(const net::http_request& request) const {
    // A revision that the peer has of an earlier incarnation means nothing.
    const bool is_current = net::find_query_parameter(request.query, "incarnation") == incarnation_;
    const auto revision =
        parse_number<std::uint64_t>(net::find_query_parameter(request.query, "crashes_after"));
    const auto request_revision =
        parse_number<std::uint64_t>(net::find_query_parameter(request.query, "requests_after"));
    return {settings_.node.vm,
            incarnation_,
            table_ ? table_->version() : 0,
            usage_.spent(),
            quarantine_.evidence_after(is_current ? revision.value_or(0) : 0, loop_.now()),
            limits_.observations(loop_.now()),
            suspected_requests_.evidence_after(is_current ? request_revision.value_or(0) : 0, loop_.now())};
}

template <request_binding Binding, typename Store>
void entry_gateway<Binding, Store>::on_control_request(const net::http_request& request,
                                                       const std::shared_ptr<net::http_response>& response) {
    if (const auto page = peer_handlers_.find(request.path); page != peer_handlers_.end()) {
        page->second(request, response);
    } else if (request.path == "/usage") {
        response->send(200, {{"content-type", "application/json"}}, encode(report_for(request)));
    } else if (request.path == "/metrics") {
        buffer_metrics_.update(*buffers_, *caller_server_);
        known_streams_gauge_.set({}, static_cast<double>(stream_origins_.size()));
        response->send(200, {{"content-type", "text/plain; version=0.0.4"}}, metrics_.text());
    } else if (request.path == stream_origins_path) {
        response->send(200, {{"content-type", "application/json"}},
                       answer_origin_query(request.query, stream_origins_, loop_.now()));
    } else if (request.path == "/status") {
        response->send(200, {{"content-type", "application/json"}}, status_text());
    } else if (request.path == "/quarantine") {
        response->send(
            200, {{"content-type", "application/json"}},
            quarantine_page_.text(settings_.node.vm, suspected_requests_.quarantined(loop_.now())));
    } else if (request.path == "/quarantine/release") {
        on_release(request, *response);
    } else {
        response->send(404, {}, "no such page\n");
    }
}

} // namespace samphiretray::gateway

#pragma once

#include "samphiretray/agent/request_runner.h"
#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/ports/http_engine.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::agent {

/// Limit of concurrent calls to a plain service if the settings contain none.
inline constexpr std::uint32_t default_concurrency = 64;
/// Number of consecutive failed loads after which the requests that wait for the adapter are refused.
inline constexpr std::uint32_t max_failed_loads = 3;
/// Longest time for which requests of a previous agent can still run at an engine.
inline constexpr duration previous_agent_limit = 60s;

template <ports::engine Engine>
struct request_runner<Engine>::active_request {
    attempt_id id;
    node::peer_pointer from;
    wire::request_open open;
    adapter_version adapter;
    time_point arrived;
    time_point deadline;
    time_point started_at;
    bool is_waiting = false;
    bool cold = false;
    bool running = false;
    bool head_sent = false;
    int status = 0;
    std::string content_type;
    std::uint64_t sent_bytes = 0;
    std::optional<slot_pin> pin;
    std::optional<answer_checker> checker;
    std::unique_ptr<ports::engine_exchange> exchange;
};

template <ports::engine Engine>
request_runner<Engine>::request_runner(net::loop& events, const config::agent_settings& settings,
                                       Engine& endpoint, node::peer_directory& peers,
                                       const control::membership& members,
                                       std::function<command_authority()> authority)
    : loop_(events), settings_(settings), endpoint_(endpoint), authority_(std::move(authority)),
      attempts_({}), queue_({.max_length = settings.max_queue}),
      permits_(events, settings.endpoint, peers, members,
               [this](const adapter_version& adapter) { return begin_load(adapter); }),
      concurrency_(settings.concurrency), rate_since_(events.now()) {}

template <ports::engine Engine>
request_runner<Engine>::~request_runner() {
    *alive_ = false;
}

template <ports::engine Engine>
void request_runner<Engine>::start() {
    if (!is_engine()) {
        concurrency_ = concurrency_ == 0 ? default_concurrency : concurrency_;
        ready_ = true;
        return;
    }
    poll_engine();
    poll_timer_ = loop_.every(settings_.engine_poll_interval, [this] { poll_engine(); });
}

template <ports::engine Engine>
attempt_id request_runner<Engine>::id_of(const node::peer_pointer& from, std::uint64_t request,
                                         std::uint32_t attempt) {
    return {hash64(from->identity().vm + "/" + from->identity().incarnation), request, attempt};
}

template <ports::engine Engine>
bool request_runner<Engine>::handle(const node::peer_pointer& from, wire::message& value) {
    if (auto* request = std::get_if<wire::request_open>(&value)) {
        open(from, std::move(*request));
    } else if (const auto* cancelled = std::get_if<wire::request_cancel>(&value)) {
        cancel(from, *cancelled);
    } else if (!permits_.handle(from, value)) {
        return false;
    }
    process_queue();
    return true;
}

template <ports::engine Engine>
std::optional<wire::refusal> request_runner<Engine>::refusal_reason(const wire::request_open& request) const {
    if (draining_) {
        return wire::refusal::draining;
    }
    if (!ready_) {
        return wire::refusal::endpoint_down;
    }
    if (!is_engine()) {
        return request.service == settings_.service ? std::nullopt
                                                    : std::optional{wire::refusal::unknown_service};
    }
    if (request.adapter.empty() || request.version.empty()) {
        return wire::refusal::bad_request;
    }
    return authority_().allowed ? std::nullopt : std::optional{wire::refusal::fenced};
}

template <ports::engine Engine>
void request_runner<Engine>::open(const node::peer_pointer& from, wire::request_open&& request) {
    const time_point now = loop_.now();
    auto opened = std::make_shared<active_request>();
    opened->id = id_of(from, request.request, request.attempt);
    opened->from = from;
    opened->open = std::move(request);
    opened->adapter = {opened->open.adapter, opened->open.version};
    opened->arrived = now;
    opened->deadline = now + std::chrono::milliseconds{opened->open.deadline_ms};
    if (!attempts_.open(opened->id, now)) {
        return;
    }
    active_requests_.emplace(opened->id, opened);
    if (const auto reason = refusal_reason(opened->open)) {
        refuse(opened, *reason, false, "");
        return;
    }
    opened->cold = is_engine() && !slots_->resident(opened->adapter);
    queued_request queued;
    queued.request = opened->open.request;
    queued.attempt = opened->open.attempt;
    queued.organisation = opened->open.organisation;
    queued.adapter = opened->adapter;
    queued.priority = opened->open.priority;
    queued.tokens = std::max(opened->open.tokens, 1U);
    queued.arrived = now;
    queued.deadline = opened->deadline;
    queued.peer = opened->id.peer;
    const push_result pushed =
        queue_.push(std::move(queued), opened->cold ? slots_->load_delay(now) : 0s, runnable(), now);
    if (pushed.displaced) {
        refuse_queued(*pushed.displaced, wire::refusal::queue_full, "displaced from the full queue");
    }
    if (pushed.refused) {
        refuse(opened, *pushed.refused, false, "");
        return;
    }
    if (is_engine()) {
        // Also for a resident adapter, because it may be evicted before the request runs.
        opened->is_waiting = true;
        slots_->wait_started(opened->adapter, opened->open.priority, now);
    }
}

template <ports::engine Engine>
void request_runner<Engine>::refuse(const request_pointer& refused, wire::refusal reason, bool forwarded,
                                    std::string detail) {
    if (!forwarded && !attempts_.refuse(refused->id, loop_.now())) {
        forwarded = true;
    }
    ++counts_.refused;
    end_wait(*refused);
    wire::request_refused message;
    message.request = refused->open.request;
    message.attempt = refused->open.attempt;
    message.reason = reason;
    message.forwarded = forwarded;
    message.retry_after_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
        milliseconds_in(queue_.estimated_wait(refused->open.priority, runnable())), 100));
    message.detail = std::move(detail);
    message.load = load();
    refused->from->send(message);
    release(refused);
}

template <ports::engine Engine>
fair_queue::runnable_predicate request_runner<Engine>::runnable() const {
    return [this](const queued_request& each) {
        return !slots_ || slots_->can_run(each.adapter, each.priority);
    };
}

template <ports::engine Engine>
void request_runner<Engine>::refuse_queued(const queued_request& removed, wire::refusal reason,
                                           std::string detail) {
    const auto found = active_requests_.find({removed.peer, removed.request, removed.attempt});
    if (found != active_requests_.end()) {
        const request_pointer refused = found->second;
        refuse(refused, reason, false, std::move(detail));
    }
}

template <ports::engine Engine>
void request_runner<Engine>::end_wait(active_request& waiting) {
    if (!waiting.is_waiting || !slots_) {
        return;
    }
    waiting.is_waiting = false;
    perform(slots_->wait_ended(waiting.adapter, waiting.open.priority, loop_.now()));
}

template <ports::engine Engine>
void request_runner<Engine>::cancel(const node::peer_pointer& from, const wire::request_cancel& request) {
    const auto found = active_requests_.find(id_of(from, request.request, request.attempt));
    if (found == active_requests_.end()) {
        return;
    }
    const request_pointer cancelled = found->second;
    if (!cancelled->running) {
        drop_queued(cancelled->id);
        refuse(cancelled, wire::refusal::cancelled, false, "cancelled by the entry");
        return;
    }
    finish(cancelled, false, "cancelled by the entry");
}

template <ports::engine Engine>
void request_runner<Engine>::drop_queued(const attempt_id& id) {
    (void)queue_.remove_if([&id](const queued_request& each) {
        return attempt_id{each.peer, each.request, each.attempt} == id;
    });
}

template <ports::engine Engine>
void request_runner<Engine>::on_peer_closed(const node::peer_pointer& closed) {
    std::vector<request_pointer> abandoned;
    for (const request_pointer& each : active_requests_ | std::views::values) {
        // A running call that is not idempotent is left to finish, since cancelling cannot undo it.
        if (each->from == closed && (!each->running || each->open.idempotent)) {
            abandoned.push_back(each);
        }
    }
    for (const request_pointer& each : abandoned) {
        cancel(closed, {each->open.request, each->open.attempt});
    }
    process_queue();
}

template <ports::engine Engine>
void request_runner<Engine>::on_tick() {
    attempts_.expire(loop_.now());
    if (slots_) {
        perform(slots_->poll(loop_.now()));
    }
    update_service_rate();
    process_queue();
}

template <ports::engine Engine>
void request_runner<Engine>::process_queue() {
    expire_queued();
    run_queued();
    request_loads();
}

template <ports::engine Engine>
void request_runner<Engine>::expire_queued() {
    for (const queued_request& late : queue_.expire(loop_.now())) {
        refuse_queued(late, wire::refusal::deadline, "the deadline passed in the queue");
    }
}

template <ports::engine Engine>
void request_runner<Engine>::run_queued() {
    if (!ready_ || (is_engine() && !authority_().allowed)) {
        return;
    }
    while (running_ < concurrency_) {
        const auto next = queue_.pop(runnable());
        if (!next) {
            return;
        }
        const request_pointer started = active_requests_.at({next->peer, next->request, next->attempt});
        if (is_engine()) {
            started->pin = slots_->pin(started->adapter, started->open.priority, loop_.now());
        }
        if (is_engine() && !started->pin) {
            refuse(started, wire::refusal::queue_full, false, "the adapter's slot is not available");
            continue;
        }
        end_wait(*started);
        run(started);
    }
}

template <ports::engine Engine>
void request_runner<Engine>::request_loads() {
    if (!slots_ || !ready_ || !authority_().allowed) {
        return;
    }
    std::vector<permit_client::wanted_load> wanted;
    const auto weight = [this](const adapter_version& adapter) { return queue_.load_weight(adapter); };
    for (const adapter_version& adapter : slots_->loads_wanted(loop_.now(), weight)) {
        permit_client::wanted_load load;
        load.adapter = adapter;
        load.waiting = queue_.load_weight(adapter);
        for (const request_pointer& each : active_requests_ | std::views::values) {
            if (each->is_waiting && each->adapter == adapter) {
                load.priority = load.priority || each->open.priority;
                each->cold = true;
            }
        }
        wanted.push_back(std::move(load));
    }
    permits_.update(wanted);
}

template <ports::engine Engine>
bool request_runner<Engine>::begin_load(const adapter_version& adapter) {
    const command_authority authority = authority_();
    if (!authority.allowed) {
        return false;
    }
    auto commands = slots_->begin_load(adapter, authority.fencing_number, loop_.now());
    const bool begun = !commands.empty();
    perform(std::move(commands));
    return begun;
}

template <ports::engine Engine>
void request_runner<Engine>::perform(std::vector<slot_command> commands) {
    for (slot_command& command : commands) {
        const auto ended = [this, command, alive = alive_](const result<std::string>& incarnation) {
            if (*alive) {
                load_ended(command, incarnation);
            }
        };
        switch (command.kind) {
        case slot_command_kind::load:
            ++counts_.loads;
            endpoint_.load(command.order, ended);
            break;
        case slot_command_kind::unload:
            endpoint_.unload(command.order, ended);
            break;
        case slot_command_kind::cancel_load:
            // Engines have no order to cancel a load. The load completes, and its adapter can be evicted
            // then.
            break;
        }
    }
}

template <ports::engine Engine>
void request_runner<Engine>::load_ended(const slot_command& command, const result<std::string>& incarnation) {
    const time_point now = loop_.now();
    if (incarnation) {
        check_incarnation(*incarnation);
    }
    if (command.kind == slot_command_kind::unload) {
        const bool unloaded = incarnation.has_value() || incarnation.error().code == errc::not_found;
        perform(slots_->unload_finished(command.id, unloaded, now));
        process_queue();
        return;
    }
    load_outcome outcome = load_outcome::loaded;
    if (!incarnation) {
        const auto& code = incarnation.error().code;
        const bool known_not_loaded = code == errc::load_failed || code == errc::fenced ||
                                      code == errc::overloaded || code == errc::connection_failed;
        outcome = known_not_loaded ? load_outcome::failed : load_outcome::unknown;
        ++counts_.failed_loads;
        log_event(log_level::warning, "load_failed",
                  {{"adapter", ports::to_string(command.order.target)},
                   {"code", code.message()},
                   {"detail", incarnation.error().detail}});
    }
    perform(slots_->load_finished(command.id, outcome, now));
    permits_.done(command.order.target, incarnation.has_value());
    refuse_after_failed_loads(command.order.target);
    process_queue();
}

template <ports::engine Engine>
void request_runner<Engine>::refuse_after_failed_loads(const adapter_version& adapter) {
    if (slots_->failures(adapter) < max_failed_loads) {
        return;
    }
    for (const queued_request& queued :
         queue_.remove_if([&adapter](const queued_request& each) { return each.adapter == adapter; })) {
        refuse_queued(queued, wire::refusal::load_failed, "the adapter could not be loaded");
    }
}

template <ports::engine Engine>
void request_runner<Engine>::run(const request_pointer& started) {
    const time_point now = loop_.now();
    if (!attempts_.start(started->id)) {
        if (started->pin) {
            slots_->unpin(*started->pin, now);
        }
        finish(started, false, "the attempt has already run");
        return;
    }
    started->running = true;
    started->started_at = now;
    ++running_;
    ++counts_.started;
    if (started->cold) {
        ++counts_.cold_requests;
        counts_.load_stall_us += static_cast<std::uint64_t>((now - started->arrived).count());
    }
    if (is_engine()) {
        started->checker.emplace(started->adapter);
    }
    ports::engine_call call;
    call.method = started->open.method;
    call.path = started->open.path;
    call.request_id = started->open.request_id;
    call.content_type = started->open.content_type;
    call.body = std::move(started->open.body);
    call.timeout = std::max<duration>(started->deadline - now, 1ms);
    const std::weak_ptr<active_request> weak = started;
    ports::engine_call_events events;
    events.on_head = [this, weak](int status, const std::string& content_type,
                                  const std::string& incarnation) {
        if (const auto running = weak.lock()) {
            on_head(running, status, content_type, incarnation);
        }
    };
    events.on_data = [this, weak](std::string_view bytes) {
        if (const auto running = weak.lock()) {
            on_data(running, bytes);
        }
    };
    events.on_end = [this, weak](const std::optional<error>& failure) {
        if (const auto running = weak.lock()) {
            on_end(running, failure);
        }
    };
    started->exchange = endpoint_.call(std::move(call), std::move(events));
}

template <ports::engine Engine>
void request_runner<Engine>::on_head(const request_pointer& running, int status,
                                     const std::string& content_type, const std::string& incarnation) {
    if (!running->running) {
        return;
    }
    running->status = status;
    running->content_type = content_type;
    if (running->checker) {
        running->checker->start(status, running->content_type);
        check_incarnation(incarnation);
    }
}

template <ports::engine Engine>
void request_runner<Engine>::on_data(const request_pointer& running, std::string_view bytes) {
    if (!running->running) {
        return;
    }
    if (!running->checker) {
        send_data(*running, std::string{bytes});
        return;
    }
    auto checked = running->checker->feed(bytes);
    if (!checked) {
        finish(running, false, checked.error().detail);
        return;
    }
    send_data(*running, std::move(*checked));
}

template <ports::engine Engine>
void request_runner<Engine>::send_data(active_request& running, std::string bytes) {
    if (bytes.empty() || !attempts_.accept_answer(running.id)) {
        return;
    }
    send_head(running);
    wire::answer_data data;
    data.request = running.open.request;
    data.attempt = running.open.attempt;
    data.offset = running.sent_bytes;
    running.sent_bytes += bytes.size();
    data.bytes = std::move(bytes);
    running.from->send(data);
}

template <ports::engine Engine>
void request_runner<Engine>::send_head(active_request& running) {
    if (running.head_sent) {
        return;
    }
    running.head_sent = true;
    wire::answer_head head;
    head.request = running.open.request;
    head.attempt = running.open.attempt;
    head.status = static_cast<std::uint16_t>(running.status);
    head.content_type = running.content_type;
    head.adapter = running.adapter.adapter;
    head.version = running.adapter.version;
    head.cold = running.cold;
    head.load = load();
    running.from->send(head);
}

template <ports::engine Engine>
void request_runner<Engine>::on_end(const request_pointer& running, const std::optional<error>& failure) {
    if (!running->running) {
        return;
    }
    if (failure && !running->head_sent) {
        const bool forwarded = running->exchange->may_have_been_sent();
        if (!forwarded) {
            log_event(log_level::warning, "endpoint_unreachable", {{"detail", failure->detail}});
        }
        const auto reason =
            failure->code == errc::timeout ? wire::refusal::deadline : wire::refusal::endpoint_down;
        attempts_.finish(running->id, loop_.now());
        wire::request_refused message;
        message.request = running->open.request;
        message.attempt = running->open.attempt;
        message.reason = reason;
        message.forwarded = forwarded;
        message.retry_after_ms = 1000;
        message.detail = failure->detail;
        message.load = load();
        running->from->send(message);
        release(running);
        process_queue();
        return;
    }
    if (failure) {
        finish(running, false, failure->detail);
        return;
    }
    if (!running->checker) {
        finish(running, true, "");
        return;
    }
    if (running->status == 404) {
        // The engine no longer holds the adapter, so it did not run the request and the entry may retry it.
        finish(running, false, "the engine has not loaded the adapter");
        poll_engine();
        return;
    }
    auto rest = running->checker->finish();
    if (!rest) {
        finish(running, false, rest.error().detail);
        return;
    }
    send_data(*running, std::move(*rest));
    finish(running, true, "");
}

template <ports::engine Engine>
void request_runner<Engine>::finish(const request_pointer& ended, bool whole, std::string reason) {
    if (whole) {
        send_head(*ended);
    }
    attempts_.finish(ended->id, loop_.now());
    ++(whole ? counts_.answered : counts_.truncated);
    wire::answer_end message;
    message.request = ended->open.request;
    message.attempt = ended->open.attempt;
    message.whole = whole;
    message.length = ended->sent_bytes;
    message.tokens = ended->checker ? ended->checker->tokens() : std::nullopt;
    message.reason = std::move(reason);
    const std::uint32_t estimated = std::max(ended->open.tokens, 1U);
    const std::uint32_t used = message.tokens.value_or(estimated);
    queue_.settle(ended->open.organisation, ended->open.priority, estimated, used);
    recent_tokens_ += used;
    release(ended);
    message.load = load();
    ended->from->send(message);
    process_queue();
}

template <ports::engine Engine>
void request_runner<Engine>::release(const request_pointer& ended) {
    if (ended->running) {
        ended->running = false;
        --running_;
        if (ended->pin) {
            slots_->unpin(*ended->pin, loop_.now());
        }
    }
    active_requests_.erase(ended->id);
    if (ended->exchange) {
        // This may run inside a callback of the exchange, so its destruction is deferred.
        loop_.post([exchange = std::shared_ptr{std::move(ended->exchange)}] {});
    }
}

template <ports::engine Engine>
wire::load_report request_runner<Engine>::load() const {
    wire::load_report report;
    report.running = running_;
    report.queued = static_cast<std::uint32_t>(queue_.count_if(runnable()));
    report.capacity = concurrency_;
    report.wait_ms = static_cast<std::uint32_t>(milliseconds_in(queue_.estimated_wait(false, runnable())));
    if (slots_) {
        report.slots = static_cast<std::uint32_t>(slots_->capacity());
        report.slots_pinned = static_cast<std::uint32_t>(slots_->pinned_count());
    }
    return report;
}

template <ports::engine Engine>
void request_runner<Engine>::poll_engine() {
    if (polling_) {
        return;
    }
    polling_ = true;
    endpoint_.state([this, alive = alive_](const result<ports::engine_state>& state) {
        if (!*alive) {
            return;
        }
        polling_ = false;
        if (state) {
            on_state(*state);
        } else {
            log_event(log_level::warning, "engine_state_failed", {{"detail", state.error().detail}});
        }
    });
}

template <ports::engine Engine>
void request_runner<Engine>::on_state(const ports::engine_state& state) {
    const time_point now = loop_.now();
    if (!slots_) {
        slots_ = std::make_unique<slot_table>(slot_settings{.slots = std::max(state.adapter_slots, 1U)});
        (void)slots_->on_incarnation(state.incarnation, now);
        slots_->adopt(state.loaded_adapters, now);
        concurrency_ = concurrency_ == 0 ? std::max(state.max_batch_size, 1U) : concurrency_;
        adopted_at_ = now;
    }
    check_incarnation(state.incarnation);
    // Requests that a previous agent started hold no pins in this table. The endpoint becomes ready only
    // after they have ended, so that none of their adapters is evicted.
    const bool no_earlier_requests = state.running_requests == 0 || now - *adopted_at_ > previous_agent_limit;
    if (!ready_ && no_earlier_requests) {
        ready_ = true;
        log_event(log_level::info, "endpoint_ready",
                  {{"endpoint", settings_.endpoint},
                   {"slots", state.adapter_slots},
                   {"batch", state.max_batch_size}});
    }
    process_queue();
}

template <ports::engine Engine>
void request_runner<Engine>::check_incarnation(const std::string& incarnation) {
    if (!slots_ || incarnation.empty()) {
        return;
    }
    const auto effect = slots_->on_incarnation(incarnation, loop_.now());
    if (!effect) {
        return;
    }
    log_event(log_level::warning, "engine_restarted",
              {{"endpoint", settings_.endpoint},
               {"incarnation", incarnation},
               {"lost_adapters", effect->lost.size()}});
    std::vector<request_pointer> lost;
    for (const request_pointer& each : active_requests_ | std::views::values) {
        if (each->running) {
            lost.push_back(each);
        }
    }
    // The restart may be reported by the answer to a request that runs on the new incarnation. Its pin was
    // removed as well, so it is ended like the others.
    std::ranges::for_each(
        lost, [this](const request_pointer& each) { finish(each, false, "the engine restarted"); });
}

template <ports::engine Engine>
void request_runner<Engine>::update_service_rate() {
    const time_point now = loop_.now();
    const duration elapsed = now - rate_since_;
    if (elapsed < 1s) {
        return;
    }
    // The throughput of a partly filled batch does not indicate that of a full one.
    if (running_ >= concurrency_ && recent_tokens_ > 0) {
        queue_.record_service(static_cast<std::uint32_t>(recent_tokens_), elapsed);
    }
    recent_tokens_ = 0;
    rate_since_ = now;
}

} // namespace samphiretray::agent

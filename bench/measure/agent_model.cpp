#include "bench/measure/agent_model.h"

#include <algorithm>

namespace samphiretray::measure {

namespace {

constexpr duration unload_time = 5ms;
constexpr std::uint32_t max_load_failures = 4;
/// The permit scheduler drops permit requests that are not repeated within 3 seconds.
constexpr duration repeat_interval = 1s;

} // namespace

agent_model::agent_model(event_queue& events, weight_store_model& store, policy kind, std::uint32_t slots,
                         std::uint32_t batch, permit_callbacks permits)
    : events_(events), store_(store), policy_(kind), batch_(batch), permits_(std::move(permits)),
      engine_(events, batch), slots_(slot_settings_of(kind, slots)), queue_(queue_settings_of(kind)),
      attempts_({}) {
    (void)slots_.on_incarnation(std::to_string(incarnation_), events_.now());
}

void agent_model::measure_from(time_point begin) {
    measured_from_ = begin;
    engine_.measure_from(begin);
}

duration agent_model::expected_load(const agent::adapter_version& adapter) const {
    return policy_ != policy::ours || slots_.resident(adapter) ? duration::zero()
                                                               : slots_.load_delay(events_.now());
}

void agent_model::open(const agent::queued_request& request, std::uint32_t prompt_tokens,
                       std::uint32_t output_tokens, attempt_events notify) {
    if (!attempts_.open({0, request.request, request.attempt}, events_.now())) {
        return;
    }
    agent::queued_request queued = request;
    if (policy_ != policy::ours) {
        // With a single flow and no priority, the fair queue is first in, first out.
        queued.organisation = "all";
        queued.priority = false;
    }
    const auto result = queue_.push(queued, expected_load(queued.adapter), runnable(), events_.now());
    if (result.refused) {
        (void)attempts_.refuse({0, request.request, request.attempt}, events_.now());
        notify.on_refused(*result.refused, false, load());
        return;
    }
    active_request& added = active_[request.request];
    added = {queued, prompt_tokens, output_tokens, std::move(notify), !slots_.resident(queued.adapter), {},
             {}};
    if (added.cold) {
        added.stalled_since = events_.now();
    }
    slots_.wait_started(queued.adapter, queued.priority, events_.now());
    if (result.displaced) {
        refuse({*result.displaced}, wire::refusal::queue_full);
    }
    dispatch();
}

void agent_model::dispatch() {
    if (down_) {
        return;
    }
    refuse(queue_.expire(events_.now()), wire::refusal::deadline);
    start_requests();
    request_permits();
}

agent::fair_queue::runnable_predicate agent_model::runnable() const {
    return [this](const agent::queued_request& request) {
        return slots_.can_run(request.adapter, request.priority);
    };
}

void agent_model::start_requests() {
    // The engine pauses other requests in favour of priority requests, so these start even if the batch is
    // full.
    while (true) {
        const bool full = engine_.running() >= batch_;
        const auto next = queue_.pop([&](const agent::queued_request& request) {
            return (request.priority || !full) && slots_.can_run(request.adapter, request.priority);
        });
        if (!next) {
            break;
        }
        start(*next);
    }
    const bool full = engine_.running() >= batch_;
    if (full && !batch_full_) {
        batch_full_since_ = events_.now();
        tokens_at_full_batch_ = 0;
    }
    batch_full_ = full;
}

void agent_model::start(const agent::queued_request& request) {
    active_request& tracked = active_.at(request.request);
    tracked.pin = slots_.pin(request.adapter, request.priority, events_.now());
    end_stall(tracked);
    execute_commands(slots_.wait_ended(request.adapter, request.priority, events_.now()));
    if (!tracked.pin || !attempts_.start({0, request.request, request.attempt})) {
        std::abort();
    }
    const std::uint64_t id = request.request;
    engine_.start(id, {tracked.prompt_tokens, tracked.output_tokens, request.priority,
                       [this, id] { handle_first_token(id); }, [this, id] { handle_end(id); }});
}

void agent_model::handle_first_token(std::uint64_t request) {
    const active_request& tracked = active_.at(request);
    tracked.notify.on_first_token(tracked.cold, load());
}

void agent_model::handle_end(std::uint64_t request) {
    auto ended = active_.extract(request);
    active_request& tracked = ended.mapped();
    const std::uint32_t used = tracked.prompt_tokens + tracked.output_tokens;
    attempts_.finish({0, request, tracked.request.attempt}, events_.now());
    slots_.unpin(*tracked.pin, events_.now());
    queue_.settle(tracked.request.organisation, tracked.request.priority, tracked.request.tokens, used);
    tokens_at_full_batch_ += used;
    if (batch_full_ && events_.now() - batch_full_since_ >= 2s) {
        queue_.record_service(tokens_at_full_batch_, events_.now() - batch_full_since_);
        batch_full_since_ = events_.now();
        tokens_at_full_batch_ = 0;
    }
    tracked.notify.on_end(load());
    dispatch();
}

agent::slot_table::weight_function agent_model::load_weights() const {
    if (policy_ != policy::ours) {
        return {};
    }
    return [this](const agent::adapter_version& adapter) { return queue_.load_weight(adapter); };
}

agent_model::permit agent_model::wanted_permit(const agent::adapter_version& adapter) const {
    permit wanted{adapter, false, false, 0, events_.now()};
    if (policy_ == policy::ours) {
        wanted.waiting = queue_.load_weight(adapter);
    }
    for (const auto& [id, each] : active_) {
        if (!each.pin && each.request.adapter == adapter) {
            wanted.waiting += policy_ == policy::ours ? 0 : 1;
            wanted.priority = wanted.priority || each.request.priority;
        }
    }
    return wanted;
}

void agent_model::request_permits() {
    const auto wanted = slots_.loads_wanted(events_.now(), load_weights());
    std::map<agent::adapter_version, std::uint64_t> asked;
    for (auto at = permits_by_round_.begin(); at != permits_by_round_.end();) {
        const permit& each = at->second;
        if (!each.granted && std::ranges::find(wanted, each.adapter) == wanted.end()) {
            permits_.cancel(at->first);
            at = permits_by_round_.erase(at);
            continue;
        }
        asked.emplace(each.adapter, at->first);
        ++at;
    }
    for (const agent::adapter_version& adapter : wanted) {
        const permit now_wanted = wanted_permit(adapter);
        if (const auto known = asked.find(adapter); known != asked.end()) {
            renew_permit_request(known->second, now_wanted);
            continue;
        }
        permits_by_round_[next_round_] = now_wanted;
        permits_.request(next_round_++, now_wanted.priority, now_wanted.waiting, adapter);
    }
}

/// Repeats a permit request when the number of waiting requests has changed, and at least every
/// `repeat_interval`. The permit scheduler keeps the age of the first request.
void agent_model::renew_permit_request(std::uint64_t round, const permit& wanted) {
    permit& before = permits_by_round_.at(round);
    const bool due = before.waiting != wanted.waiting || events_.now() - before.asked_at >= repeat_interval;
    if (before.granted || !due) {
        return;
    }
    before = wanted;
    permits_.request(round, wanted.priority, wanted.waiting, wanted.adapter);
}

void agent_model::granted(std::uint64_t round) {
    const auto found = permits_by_round_.find(round);
    if (found == permits_by_round_.end()) {
        permits_.done(round, false);
        return;
    }
    if (found->second.granted) {
        return;
    }
    const auto commands = slots_.begin_load(found->second.adapter, 1, events_.now());
    if (commands.empty() || down_) {
        permits_by_round_.erase(found);
        permits_.done(round, false);
        return;
    }
    found->second.granted = true;
    execute_commands(commands);
}

void agent_model::execute_commands(const std::vector<agent::slot_command>& commands) {
    const std::uint64_t incarnation = incarnation_;
    for (const agent::slot_command& command : commands) {
        if (command.kind == agent::slot_command_kind::load) {
            load(command);
        } else if (command.kind == agent::slot_command_kind::unload) {
            events_.after(unload_time, [this, id = command.id, incarnation] {
                if (incarnation == incarnation_) {
                    execute_commands(slots_.unload_finished(id, true, events_.now()));
                    dispatch();
                }
            });
        }
    }
}

void agent_model::load(const agent::slot_command& command) {
    store_.load(
        [this, command, incarnation = incarnation_](bool success) { loaded(command, success, incarnation); });
}

void agent_model::loaded(const agent::slot_command& command, bool success, std::uint64_t incarnation) {
    const agent::adapter_version& adapter = command.order.target;
    if (incarnation != incarnation_) {
        return;
    }
    const auto outcome = success ? agent::load_outcome::loaded : agent::load_outcome::failed;
    execute_commands(slots_.load_finished(command.id, outcome, events_.now()));
    finish_permit(adapter, success);
    if (success) {
        end_stalls(adapter);
    } else if (slots_.failures(adapter) >= max_load_failures) {
        refuse(queue_.remove_if([&](const auto& request) { return request.adapter == adapter; }),
               wire::refusal::load_failed);
    }
    dispatch();
}

void agent_model::finish_permit(const agent::adapter_version& adapter, bool success) {
    const auto found = std::ranges::find_if(permits_by_round_, [&](const auto& each) {
        return each.second.granted && each.second.adapter == adapter;
    });
    if (found != permits_by_round_.end()) {
        permits_.done(found->first, success);
        permits_by_round_.erase(found);
    }
}

void agent_model::end_stalls(const agent::adapter_version& adapter) {
    for (auto& [id, each] : active_) {
        if (each.request.adapter == adapter) {
            end_stall(each);
        }
    }
}

void agent_model::end_stall(active_request& tracked) {
    if (!tracked.stalled_since) {
        return;
    }
    const duration waited = events_.now() - *tracked.stalled_since;
    if (*tracked.stalled_since >= measured_from_) {
        ++stalls_.requests;
        stalls_.seconds += std::chrono::duration<double>{waited}.count();
    }
    tracked.stalled_since.reset();
}

void agent_model::refuse(const std::vector<agent::queued_request>& removed, wire::refusal reason) {
    for (const agent::queued_request& request : removed) {
        auto refused = active_.extract(request.request);
        if (refused.empty()) {
            continue;
        }
        end_stall(refused.mapped());
        execute_commands(slots_.wait_ended(request.adapter, request.priority, events_.now()));
        (void)attempts_.refuse({0, request.request, request.attempt}, events_.now());
        refused.mapped().notify.on_refused(reason, false, load());
    }
}

void agent_model::cancel(std::uint64_t request, std::uint32_t attempt) {
    const auto found = active_.find(request);
    if (found == active_.end() || found->second.request.attempt != attempt) {
        return;
    }
    if (!found->second.pin) {
        refuse(queue_.remove_if([=](const auto& each) { return each.request == request; }),
               wire::refusal::cancelled);
    } else {
        engine_.cancel(request);
        slots_.unpin(*found->second.pin, events_.now());
        attempts_.finish({0, request, attempt}, events_.now());
        active_.erase(found);
    }
    dispatch();
}

void agent_model::restart_engine(duration down) {
    engine_.restart();
    ++incarnation_;
    down_ = true;
    for (const auto& [round, each] : permits_by_round_) {
        each.granted ? permits_.done(round, false) : permits_.cancel(round);
    }
    permits_by_round_.clear();
    (void)slots_.on_incarnation(std::to_string(incarnation_), events_.now());
    std::vector<std::uint64_t> lost;
    for (auto& [id, each] : active_) {
        if (each.pin) {
            lost.push_back(id);
        } else if (!each.stalled_since) {
            each.cold = true;
            each.stalled_since = events_.now();
        }
    }
    for (const std::uint64_t id : lost) {
        auto ended = active_.extract(id);
        attempts_.finish({0, id, ended.mapped().request.attempt}, events_.now());
        ended.mapped().notify.on_refused(wire::refusal::endpoint_down, true, load());
    }
    events_.after(down, [this] {
        down_ = false;
        dispatch();
    });
}

void agent_model::tick() {
    execute_commands(slots_.poll(events_.now()));
    dispatch();
}

wire::load_report agent_model::load() const {
    wire::load_report report;
    report.running = engine_.running();
    report.queued = static_cast<std::uint32_t>(queue_.count_if(runnable()));
    report.slots = static_cast<std::uint32_t>(slots_.capacity());
    report.slots_pinned = static_cast<std::uint32_t>(slots_.pinned_count());
    report.capacity = batch_;
    report.wait_ms = static_cast<std::uint32_t>(milliseconds_in(queue_.estimated_wait(false, runnable())));
    return report;
}

} // namespace samphiretray::measure

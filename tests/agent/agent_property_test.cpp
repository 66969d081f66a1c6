#include "samphiretray/agent/attempt_table.h"
#include "samphiretray/agent/fair_queue.h"
#include "samphiretray/agent/slot_table.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

constexpr std::size_t slots = 3;
constexpr std::size_t batch = 4;

adapter_version adapter_of(std::uint32_t number) {
    return {"a" + std::to_string(number % 4), std::to_string(number / 4 % 2)};
}

/// Priority is a property of organisations, and each adapter belongs to one organisation.
bool is_priority(const adapter_version& adapter) {
    return adapter.adapter == "a3";
}

/// Drives an agent's decision modules against a simulated engine, which tracks independently what is loaded
/// and running.
class simulated_agent {
public:
    simulated_agent() : table_(settings()), queue_({}), attempts_({}) { restart(); }

    void arrive(std::uint32_t number) {
        const attempt_id id{1, ++last_request_, 1};
        RC_ASSERT(attempts_.open(id, now_));
        queued_request request;
        request.request = id.request;
        request.attempt = 1;
        request.organisation = number % 3 == 0 ? "one" : "two";
        request.adapter = adapter_of(number);
        request.priority = is_priority(request.adapter);
        request.tokens = 10 + number;
        request.deadline = now_ + 1h;
        const bool refused = queue_
                                 .push(
                                     request, 0ms, [](const queued_request&) { return true; }, now_)
                                 .refused.has_value();
        RC_ASSERT(!refused);
        table_.wait_started(request.adapter, request.priority, now_);
        run_pending();
    }

    void cancel(std::uint32_t number) {
        const std::uint64_t chosen = number % (last_request_ + 1);
        remove_waiting(
            queue_.remove_if([=](const queued_request& request) { return request.request == chosen; }));
        run_pending();
    }

    void finish_request(std::uint32_t number) {
        if (running_.empty()) {
            return;
        }
        const auto chosen = std::next(running_.begin(), number % running_.size());
        table_.unpin(chosen->second.pin, now_);
        end(chosen->first);
        running_.erase(chosen);
        run_pending();
    }

    void finish_command(std::uint32_t number) {
        if (commands_.empty()) {
            return;
        }
        const auto chosen = std::next(commands_.begin(), number % commands_.size());
        const slot_command command = *chosen;
        commands_.erase(chosen);
        const bool succeeds = number % 4 != 0;
        if (command.kind == slot_command_kind::unload) {
            finish_unload(command, succeeds);
        } else {
            finish_load(command, succeeds, number % 8 == 0);
        }
        run_pending();
    }

    /// Reports a command that has already completed or that was sent to an earlier incarnation of the engine.
    void report_stale_command(std::uint32_t number) {
        if (!old_commands_.empty()) {
            const std::uint64_t id = old_commands_[number % old_commands_.size()];
            send_commands(table_.load_finished(id, load_outcome::loaded, now_));
            send_commands(table_.unload_finished(id, true, now_));
        }
        run_pending();
    }

    void restart() {
        loaded_.clear();
        for (const slot_command& command : commands_) {
            old_commands_.push_back(command.id);
        }
        commands_.clear();
        const auto effect = table_.on_incarnation(std::to_string(++incarnation_), now_);
        std::set<adapter_version> lost;
        for (const auto& [id, each] : running_) {
            lost.insert(each.adapter);
            end(id);
            stale_pins_.push_back(each.pin);
        }
        running_.clear();
        if (effect) {
            RC_ASSERT(lost == std::set(effect->lost.begin(), effect->lost.end()));
        }
        run_pending();
    }

    void release_stale_pins() {
        for (const slot_pin& pin : stale_pins_) {
            table_.unpin(pin, now_);
        }
        run_pending();
    }

    void advance(duration time) {
        now_ += time;
        send_commands(table_.poll(now_));
        run_pending();
    }

    /// Checks that all requests end once there are no new arrivals and faults.
    void finish_all() {
        for (int round = 0; round < 2000 && !queue_.empty(); ++round) {
            finish_command(1);
            finish_request(0);
            advance(500ms);
        }
        while (!running_.empty()) {
            finish_request(0);
        }
        RC_ASSERT(queue_.empty());
        RC_ASSERT(ended_.size() == last_request_);
    }

private:
    struct run {
        adapter_version adapter;
        slot_pin pin;
    };

    static slot_settings settings() {
        slot_settings made;
        made.slots = slots;
        return made;
    }

    void end(std::uint64_t request) {
        const attempt_id id{1, request, 1};
        const bool was_running = attempts_.finish(id, now_);
        RC_ASSERT(was_running || attempts_.refuse(id, now_));
        RC_ASSERT(ended_.insert(request).second);
    }

    void remove_waiting(const std::vector<queued_request>& removed) {
        for (const queued_request& request : removed) {
            end(request.request);
            send_commands(table_.wait_ended(request.adapter, request.priority, now_));
        }
    }

    void send_commands(const std::vector<slot_command>& commands) {
        for (const slot_command& command : commands) {
            RC_ASSERT(command.order.fencing_number == 7U);
            if (command.kind == slot_command_kind::cancel_load) {
                continue;
            }
            if (command.kind == slot_command_kind::unload) {
                check_not_running(command.order.target);
            }
            commands_.push_back(command);
        }
    }

    void check_not_running(const adapter_version& adapter) const {
        for (const auto& [id, each] : running_) {
            RC_ASSERT(each.adapter != adapter);
        }
    }

    void finish_unload(const slot_command& command, bool succeeds) {
        if (succeeds) {
            check_not_running(command.order.target);
            loaded_.erase(command.order.target);
        }
        old_commands_.push_back(command.id);
        send_commands(table_.unload_finished(command.id, succeeds, now_));
    }

    void finish_load(const slot_command& command, bool succeeds, bool unknown) {
        if (succeeds || unknown) {
            loaded_.insert(command.order.target);
            RC_ASSERT(loaded_.size() <= slots);
        }
        const load_outcome failure = unknown ? load_outcome::unknown : load_outcome::failed;
        old_commands_.push_back(command.id);
        send_commands(table_.load_finished(command.id, succeeds ? load_outcome::loaded : failure, now_));
    }

    void run_pending() {
        start_requests();
        for (const adapter_version& adapter : table_.loads_wanted(now_)) {
            const std::uint64_t before = table_.evictions();
            send_commands(table_.begin_load(adapter, 7, now_));
            RC_ASSERT(table_.evictions() <= before + 1);
        }
        check_priority();
    }

    void start_requests() {
        const auto runnable = [this](const queued_request& request) {
            return table_.can_run(request.adapter, request.priority);
        };
        while (running_.size() < batch) {
            const auto next = queue_.pop(runnable);
            if (!next) {
                return;
            }
            const auto pin = table_.pin(next->adapter, next->priority, now_);
            RC_ASSERT(pin.has_value());
            send_commands(table_.wait_ended(next->adapter, next->priority, now_));
            RC_ASSERT(attempts_.start({1, next->request, 1}));
            RC_ASSERT(loaded_.contains(next->adapter));
            running_.emplace(next->request, run{next->adapter, *pin});
        }
    }

    /// Checks that requests without priority never occupy all slots.
    void check_priority() const {
        std::set<adapter_version> held;
        for (const auto& [id, each] : running_) {
            if (!is_priority(each.adapter)) {
                held.insert(each.adapter);
            }
        }
        RC_ASSERT(held.size() < slots);
    }

    time_point now_{1000s};
    slot_table table_;
    fair_queue queue_;
    attempt_table attempts_;
    std::set<adapter_version> loaded_;
    std::map<std::uint64_t, run> running_;
    std::vector<slot_command> commands_;
    std::vector<std::uint64_t> old_commands_;
    std::vector<slot_pin> stale_pins_;
    std::set<std::uint64_t> ended_;
    std::uint64_t last_request_ = 0;
    int incarnation_ = 0;
};

void apply(simulated_agent& target, std::uint32_t kind, std::uint32_t number) {
    switch (kind) {
    case 0:
        return target.cancel(number);
    case 1:
        return target.report_stale_command(number);
    case 2:
        return number % 4 == 0 ? target.restart() : target.release_stale_pins();
    case 3:
        return target.advance(std::chrono::milliseconds{100 * (number % 40)});
    case 4:
    case 5:
        return target.finish_request(number);
    case 6:
    case 7:
    case 8:
        return target.finish_command(number);
    default:
        return target.arrive(number);
    }
}

} // namespace

// Guards against evicting an adapter while a request uses it, running a request on a wrong adapter or
// version, loading more adapters than there are slots, and requests that end twice or never.
TEST_CASE("slots, queue and attempts stay consistent under random event sequences") {
    REQUIRE(rc::check([] {
        const auto length = *rc::gen::inRange<std::size_t>(0, 200);
        const auto events = *rc::gen::container<std::vector<std::pair<std::uint32_t, std::uint32_t>>>(
            length,
            rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, 14), rc::gen::inRange<std::uint32_t>(0, 1000)));
        simulated_agent target;
        for (const auto& [kind, number] : events) {
            apply(target, kind, number);
        }
        target.finish_all();
    }));
}

// Guards against priority requests that have to wait until running requests without priority end.
TEST_CASE("a priority adapter gets a slot with at most one eviction after any sequence of normal requests") {
    REQUIRE(rc::check([](std::vector<std::uint8_t> events) {
        slot_settings settings;
        settings.slots = slots;
        slot_table table{settings};
        time_point now{1000s};
        std::vector<slot_pin> pins;
        for (const std::uint8_t event : events) {
            now += 300ms;
            const adapter_version adapter = adapter_of(event);
            if (event % 5 == 0 && !pins.empty()) {
                table.unpin(pins.back(), now);
                pins.pop_back();
                continue;
            }
            table.wait_started(adapter, false, now);
            (void)table.loads_wanted(now);
            auto commands = table.begin_load(adapter, 1, now);
            while (!commands.empty()) {
                const slot_command command = commands.front();
                commands = command.kind == slot_command_kind::unload
                               ? table.unload_finished(command.id, true, now)
                               : table.load_finished(command.id, load_outcome::loaded, now);
            }
            if (const auto pin = table.pin(adapter, false, now)) {
                pins.push_back(*pin);
            }
        }
        const adapter_version urgent{"urgent", "1"};
        const std::uint64_t before = table.evictions();
        table.wait_started(urgent, true, now);
        RC_ASSERT(table.loads_wanted(now).front() == urgent);
        RC_ASSERT(!table.begin_load(urgent, 1, now).empty());
        RC_ASSERT(table.evictions() <= before + 1);
    }));
}

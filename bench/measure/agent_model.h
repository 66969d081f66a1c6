#pragma once

#include "samphiretray/agent/attempt_table.h"
#include "samphiretray/wire/messages.h"

#include "bench/measure/back_ends.h"
#include "bench/measure/policy.h"

#include <map>
#include <optional>

namespace samphiretray::measure {

/// Callbacks through which an agent reports an attempt to the entry.
struct attempt_events {
    std::function<void(bool cold, wire::load_report load)> on_first_token;
    std::function<void(wire::load_report load)> on_end;
    std::function<void(wire::refusal reason, bool forwarded, wire::load_report load)> on_refused;
};

/// Callbacks through which an agent requests, cancels and returns load permits.
struct permit_callbacks {
    std::function<void(std::uint64_t round, bool priority, std::uint32_t waiting,
                       const agent::adapter_version& adapter)>
        request;
    std::function<void(std::uint64_t round)> cancel;
    std::function<void(std::uint64_t round, bool loaded)> done;
};

/// Requests that waited for an adapter load, and their total waiting time.
struct stall_totals {
    std::uint64_t requests = 0;
    double seconds = 0.0;
};

/// Runs the agent's real decision modules (slots, queue, attempts) on a simulated engine.
class agent_model {
public:
    agent_model(event_queue& events, weight_store_model& store, policy kind, std::uint32_t slots,
                std::uint32_t batch, permit_callbacks permits);

    void open(const agent::queued_request& request, std::uint32_t prompt_tokens, std::uint32_t output_tokens,
              attempt_events notify);
    void cancel(std::uint64_t request, std::uint32_t attempt);
    void granted(std::uint64_t round);
    void restart_engine(duration down);
    void tick();

    [[nodiscard]] wire::load_report load() const;
    [[nodiscard]] engine_model& engine() { return engine_; }
    [[nodiscard]] const stall_totals& stalls() const { return stalls_; }
    void measure_from(time_point begin);
    [[nodiscard]] std::uint64_t evictions() const { return slots_.evictions(); }

private:
    struct active_request {
        agent::queued_request request;
        std::uint32_t prompt_tokens = 0;
        std::uint32_t output_tokens = 0;
        attempt_events notify;
        /// True if the adapter was not resident when the request arrived or when the engine restarted.
        bool cold = false;
        std::optional<time_point> stalled_since;
        std::optional<agent::slot_pin> pin;
    };
    struct permit {
        agent::adapter_version adapter;
        bool granted = false;
        bool priority = false;
        std::uint32_t waiting = 0;
        time_point asked_at;
    };

    void dispatch();
    void start_requests();
    void start(const agent::queued_request& request);
    void request_permits();
    [[nodiscard]] agent::slot_table::weight_function load_weights() const;
    void renew_permit_request(std::uint64_t round, const permit& wanted);
    [[nodiscard]] permit wanted_permit(const agent::adapter_version& adapter) const;
    void execute_commands(const std::vector<agent::slot_command>& commands);
    void load(const agent::slot_command& command);
    void loaded(const agent::slot_command& command, bool success, std::uint64_t incarnation);
    void finish_permit(const agent::adapter_version& adapter, bool success);
    void end_stalls(const agent::adapter_version& adapter);
    void end_stall(active_request& tracked);
    void refuse(const std::vector<agent::queued_request>& removed, wire::refusal reason);
    void handle_first_token(std::uint64_t request);
    void handle_end(std::uint64_t request);
    [[nodiscard]] agent::fair_queue::runnable_predicate runnable() const;
    [[nodiscard]] duration expected_load(const agent::adapter_version& adapter) const;

    event_queue& events_;
    weight_store_model& store_;
    policy policy_;
    std::uint32_t batch_;
    permit_callbacks permits_;
    engine_model engine_;
    agent::slot_table slots_;
    agent::fair_queue queue_;
    agent::attempt_table attempts_;
    std::map<std::uint64_t, active_request> active_;
    std::map<std::uint64_t, permit> permits_by_round_;
    std::uint64_t next_round_ = 1;
    std::uint64_t incarnation_ = 1;
    bool down_ = false;
    time_point measured_from_;
    stall_totals stalls_;
    std::uint32_t tokens_at_full_batch_ = 0;
    time_point batch_full_since_;
    bool batch_full_ = false;
};

} // namespace samphiretray::measure

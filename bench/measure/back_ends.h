#pragma once

#include "bench/measure/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>

/// Models of what is outside of the decision modules: engines and the weight store.
namespace samphiretray::measure {

/// An engine with continuous batching: each step gives one token to each request of the batch. With more
/// requests than places, priority requests run and the newest others pause.
class engine_model {
public:
    struct call {
        std::uint32_t prompt = 0;
        std::uint32_t output = 0;
        bool priority = false;
        std::function<void()> on_first_token;
        std::function<void()> on_end;
    };

    engine_model(event_queue& events, std::uint32_t batch) : events_(events), batch_(batch) {}

    void start(std::uint64_t id, call work);
    void cancel(std::uint64_t id) { running_.erase(id); }
    /// All running requests are gone.
    void restart();

    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    /// Sum over the busy steps of the running part of the batch, in seconds, from `counted_from` on.
    [[nodiscard]] double filled_seconds() const { return filled_; }
    [[nodiscard]] double busy_seconds() const { return busy_; }
    void count_from(time_point begin) { counted_from_ = begin; }

private:
    struct run {
        call work;
        time_point ready_at;
        std::uint32_t produced = 0;
        bool paused = false;
    };

    void schedule_step();
    void step(duration time);
    void choose_paused();
    [[nodiscard]] std::size_t batched() const;

    event_queue& events_;
    std::uint32_t batch_;
    std::map<std::uint64_t, run> running_;
    bool stepping_ = false;
    time_point counted_from_;
    double filled_ = 0.0;
    double busy_ = 0.0;
};

/// Loads take 0.25 s while at most eight are in flight, and proportionally longer beyond that.
class weight_store_model {
public:
    weight_store_model(event_queue& events, std::uint64_t seed) : events_(events), random_(seed) {}

    void load(std::function<void(bool loaded)> on_end);
    void set_fault(double slowdown, double failure_rate);
    [[nodiscard]] std::uint64_t loads() const { return loads_; }

private:
    event_queue& events_;
    std::mt19937_64 random_;
    std::uint32_t in_flight_ = 0;
    std::uint64_t loads_ = 0;
    double slowdown_ = 1.0;
    double failure_rate_ = 0.0;
};

} // namespace samphiretray::measure

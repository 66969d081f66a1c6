#pragma once

#include "bench/measure/event_queue.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>

/// Simulated back ends: inference engines and the weight store.
namespace samphiretray::measure {

/// An engine with continuous batching: each step produces one token for each request in the batch. If there
/// are more requests than the batch can hold, priority requests run and the newest of the others are paused.
class engine_model {
public:
    struct call {
        std::uint32_t prompt_tokens = 0;
        std::uint32_t output_tokens = 0;
        bool priority = false;
        std::function<void()> on_first_token;
        std::function<void()> on_end;
    };

    engine_model(event_queue& events, std::uint32_t batch) : events_(events), batch_(batch) {}

    void start(std::uint64_t id, call work);
    void cancel(std::uint64_t id) { running_.erase(id); }
    /// Drops all running requests.
    void restart();

    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    /// Time of all steps from the time given to `measure_from` on, each weighted by the occupied fraction of
    /// the batch, in seconds.
    [[nodiscard]] double filled_seconds() const { return filled_; }
    /// Time of all steps from the time given to `measure_from` on, in seconds.
    [[nodiscard]] double busy_seconds() const { return busy_; }
    void measure_from(time_point begin) { measured_from_ = begin; }

private:
    struct run {
        call work;
        time_point ready_at;
        std::uint32_t produced = 0;
        bool paused = false;
    };

    void schedule_step();
    void step(duration time);
    void pause_excess_requests();
    [[nodiscard]] std::size_t batched() const;

    event_queue& events_;
    std::uint32_t batch_;
    std::map<std::uint64_t, run> running_;
    bool stepping_ = false;
    time_point measured_from_;
    double filled_ = 0.0;
    double busy_ = 0.0;
};

/// A load takes 0.25 s while at most eight are in flight, and proportionally longer with more.
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

#include "bench/measure/back_ends.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace samphiretray::measure {

namespace {

/// A step takes a base time plus a time for each request in the batch.
constexpr duration step_base = 28ms;
constexpr duration step_per_request = 700us;
/// Prompt tokens per second that an engine prefills.
constexpr double prompt_tokens_per_second = 8000.0;
constexpr double full_speed_loads = 8.0;
constexpr duration load_time = 250ms;

double seconds(duration time) {
    return std::chrono::duration<double>{time}.count();
}

} // namespace

void engine_model::start(std::uint64_t id, call work) {
    const std::chrono::duration<double> reading{work.prompt_tokens / prompt_tokens_per_second};
    const time_point ready = events_.now() + std::chrono::duration_cast<duration>(reading);
    running_.emplace(id, run{std::move(work), ready});
    schedule_step();
}

void engine_model::restart() {
    running_.clear();
}

void engine_model::schedule_step() {
    if (stepping_ || running_.empty()) {
        return;
    }
    stepping_ = true;
    const duration time = step_base + step_per_request * batched();
    events_.after(time, [this, time] { step(time); });
}

std::size_t engine_model::batched() const {
    return std::min<std::size_t>(running_.size(), batch_);
}

void engine_model::pause_excess_requests() {
    std::size_t excess = running_.size() - batched();
    for (auto& [id, each] : running_ | std::views::reverse) {
        each.paused = excess > 0 && !each.work.priority;
        excess -= each.paused ? 1 : 0;
    }
}

void engine_model::step(duration time) {
    stepping_ = false;
    if (!running_.empty() && events_.now() >= measured_from_) {
        busy_ += seconds(time);
        filled_ += seconds(time) * static_cast<double>(batched()) / batch_;
    }
    pause_excess_requests();
    std::vector<std::function<void()>> callbacks;
    for (auto at = running_.begin(); at != running_.end();) {
        run& each = at->second;
        if (events_.now() < each.ready_at || each.paused) {
            ++at;
            continue;
        }
        ++each.produced;
        if (each.produced == 1) {
            callbacks.push_back(each.work.on_first_token);
        }
        if (each.produced < each.work.output_tokens) {
            ++at;
            continue;
        }
        callbacks.push_back(each.work.on_end);
        at = running_.erase(at);
    }
    for (const auto& callback : callbacks) {
        callback();
    }
    schedule_step();
}

void weight_store_model::load(std::function<void(bool loaded)> on_end) {
    ++in_flight_;
    ++loads_;
    const double factor = std::max(1.0, in_flight_ / full_speed_loads) * slowdown_;
    const bool loaded = std::uniform_real_distribution<double>(0.0, 1.0)(random_) >= failure_rate_;
    const auto time =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::micro>{load_time} * factor);
    events_.after(time, [this, loaded, on_end = std::move(on_end)] {
        --in_flight_;
        on_end(loaded);
    });
}

void weight_store_model::set_fault(double slowdown, double failure_rate) {
    slowdown_ = slowdown;
    failure_rate_ = failure_rate;
}

} // namespace samphiretray::measure

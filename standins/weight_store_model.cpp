#include "standins/weight_store_model.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace samphiretray::standins {

namespace {

/// A load with at most this many seconds left is finished; timers have a resolution of 1 µs.
constexpr double work_epsilon = 1e-6;

} // namespace

weight_store_model::weight_store_model(const weight_store_options& options)
    : options_(options), limit_(options.loads_per_second), random_(options.seed) {}

std::optional<std::uint64_t> weight_store_model::begin(time_point now) {
    progress(now);
    if (!limit_.admit(now)) {
        ++refused_;
        return std::nullopt;
    }
    const std::uint64_t load = ++started_;
    remaining_[load] = std::chrono::duration<double>(options_.load_time).count();
    peak_in_flight_ = std::max(peak_in_flight_, remaining_.size());
    return load;
}

std::vector<weight_store_model::finished_load> weight_store_model::advance(time_point now) {
    progress(now);
    std::vector<finished_load> finished;
    std::erase_if(remaining_, [&](const auto& item) {
        if (item.second > work_epsilon) {
            return false;
        }
        const bool succeeded = !random_.chance(failure_probability_);
        failed_ += succeeded ? 0 : 1;
        finished.push_back({item.first, succeeded});
        return true;
    });
    return finished;
}

std::optional<time_point> weight_store_model::next_event() const {
    if (remaining_.empty()) {
        return std::nullopt;
    }
    const double work = std::ranges::min(remaining_ | std::views::values);
    const double seconds = std::max(0.0, work) / speed();
    return last_ + duration{static_cast<std::int64_t>(std::ceil(seconds * 1e6))};
}

void weight_store_model::change_faults(const nlohmann::json& change, time_point now) {
    progress(now);
    slow_factor_ = std::max(1e-3, change.value("slow_factor", slow_factor_));
    failure_probability_ = change.value("failure_probability", failure_probability_);
}

nlohmann::json weight_store_model::counters() const {
    return {{"loads", started_},
            {"rate_limited", refused_},
            {"failed", failed_},
            {"in_flight", remaining_.size()},
            {"most_in_flight", peak_in_flight_}};
}

double weight_store_model::speed() const {
    const double share = static_cast<double>(options_.full_speed_loads) /
                         static_cast<double>(std::max<std::size_t>(1, remaining_.size()));
    return std::min(1.0, share) / slow_factor_;
}

void weight_store_model::progress(time_point now) {
    const double done = std::chrono::duration<double>(now - last_).count() * speed();
    for (double& work : remaining_ | std::views::values) {
        work -= done;
    }
    last_ = now;
}

} // namespace samphiretray::standins

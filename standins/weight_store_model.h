#pragma once

#include "samphiretray/base/time.h"

#include "standins/random_source.h"
#include "standins/rate_limit.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace samphiretray::standins {

struct weight_store_options {
    /// Loads a second; more are refused. 0 for no limit.
    double loads_per_second = 2;
    /// Time of a load while at most `full_speed_loads` are in flight; proportionally longer beyond.
    duration load_time = 250ms;
    std::uint32_t full_speed_loads = 8;
    std::uint64_t seed = 1;
};

/// Loads in flight at the weight store, which share its bandwidth.
class weight_store_model {
public:
    explicit weight_store_model(const weight_store_options& options);

    /// Starts a load, or returns nothing if too many were asked for in a second.
    [[nodiscard]] std::optional<std::uint64_t> begin(time_point now);

    struct finished_load {
        std::uint64_t load = 0;
        bool succeeded = false;
    };
    [[nodiscard]] std::vector<finished_load> advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const;

    /// Fields: `slow_factor`, `failure_probability`.
    void change_faults(const nlohmann::json& change, time_point now);
    [[nodiscard]] nlohmann::json counters() const;

private:
    /// Seconds of full-speed work done in a second by each load.
    [[nodiscard]] double speed() const;
    void progress(time_point now);

    weight_store_options options_;
    rate_limit limit_;
    random_source random_;
    double slow_factor_ = 1;
    double failure_probability_ = 0;
    /// Remaining seconds of work at full speed by load.
    std::map<std::uint64_t, double> remaining_;
    time_point last_{};
    std::uint64_t started_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::size_t most_in_flight_ = 0;
};

} // namespace samphiretray::standins

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
    /// Maximum number of loads that start per second; further loads are refused. 0 for no limit.
    double loads_per_second = 2;
    /// Duration of a load while at most `full_speed_loads` are in flight; proportionally longer with more.
    duration load_time = 250ms;
    std::uint32_t full_speed_loads = 8;
    std::uint64_t seed = 1;
};

/// The weight store stand-in without I/O. Loads in flight share its bandwidth.
class weight_store_model {
public:
    explicit weight_store_model(const weight_store_options& options);

    /// Starts a load and returns its id, or returns nothing if the load exceeds the rate limit.
    [[nodiscard]] std::optional<std::uint64_t> begin(time_point now);

    struct finished_load {
        std::uint64_t load = 0;
        bool succeeded = false;
    };
    [[nodiscard]] std::vector<finished_load> advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const;

    /// Sets the faults that are fields of `change`: `slow_factor`, `failure_probability`.
    void change_faults(const nlohmann::json& change, time_point now);
    [[nodiscard]] nlohmann::json counters() const;

private:
    /// Speed of each load relative to full speed.
    [[nodiscard]] double speed() const;
    /// Subtracts the work done since the last call from all loads.
    void progress(time_point now);

    weight_store_options options_;
    rate_limit limit_;
    random_source random_;
    double slow_factor_ = 1;
    double failure_probability_ = 0;
    /// Remaining seconds at full speed, by load id.
    std::map<std::uint64_t, double> remaining_;
    time_point last_{};
    std::uint64_t started_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t failed_ = 0;
    std::size_t peak_in_flight_ = 0;
};

} // namespace samphiretray::standins

#pragma once

#include "bench/measure/policy.h"
#include "bench/measure/scenario.h"

#include <cstdint>
#include <string>

namespace samphiretray::measure {

/// One row of the table.
struct figures {
    std::string deployment;
    std::string scenario;
    std::string policy;
    /// Requests of the counted time, and how they ended.
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    /// Refused although the organisation was within its rate.
    std::uint64_t wrongful = 0;
    /// Demand as a part of the tokens that the fleet can serve, in the counted time.
    double fleet_load = 0.0;
    std::uint64_t stalls = 0;
    double stall_seconds = 0.0;
    double batch_efficiency = 0.0;
    double worst_share = 0.0;
    double first_token_median = 0.0;
    double first_token_95 = 0.0;
    double first_token_99 = 0.0;
    /// Of the priority customer; 0 without one.
    double priority_95 = 0.0;
    double remote_megabytes = 0.0;
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
};

[[nodiscard]] figures run(const deployment& of, scenario kind, policy used, std::uint64_t seed);

} // namespace samphiretray::measure

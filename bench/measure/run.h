#pragma once

#include "bench/measure/policy.h"
#include "bench/measure/scenario.h"

#include <cstdint>
#include <string>

namespace samphiretray::measure {

/// Results of one run, printed as one row of the table.
struct run_metrics {
    std::string deployment;
    std::string scenario;
    std::string policy;
    /// Requests that arrived in the measured time, and their outcomes.
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t broken = 0;
    /// Requests that were refused although the organisation was within its rate.
    std::uint64_t wrongful_refusals = 0;
    /// Requested tokens as a fraction of those that the fleet can serve in the measured time.
    double fleet_load = 0.0;
    std::uint64_t stalls = 0;
    double stall_seconds = 0.0;
    /// Mean occupied fraction of the batch over the engines' busy time.
    double batch_efficiency = 0.0;
    /// Lowest ratio, over the organisations, of served tokens to the max-min fair share.
    double worst_share = 0.0;
    /// Time to first token, in seconds.
    double first_token_median = 0.0;
    double first_token_p95 = 0.0;
    double first_token_p99 = 0.0;
    /// 95th percentile of the priority customer's time to first token; 0 in scenarios without that customer.
    double priority_first_token_p95 = 0.0;
    double remote_megabytes = 0.0;
    std::uint64_t loads = 0;
    std::uint64_t evictions = 0;
};

[[nodiscard]] run_metrics run(const deployment& of, scenario kind, policy used, std::uint64_t seed);

} // namespace samphiretray::measure

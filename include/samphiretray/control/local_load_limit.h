#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"

#include <cstdint>
#include <random>

namespace samphiretray::control {

struct local_load_limit_options {
    /// What the weight store allows fleet-wide.
    double loads_per_second = 2.0;
    /// Part of that which all agents together use without a permit.
    double fleet_share = 0.5;
    /// Least rate of one agent, so that a very large fleet still loads.
    double least_per_second = 1.0 / 60;
};

/// The slow rate at which an agent loads without a holder of the duty `loads`. One load at a time.
class local_load_limit {
public:
    /// `agents` is the number of agents in the VM list. The first load is delayed by a random part of the
    /// interval, so that agents which lose the duty holder together do not load together.
    local_load_limit(local_load_limit_options options, std::uint32_t agents, std::mt19937_64& random,
                     time_point now);

    /// The number of agents changed.
    void set_agents(std::uint32_t agents, time_point now);
    /// True if a load may start now; it counts as started. A priority load may use the next load's turn.
    [[nodiscard]] bool try_start(bool priority, time_point now);
    void done();
    /// Time until `try_start` can succeed, apart from a running load.
    [[nodiscard]] duration time_until(bool priority, time_point now);

private:
    [[nodiscard]] double rate_of(std::uint32_t agents) const;

    local_load_limit_options options_;
    rate::token_bucket bucket_;
    bool running_ = false;
    /// The last priority load used a token that was not there yet.
    bool borrowed_ = false;
};

} // namespace samphiretray::control

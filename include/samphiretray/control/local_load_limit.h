#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"

#include <cstdint>
#include <random>

namespace samphiretray::control {

struct local_load_limit_options {
    /// Load rate that the weight store allows for the whole fleet.
    double loads_per_second = 2.0;
    /// Fraction of that rate which all agents together may use without a permit.
    double permitless_fraction = 0.5;
    /// Minimum rate of one agent, so that agents of a very large fleet can still load.
    double min_per_second = 1.0 / 60;
};

/// Limits the rate at which an agent loads adapters while no entry holds the duty `loads`. One load at a
/// time.
class local_load_limit {
public:
    /// `agents` is the number of agents in the VM list. The first load is delayed by a random fraction of the
    /// interval, so that agents that lose the duty holder at the same time do not load at the same time.
    local_load_limit(local_load_limit_options options, std::uint32_t agents, std::mt19937_64& random,
                     time_point now);

    /// Changes the number of agents.
    void set_agents(std::uint32_t agents, time_point now);
    /// Returns true if a load may start now, and counts it as started. A priority load may use the token of
    /// the next load.
    [[nodiscard]] bool try_start(bool priority, time_point now);
    void done();
    /// Time until `try_start` can succeed, not counting the rest of a running load.
    [[nodiscard]] duration time_until(bool priority, time_point now);

private:
    [[nodiscard]] double rate_of(std::uint32_t agents) const;

    local_load_limit_options options_;
    rate::token_bucket bucket_;
    bool running_ = false;
    /// True if the last priority load used a token that was not in the bucket yet.
    bool borrowed_ = false;
};

} // namespace samphiretray::control

#include "samphiretray/control/local_load_limit.h"

#include <algorithm>

namespace samphiretray::control {

local_load_limit::local_load_limit(local_load_limit_options options, std::uint32_t agents,
                                   std::mt19937_64& random, time_point now)
    : options_(options),
      bucket_({rate_of(agents), 1.0}, std::uniform_real_distribution<double>{0.0, 1.0}(random), now) {}

double local_load_limit::rate_of(std::uint32_t agents) const {
    const double share = options_.loads_per_second * options_.fleet_share / std::max(agents, 1U);
    return std::max(share, options_.least_per_second);
}

void local_load_limit::set_agents(std::uint32_t agents, time_point now) {
    bucket_.set_limits({rate_of(agents), 1.0}, now);
}

bool local_load_limit::try_start(bool priority, time_point now) {
    bucket_.refill(now);
    if (running_) {
        return false;
    }
    // A priority load may start once half of the interval has passed.
    if (!bucket_.try_take(1.0) && (!priority || !bucket_.try_take(0.5))) {
        return false;
    }
    running_ = true;
    return true;
}

void local_load_limit::done() {
    running_ = false;
}

duration local_load_limit::time_until(bool priority, time_point now) {
    bucket_.refill(now);
    return bucket_.time_until(priority ? 0.5 : 1.0).value_or(duration::zero());
}

} // namespace samphiretray::control

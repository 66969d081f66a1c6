#include "samphiretray/control/local_load_limit.h"

#include <algorithm>

namespace samphiretray::control {

namespace {

// A load needs a full token; a priority load may leave the bucket one token in debt.
constexpr double burst = 1;

} // namespace

local_load_limit::local_load_limit(local_load_limit_options options, std::uint32_t agents,
                                   std::mt19937_64& random, time_point now)
    : options_(options), bucket_({.rate = rate_of(agents), .burst = burst},
                                 std::uniform_real_distribution<double>{0, 1}(random), now) {}

double local_load_limit::rate_of(std::uint32_t agents) const {
    const double permitless_rate = options_.loads_per_second * options_.permitless_fraction;
    return std::max(permitless_rate / std::max(agents, 1U), options_.min_per_second);
}

void local_load_limit::set_agents(std::uint32_t agents, time_point now) {
    bucket_.set_limits({.rate = rate_of(agents), .burst = burst}, now);
}

bool local_load_limit::try_start(bool priority, time_point now) {
    bucket_.refill(now);
    if (running_ || (borrowed_ && bucket_.level() < 1)) {
        return false;
    }
    if (borrowed_) {
        borrowed_ = false;
        bucket_.put_back(-1);
    }
    if (bucket_.try_take(1)) {
        running_ = true;
    } else if (priority) {
        borrowed_ = true;
        running_ = true;
    }
    return running_;
}

void local_load_limit::done() {
    running_ = false;
}

duration local_load_limit::time_until(bool priority, time_point now) {
    bucket_.refill(now);
    const duration next = bucket_.time_until(1).value_or(duration::max());
    if (!borrowed_) {
        return priority ? duration::zero() : next;
    }
    const duration token_interval = duration{static_cast<duration::rep>(1e6 / bucket_.limits().rate)};
    return priority ? next : next + token_interval;
}

} // namespace samphiretray::control

#include "samphiretray/agent/prefill_rate_estimator.h"

#include <algorithm>
#include <cmath>

namespace samphiretray::agent {

void prefill_rate_estimator::reset() {
    // The configured rate weighs as much as `half_life_tokens` of observations.
    tokens_ = settings_.half_life_tokens;
    milliseconds_ = tokens_ / settings_.tokens_per_ms;
}

void prefill_rate_estimator::observe(std::uint32_t tokens, duration took) {
    if (tokens < settings_.min_tokens) {
        return;
    }
    const std::chrono::duration<double, std::milli> prefill_only =
        std::max<duration>(took - settings_.first_byte_time, 1ms);
    const double kept = std::exp2(-static_cast<double>(tokens) / settings_.half_life_tokens);
    tokens_ = tokens_ * kept + tokens;
    milliseconds_ = milliseconds_ * kept + prefill_only.count();
}

duration prefill_rate_estimator::prefill_time(std::uint64_t tokens) const {
    return duration{static_cast<duration::rep>(static_cast<double>(tokens) / tokens_per_ms() * 1000.0)};
}

duration prefill_rate_estimator::time_to_first_byte(std::uint64_t tokens) const {
    return prefill_time(tokens) + settings_.first_byte_time;
}

} // namespace samphiretray::agent

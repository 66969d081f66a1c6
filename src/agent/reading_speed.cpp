#include "samphiretray/agent/reading_speed.h"

#include <algorithm>
#include <cmath>

namespace samphiretray::agent {

void reading_speed::reset() {
    // The configured speed counts as much as one half life of observations.
    tokens_ = settings_.half_life_tokens;
    milliseconds_ = tokens_ / settings_.tokens_per_ms;
}

void reading_speed::observe(std::uint32_t tokens, duration took) {
    if (tokens < settings_.least_tokens) {
        return;
    }
    const std::chrono::duration<double, std::milli> reading =
        std::max<duration>(took - settings_.first_byte_time, 1ms);
    const double kept = std::exp2(-static_cast<double>(tokens) / settings_.half_life_tokens);
    tokens_ = tokens_ * kept + tokens;
    milliseconds_ = milliseconds_ * kept + reading.count();
}

duration reading_speed::time_for(std::uint64_t tokens) const {
    return duration{static_cast<duration::rep>(static_cast<double>(tokens) / tokens_per_ms() * 1000.0)};
}

duration reading_speed::time_to_first_byte(std::uint64_t tokens) const {
    return time_for(tokens) + settings_.first_byte_time;
}

} // namespace samphiretray::agent

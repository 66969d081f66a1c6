#include "samphiretray/rate/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace samphiretray::rate {

namespace {

constexpr double microseconds_per_second = 1e6;

// Upper bound of the reported wait. At a tiny rate, a longer one would overflow the conversion to `duration`.
constexpr double max_wait_seconds = 86'400;

} // namespace

token_bucket::token_bucket(bucket_limits limits, double level, time_point now)
    : limits_(limits), level_(level), refilled_at_(now) {}

void token_bucket::refill(time_point now, double outstanding) {
    if (now > refilled_at_) {
        const auto elapsed = static_cast<double>((now - refilled_at_).count());
        level_ += limits_.rate * elapsed / microseconds_per_second;
        refilled_at_ = now;
    }
    level_ = std::max(0.0, std::min(level_, limits_.burst - outstanding));
}

void token_bucket::set_limits(bucket_limits limits, time_point now, double outstanding) {
    refill(now, outstanding);
    limits_ = limits;
    refill(now, outstanding);
}

bool token_bucket::try_take(double tokens) {
    if (level_ < tokens) {
        return false;
    }
    level_ -= tokens;
    return true;
}

std::optional<duration> token_bucket::time_until(double tokens) const {
    if (tokens <= level_) {
        return duration::zero();
    }
    if (tokens > limits_.burst || limits_.rate <= 0) {
        return std::nullopt;
    }
    const double seconds = std::min((tokens - level_) / limits_.rate, max_wait_seconds);
    return duration{static_cast<duration::rep>(std::ceil(seconds * microseconds_per_second))};
}

} // namespace samphiretray::rate

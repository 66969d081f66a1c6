#pragma once

#include "samphiretray/base/time.h"

#include <optional>

namespace samphiretray::rate {

/// Rate and burst of a bucket, in tokens a second and tokens.
struct bucket_limits {
    double rate = 0;
    double burst = 0;
};

/// A token bucket whose level may be bounded below its burst by tokens that are given out but not yet spent.
class token_bucket {
public:
    token_bucket(bucket_limits limits, double level, time_point now);

    /// Adds the tokens of the time since the last call, then bounds the level to the burst less
    /// `outstanding`. A time before the last one adds nothing.
    void refill(time_point now, double outstanding = 0);
    /// Changes the limits; time until `now` counts at the old rate. The level never rises by this.
    void set_limits(bucket_limits limits, time_point now, double outstanding = 0);
    /// Takes `tokens` if they are there.
    [[nodiscard]] bool try_take(double tokens);
    /// Adds tokens that were taken and not spent; `refill` bounds them.
    void put_back(double tokens) { level_ += tokens; }

    [[nodiscard]] double level() const noexcept { return level_; }
    [[nodiscard]] const bucket_limits& limits() const noexcept { return limits_; }
    /// Time until the level reaches `tokens` if nothing is taken; nothing if it never does.
    [[nodiscard]] std::optional<duration> time_until(double tokens) const;

private:
    bucket_limits limits_;
    double level_;
    time_point refilled_at_;
};

} // namespace samphiretray::rate

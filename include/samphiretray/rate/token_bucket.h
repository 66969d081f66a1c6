#pragma once

#include "samphiretray/base/time.h"

#include <optional>

namespace samphiretray::rate {

/// Refill rate in tokens per second and capacity in tokens.
struct bucket_limits {
    double rate = 0;
    double burst = 0;
};

/// A token bucket whose level can be capped below its burst by the tokens that were granted but not yet
/// spent.
class token_bucket {
public:
    token_bucket(bucket_limits limits, double level, time_point now);

    /// Adds the tokens that have accrued since the last call, then caps the level at the burst less
    /// `outstanding`. Adds nothing if `now` is before the last call.
    void refill(time_point now, double outstanding = 0);
    /// Changes the limits. The time up to `now` is refilled at the old rate; the new limits never raise the
    /// level.
    void set_limits(bucket_limits limits, time_point now, double outstanding = 0);
    /// Takes `tokens` if the level covers them.
    [[nodiscard]] bool try_take(double tokens);
    /// Returns tokens that were taken and not spent; the next `refill` applies the cap.
    void put_back(double tokens) { level_ += tokens; }

    [[nodiscard]] double level() const noexcept { return level_; }
    [[nodiscard]] const bucket_limits& limits() const noexcept { return limits_; }
    /// Time until the level reaches `tokens` if nothing is taken; empty if it never does.
    [[nodiscard]] std::optional<duration> time_until(double tokens) const;

private:
    bucket_limits limits_;
    double level_;
    time_point refilled_at_;
};

} // namespace samphiretray::rate

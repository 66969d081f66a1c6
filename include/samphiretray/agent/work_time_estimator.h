#pragma once

#include "samphiretray/base/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>

namespace samphiretray::agent {

/// Estimates how long work takes at an engine, in percent of the usual, from the figures in its answers. They
/// change many times a second with what else the engine's machine does, so what counts for the choice of an
/// engine is their mean over some seconds.
class work_time_estimator {
public:
    /// Figures outside these bounds are ignored.
    static constexpr std::uint32_t min_percent = 5;
    static constexpr std::uint32_t max_percent = 5'000;
    /// Weight of a figure falls to a half after this time.
    static constexpr duration half_life = 5s;

    void observe(std::uint32_t percent, time_point now) {
        if (percent < min_percent || percent > max_percent) {
            return;
        }
        const std::chrono::duration<double> passed = now - observed_at_;
        const std::chrono::duration<double> half = half_life;
        // Figures that come at one moment are one observation.
        const double kept = mean_ ? std::exp2(-std::min(passed, 4 * half) / half) : 0.0;
        mean_ = mean_.value_or(percent) * kept + percent * (1 - kept);
        observed_at_ = now;
    }

    /// 0 if no figure has come.
    [[nodiscard]] std::uint32_t percent() const noexcept {
        return static_cast<std::uint32_t>(std::lround(mean_.value_or(0.0)));
    }
    void reset() noexcept { mean_.reset(); }

private:
    std::optional<double> mean_;
    time_point observed_at_;
};

} // namespace samphiretray::agent

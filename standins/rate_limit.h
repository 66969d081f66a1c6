#pragma once

#include "samphiretray/base/time.h"

#include <algorithm>

namespace samphiretray::standins {

/// A token bucket with a capacity of one second's calls. A limit of 0 admits every call.
class rate_limit {
public:
    explicit rate_limit(double per_second) : per_second_(per_second), level_(capacity()) {}

    /// Takes one token; returns false if there is none. `reserved` calls per second, for example those of
    /// pending watches, are subtracted from the limit.
    [[nodiscard]] bool admit(time_point now, double reserved = 0) {
        if (per_second_ <= 0) {
            return true;
        }
        refill(now, reserved);
        if (level_ < 1) {
            return false;
        }
        level_ -= 1;
        return true;
    }

private:
    [[nodiscard]] double capacity() const { return std::max(1.0, per_second_); }

    void refill(time_point now, double reserved) {
        const double seconds = std::chrono::duration<double>(now - last_).count();
        const double free_rate = std::max(0.0, per_second_ - reserved);
        level_ = std::min({level_ + seconds * free_rate, capacity(), std::max(1.0, free_rate)});
        last_ = now;
    }

    double per_second_;
    double level_;
    time_point last_{};
};

} // namespace samphiretray::standins

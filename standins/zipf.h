#pragma once

#include "standins/random_source.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace samphiretray::standins {

/// Zipf distribution over the ranks 0 to count - 1: rank r has a weight of 1 / (r + 1)^exponent.
class zipf_distribution {
public:
    /// Precondition: `count > 0`.
    zipf_distribution(std::size_t count, double exponent) {
        cumulative_.reserve(count);
        double sum = 0;
        for (std::size_t rank = 0; rank < count; ++rank) {
            sum += 1.0 / std::pow(static_cast<double>(rank + 1), exponent);
            cumulative_.push_back(sum);
        }
    }

    [[nodiscard]] std::size_t draw(random_source& random) const {
        const double position = random.uniform() * cumulative_.back();
        const auto found = std::ranges::upper_bound(cumulative_, position);
        return std::min(static_cast<std::size_t>(found - cumulative_.begin()), cumulative_.size() - 1);
    }

private:
    std::vector<double> cumulative_;
};

} // namespace samphiretray::standins

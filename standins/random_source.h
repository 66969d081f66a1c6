#pragma once

#include <cmath>
#include <cstdint>
#include <random>

namespace samphiretray::standins {

/// Seeded random numbers. Uses the generator without the distributions of the standard library, whose results
/// differ between implementations, so a seed gives the same numbers everywhere.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine_(seed) {}

    /// A number in [0, 1).
    [[nodiscard]] double uniform() { return static_cast<double>(engine_() >> 11U) * 0x1.0p-53; }
    /// A number in [0, bound). Precondition: `bound > 0`.
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
    /// True with the given probability.
    [[nodiscard]] bool chance(double probability) { return uniform() < probability; }
    /// An exponentially distributed number with the given mean.
    [[nodiscard]] double exponential(double mean) { return -std::log1p(-uniform()) * mean; }

private:
    std::mt19937_64 engine_;
};

} // namespace samphiretray::standins

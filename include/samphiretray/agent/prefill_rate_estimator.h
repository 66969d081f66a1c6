#pragma once

#include "samphiretray/base/time.h"

#include <cstdint>

namespace samphiretray::agent {

struct prefill_rate_settings {
    /// Initial estimate, until prefills have been observed: two thirds of the rate on the deployments' data
    /// sheets, since decode steps of running requests and attention over long prompts take the rest.
    double tokens_per_ms = 25.0;
    /// Time from the end of the prefill to the first byte of the answer, independent of the length of the
    /// prompt; from the deployments' data sheets.
    duration first_byte_time = 40ms;
    /// Shorter prompts are not observed, since fixed overhead dominates their time.
    std::uint32_t min_tokens = 1000;
    /// Number of tokens after which an observation has lost half of its weight: about ten long prompts.
    double half_life_tokens = 90'000;
};

/// Estimates an engine's prefill throughput from observed prefills, so that the estimates follow an engine
/// that has become slow.
class prefill_rate_estimator {
public:
    explicit prefill_rate_estimator(prefill_rate_settings settings) : settings_(settings) { reset(); }

    /// Records that the engine prefilled a prompt of `tokens` in `took`, measured up to the first byte of the
    /// answer and without other prompts' prefills.
    void observe(std::uint32_t tokens, duration took);
    /// Returns to the configured rate, for example after a restart of the engine.
    void reset();

    [[nodiscard]] double tokens_per_ms() const noexcept { return tokens_ / milliseconds_; }
    /// Expected time of the prefill alone.
    [[nodiscard]] duration prefill_time(std::uint64_t tokens) const;
    /// Expected time from the start of the prefill to the first byte of the answer.
    [[nodiscard]] duration time_to_first_byte(std::uint64_t tokens) const;

private:
    prefill_rate_settings settings_;
    double tokens_ = 0;
    double milliseconds_ = 1;
};

} // namespace samphiretray::agent

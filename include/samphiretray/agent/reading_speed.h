#pragma once

#include "samphiretray/base/time.h"

#include <cstdint>

namespace samphiretray::agent {

struct reading_speed_settings {
    /// Until prompts have been read: two thirds of the rate on the deployments' data sheets, since steps of
    /// running requests and attention over long prompts take the rest.
    double tokens_per_ms = 25.0;
    /// Time from the last read token to the first byte of the answer, whatever the length of the prompt; the
    /// figure on the data sheets.
    duration first_byte_time = 40ms;
    /// Shorter prompts say little: the fixed part of the time hides the rest.
    std::uint32_t least_tokens = 1000;
    /// Tokens after which an observation has lost half of its weight: about ten drafts.
    double half_life_tokens = 90'000;
};

/// Learns how fast an engine reads prompts, so that one that has turned slow is seen by its estimates.
class reading_speed {
public:
    explicit reading_speed(reading_speed_settings settings) : settings_(settings) { reset(); }

    /// The engine read a prompt of `tokens` alone in `took`, up to the first byte of its answer.
    void observe(std::uint32_t tokens, duration took);
    /// Back to the configured speed, as after a restart of the engine.
    void reset();

    [[nodiscard]] double tokens_per_ms() const noexcept { return tokens_ / milliseconds_; }
    /// Time for prompt tokens without the wait for the first byte.
    [[nodiscard]] duration time_for(std::uint64_t tokens) const;
    /// Time for prompt tokens until the first byte of the answer.
    [[nodiscard]] duration time_to_first_byte(std::uint64_t tokens) const;

private:
    reading_speed_settings settings_;
    double tokens_ = 0;
    double milliseconds_ = 1;
};

} // namespace samphiretray::agent

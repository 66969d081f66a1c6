#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

namespace samphiretray::routing {

/// When each of many keys was answered last, for one or two generations back. The older generation is dropped
/// when the newer one is full or old enough, so that callers who make up keys cannot make it grow.
class recent_answers {
public:
    recent_answers(std::size_t max_keys_per_generation, duration generation_time)
        : max_keys_(max_keys_per_generation), generation_time_(generation_time) {}

    void note(std::uint64_t key, time_point answered_at, time_point now);
    [[nodiscard]] std::optional<time_point> last(std::uint64_t key) const;

private:
    std::size_t max_keys_;
    duration generation_time_;
    std::unordered_map<std::uint64_t, time_point> newer_;
    std::unordered_map<std::uint64_t, time_point> older_;
    std::optional<time_point> generation_started_;
};

} // namespace samphiretray::routing

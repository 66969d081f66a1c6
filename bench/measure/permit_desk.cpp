#include "bench/measure/permit_desk.h"

#include <algorithm>

namespace samphiretray::measure {

namespace {

/// Rank per second of age; a waiting request counts 1.
const double rank_per_second = getenv("RPS") ? atof(getenv("RPS")) : 0.05;

} // namespace

permit_desk::permit_desk(double loads_per_second, std::uint32_t in_flight, time_point now)
    : rate_(loads_per_second), limit_(in_flight), refilled_(now) {}

void permit_desk::request(const std::string& holder, std::uint64_t round, bool priority,
                          std::uint32_t waiting, const platform::adapter_version& adapter, time_point now) {
    const auto known = std::ranges::find_if(
        waiting_, [&](const entry& each) { return each.holder == holder && each.adapter == adapter; });
    if (known != waiting_.end()) {
        known->round = round;
        known->waiting = waiting;
        known->priority = priority;
        return;
    }
    waiting_.push_back({holder, round, priority, waiting, adapter, now});
}

void permit_desk::cancel(const std::string& holder, std::uint64_t round) {
    std::erase_if(waiting_, [&](const entry& each) { return each.holder == holder && each.round == round; });
}

void permit_desk::done(const std::string&, std::uint64_t) {
    in_flight_ -= std::min(in_flight_, 1U);
}

duration permit_desk::time_to_next(time_point now) const {
    const bool priority = std::ranges::find(waiting_, true, &entry::priority) != waiting_.end();
    const std::chrono::duration<double> passed = now - refilled_;
    const double lacking = (priority ? 1.0 : 2.0) - level_ - rate_ * passed.count();
    const std::chrono::duration<double> time{std::max(0.0, lacking) / rate_};
    return std::chrono::duration_cast<duration>(time) + 1us;
}

std::vector<permit_desk::grant> permit_desk::take(time_point now) {
    const std::chrono::duration<double> passed = now - refilled_;
    level_ = std::min(2.0, level_ + rate_ * passed.count());
    refilled_ = now;
    const auto rank = [now](const entry& each) {
        return each.waiting + rank_per_second * std::chrono::duration<double>{now - each.since}.count();
    };
    std::vector<grant> grants;
    while (!waiting_.empty()) {
        const auto urgent = std::ranges::find(waiting_, true, &entry::priority);
        const bool priority = urgent != waiting_.end();
        const double kept = priority ? 0.0 : 1.0;
        const std::uint32_t limit = priority ? limit_ : limit_ - 1;
        if (level_ < 1.0 + kept || in_flight_ >= limit) {
            break;
        }
        const auto chosen = priority ? urgent : std::ranges::max_element(waiting_, {}, rank);
        grants.push_back({chosen->holder, chosen->round});
        waiting_.erase(chosen);
        level_ -= 1.0;
        ++in_flight_;
    }
    return grants;
}

} // namespace samphiretray::measure

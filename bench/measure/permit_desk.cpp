#include "bench/measure/permit_desk.h"

#include <algorithm>

namespace samphiretray::measure {

permit_desk::permit_desk(double loads_per_second, std::uint32_t in_flight, time_point now)
    : rate_(loads_per_second), limit_(in_flight), refilled_(now) {}

void permit_desk::request(const std::string& holder, std::uint64_t round, bool priority, std::uint32_t,
                          const platform::adapter_version&) {
    waiting_.push_back({holder, round, priority});
}

void permit_desk::cancel(const std::string& holder, std::uint64_t round) {
    std::erase_if(waiting_, [&](const entry& each) { return each.holder == holder && each.round == round; });
}

void permit_desk::done(const std::string&, std::uint64_t) {
    in_flight_ -= std::min(in_flight_, 1U);
}

std::vector<permit_desk::grant> permit_desk::take(time_point now) {
    const std::chrono::duration<double> passed = now - refilled_;
    level_ = std::min(2.0, level_ + rate_ * passed.count());
    refilled_ = now;
    std::vector<grant> grants;
    while (!waiting_.empty()) {
        const auto urgent = std::ranges::find(waiting_, true, &entry::priority);
        const bool priority = urgent != waiting_.end();
        const double kept = priority ? 0.0 : 1.0;
        const std::uint32_t limit = priority ? limit_ : limit_ - 1;
        if (level_ < 1.0 + kept || in_flight_ >= limit) {
            break;
        }
        const auto chosen = priority ? urgent : waiting_.begin();
        grants.push_back({chosen->holder, chosen->round});
        waiting_.erase(chosen);
        level_ -= 1.0;
        ++in_flight_;
    }
    return grants;
}

} // namespace samphiretray::measure

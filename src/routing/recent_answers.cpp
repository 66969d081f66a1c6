#include "samphiretray/routing/recent_answers.h"

#include <algorithm>
#include <utility>

namespace samphiretray::routing {

void recent_answers::note(std::uint64_t key, time_point answered_at, time_point now) {
    const bool is_full = newer_.size() >= max_keys_;
    if (is_full || now - generation_started_.value_or(now) > generation_time_) {
        older_ = std::exchange(newer_, {});
        generation_started_ = now;
    }
    generation_started_ = generation_started_.value_or(now);
    time_point& last = newer_[key];
    last = std::max(last, answered_at);
}

std::optional<time_point> recent_answers::last(std::uint64_t key) const {
    for (const auto* generation : {&newer_, &older_}) {
        if (const auto found = generation->find(key); found != generation->end()) {
            return found->second;
        }
    }
    return std::nullopt;
}

} // namespace samphiretray::routing

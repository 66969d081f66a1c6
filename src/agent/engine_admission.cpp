#include "samphiretray/agent/engine_admission.h"

#include <algorithm>

namespace samphiretray::agent {

void engine_admission::set_capacity(std::uint32_t batch, std::uint64_t memory_tokens) {
    batch_ = batch;
    memory_ = memory_tokens;
}

bool engine_admission::fits(const admission_request& request) const {
    if (running_.empty() || memory_ == 0) {
        return true;
    }
    const auto usable = static_cast<std::uint64_t>(static_cast<double>(memory_) * settings_.memory_part);
    const bool is_readable =
        unread_tokens_ == 0 || unread_tokens_ + request.unread_tokens <= settings_.unread_window;
    return is_readable && running_.size() < batch_ && reserved_ + request.memory_tokens <= usable;
}

duration engine_admission::reading_time(std::uint64_t tokens) const {
    const double milliseconds = static_cast<double>(tokens) / settings_.prefill_tokens_per_ms;
    return duration{static_cast<duration::rep>(milliseconds * 1000.0)};
}

duration engine_admission::expected_wait(const admission_request& request) const {
    std::uint64_t ahead = unread_tokens_;
    for (const admission_request& each : waiting_) {
        ahead += each.urgency <= request.urgency ? each.unread_tokens : 0;
    }
    const bool lacks_memory = !running_.empty() && memory_ > 0 && reserved_ + request.memory_tokens > memory_;
    return reading_time(ahead) + (lacks_memory ? settings_.memory_wait : 0ms);
}

bool engine_admission::enqueue(const admission_request& request) {
    if (waiting_.size() >= settings_.max_waiting) {
        return false;
    }
    const auto later = std::ranges::find_if(
        waiting_, [&request](const admission_request& each) { return each.urgency > request.urgency; });
    waiting_.insert(later, request);
    waiting_tokens_ += request.unread_tokens;
    return true;
}

std::optional<std::uint64_t> engine_admission::next(const predicate& runnable) {
    for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
        if (!runnable(each->id)) {
            continue;
        }
        if (!fits(*each)) {
            // Smaller requests behind it must not keep it from ever running.
            return std::nullopt;
        }
        const admission_request chosen = *each;
        waiting_.erase(each);
        waiting_tokens_ -= chosen.unread_tokens;
        unread_tokens_ += chosen.unread_tokens;
        reserved_ += chosen.memory_tokens;
        running_.emplace(chosen.id, chosen);
        return chosen.id;
    }
    return std::nullopt;
}

std::vector<std::uint64_t> engine_admission::expire(time_point now) {
    std::vector<std::uint64_t> late;
    for (const admission_request& each : waiting_) {
        if (each.deadline <= now) {
            late.push_back(each.id);
        }
    }
    std::ranges::for_each(late, [this](std::uint64_t id) { remove(id); });
    return late;
}

void engine_admission::read(std::uint64_t id) {
    if (const auto found = running_.find(id); found != running_.end()) {
        unread_tokens_ -= found->second.unread_tokens;
        found->second.unread_tokens = 0;
    }
}

void engine_admission::remove(std::uint64_t id) {
    read(id);
    if (const auto found = running_.find(id); found != running_.end()) {
        reserved_ -= found->second.memory_tokens;
        running_.erase(found);
        return;
    }
    const auto waiting = std::ranges::find(waiting_, id, &admission_request::id);
    if (waiting != waiting_.end()) {
        waiting_tokens_ -= waiting->unread_tokens;
        waiting_.erase(waiting);
    }
}

} // namespace samphiretray::agent

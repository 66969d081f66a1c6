#include "samphiretray/agent/engine_admission.h"

#include <algorithm>

namespace samphiretray::agent {

void engine_admission::set_capacity(std::uint32_t batch, std::uint64_t memory_tokens) {
    batch_capacity_ = batch;
    memory_capacity_ = memory_tokens;
}

bool engine_admission::fits(const admission_request& request) const {
    if (running_.empty() || memory_capacity_ == 0) {
        return true;
    }
    const auto usable =
        static_cast<std::uint64_t>(static_cast<double>(memory_capacity_) * settings_.memory_fraction);
    const bool prefill_fits =
        pending_prefill_tokens_ == 0 ||
        pending_prefill_tokens_ + request.prefill_tokens <= settings_.max_pending_prefill_tokens;
    return prefill_fits && running_.size() < batch_capacity_ &&
           reserved_memory_ + request.memory_tokens <= usable;
}

service_rank engine_admission::rank(const admission_request& request, duration preparation,
                                    time_point now) const {
    const time_point first_byte_at =
        now + preparation + prefill_rate_.time_to_first_byte(request.prefill_tokens);
    const bool late = first_byte_at > request.first_byte_deadline;
    return {late, request.urgency, late ? request.deadline : request.first_byte_deadline};
}

duration engine_admission::expected_wait(const admission_request& request, time_point now) const {
    const service_rank own = rank(request, 0ms, now);
    std::uint64_t tokens_ahead = pending_prefill_tokens_;
    std::size_t late_ahead = 0;
    for (const admission_request& each : waiting_) {
        if (const service_rank other = rank(each, 0ms, now); other <= own) {
            tokens_ahead += each.prefill_tokens;
            late_ahead += other.late && each.needs_load == request.needs_load ? 1 : 0;
        }
    }
    if (own.late) {
        const std::chrono::duration<double> late_wait{static_cast<double>(late_ahead) /
                                                      late_rate(request.needs_load, now)};
        return std::max(prefill_rate_.prefill_time(tokens_ahead),
                        std::chrono::duration_cast<duration>(late_wait));
    }
    const bool lacks_memory = !running_.empty() && memory_capacity_ > 0 &&
                              reserved_memory_ + request.memory_tokens > memory_capacity_;
    return prefill_rate_.prefill_time(tokens_ahead) + (lacks_memory ? settings_.memory_wait : 0ms);
}

bool engine_admission::enqueue(const admission_request& request) {
    if (waiting_.size() >= settings_.max_waiting) {
        return false;
    }
    waiting_.push_back(request);
    waiting_prefill_tokens_ += request.prefill_tokens;
    return true;
}

std::optional<std::uint64_t> engine_admission::next(const predicate& runnable, time_point now) {
    auto best = waiting_.end();
    service_rank best_rank;
    for (auto each = waiting_.begin(); each != waiting_.end(); ++each) {
        const service_rank rank = this->rank(*each, 0ms, now);
        if ((best == waiting_.end() || rank < best_rank) && runnable(each->id)) {
            best = each;
            best_rank = rank;
        }
    }
    // Requests behind the best one are not tried: smaller ones could keep a large one from ever running.
    if (best == waiting_.end() || !fits(*best)) {
        return std::nullopt;
    }
    const admission_request chosen = *best;
    if (best_rank.late) {
        auto& starts = late_starts_.at(chosen.needs_load ? 1 : 0);
        std::erase_if(starts, [&](time_point each) { return now - each >= settings_.late_rate_window; });
        starts.push_back(now);
    }
    waiting_.erase(best);
    waiting_prefill_tokens_ -= chosen.prefill_tokens;
    pending_prefill_tokens_ += chosen.prefill_tokens;
    reserved_memory_ += chosen.memory_tokens;
    running_.emplace(chosen.id, running_request{chosen, now});
    return chosen.id;
}

double engine_admission::late_rate(bool needs_load, time_point now) const {
    const auto& starts = late_starts_.at(needs_load ? 1 : 0);
    const auto recent = std::ranges::count_if(
        starts, [&](time_point each) { return now - each < settings_.late_rate_window; });
    const std::chrono::duration<double> window = settings_.late_rate_window;
    return std::max(static_cast<double>(recent) / window.count(), settings_.min_late_rate);
}

std::vector<std::uint64_t> engine_admission::expected_to_expire(time_point now) const {
    std::vector<const admission_request*> late;
    for (const admission_request& each : waiting_) {
        if (rank(each, 0ms, now).late) {
            late.push_back(&each);
        }
    }
    std::ranges::stable_sort(late, {}, &admission_request::deadline);
    std::array<double, 2> ahead{};
    std::vector<std::uint64_t> ids;
    for (const admission_request* each : late) {
        double& started_earlier = ahead.at(each->needs_load ? 1 : 0);
        const std::chrono::duration<double> late_wait{started_earlier / late_rate(each->needs_load, now)};
        const duration wait = std::chrono::duration_cast<duration>(late_wait);
        if (now + wait + prefill_rate_.time_to_first_byte(each->prefill_tokens) > each->deadline) {
            ids.push_back(each->id);
        } else {
            ++started_earlier;
        }
    }
    return ids;
}

std::vector<std::uint64_t> engine_admission::expire(time_point now) {
    std::vector<std::uint64_t> expired;
    for (const admission_request& each : waiting_) {
        if (each.deadline <= now) {
            expired.push_back(each.id);
        }
    }
    std::ranges::for_each(expired, [this](std::uint64_t id) { remove(id); });
    return expired;
}

void engine_admission::set_needs_load(std::uint64_t id, bool needs_load) {
    const auto waiting = std::ranges::find(waiting_, id, &admission_request::id);
    if (waiting != waiting_.end()) {
        waiting->needs_load = needs_load;
    }
}

void engine_admission::clear_prefill(admission_request& request) {
    pending_prefill_tokens_ -= request.prefill_tokens;
    request.prefill_tokens = 0;
}

void engine_admission::on_prefill_done(std::uint64_t id, time_point now) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    running_request& finished = found->second;
    prefill_rate_.observe(finished.request.prefill_tokens,
                          now - std::max(finished.started, last_prefill_end_));
    last_prefill_end_ = now;
    clear_prefill(finished.request);
}

void engine_admission::remove(std::uint64_t id) {
    if (const auto found = running_.find(id); found != running_.end()) {
        clear_prefill(found->second.request);
        reserved_memory_ -= found->second.request.memory_tokens;
        running_.erase(found);
        return;
    }
    const auto waiting = std::ranges::find(waiting_, id, &admission_request::id);
    if (waiting != waiting_.end()) {
        waiting_prefill_tokens_ -= waiting->prefill_tokens;
        waiting_.erase(waiting);
    }
}

} // namespace samphiretray::agent

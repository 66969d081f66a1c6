#include "samphiretray/net/buffer_budget.h"

#include <algorithm>

namespace samphiretray::net {

namespace {

/// Bytes that count as progress of a connection. The smallest bodies are complete before they reach it.
constexpr std::size_t progress_bytes = 4096;

/// Closed first is what holds most bytes for the longest time.
double closing_priority(const buffer_account& account, time_point now) {
    const auto idle = std::max<duration>(account.idle_time(now), 1ms);
    return static_cast<double>(account.bytes()) * static_cast<double>(idle.count());
}

} // namespace

buffer_limits buffer_limits_of(std::uint32_t memory_mb) noexcept {
    const std::size_t memory = std::size_t{memory_mb} << 20U;
    return {.max_bytes = memory / 8 * 3, .reserved_bytes = memory / 8};
}

buffer_account::buffer_account(std::shared_ptr<buffer_budget> budget, void* owner, time_point now)
    : budget_(std::move(budget)), owner_(owner), index_(budget_->accounts_.size()), last_progress_(now) {
    budget_->accounts_.push_back(this);
}

buffer_account::~buffer_account() {
    set(0, buffer_use::receiving);
    std::vector<buffer_account*>& accounts = budget_->accounts_;
    accounts[index_] = accounts.back();
    accounts[index_]->index_ = index_;
    accounts.pop_back();
}

void buffer_account::set(std::size_t bytes, buffer_use use) noexcept {
    budget_->large_waiting_ -= budget_->is_large_request(*this) ? 1 : 0;
    budget_->held_ += bytes;
    budget_->held_ -= bytes_;
    bytes_ = bytes;
    use_ = use;
    budget_->large_waiting_ += budget_->is_large_request(*this) ? 1 : 0;
}

const buffer_limits& buffer_account::limits() const noexcept {
    return budget_->limits_;
}

void buffer_account::note_moved(std::size_t bytes, time_point now) noexcept {
    moved_ += bytes;
    if (moved_ >= progress_bytes) {
        restart_progress(now);
    }
}

const buffer_account* choose_displaced(std::span<const displacement_candidate> candidates, time_point now) {
    enum class loss { nothing, unfinished_request, unread_answer };
    const buffer_account* chosen = nullptr;
    std::pair<loss, duration> best;
    for (const displacement_candidate& each : candidates) {
        const duration unmoved = each.is_idle ? now - each.idle_since : each.account->idle_time(now);
        const bool has_stalled = each.unsent_bytes > 0 && unmoved >= stalled_reader_time;
        if (each.active_requests > 0 && !has_stalled) {
            continue;
        }
        const loss lost = each.active_requests > 0 ? loss::unread_answer
                          : each.is_idle           ? loss::nothing
                                                   : loss::unfinished_request;
        // Pairs are compared by loss first; the longer time without progress comes first.
        const std::pair rank{lost, -unmoved};
        if (chosen == nullptr || rank < best) {
            chosen = each.account;
            best = rank;
        }
    }
    return chosen;
}

bool buffer_budget::admits(const buffer_account& account, std::size_t more) const noexcept {
    const std::size_t total = held_ + more;
    if (account.bytes_ + more <= limits_.small_bytes) {
        return total <= limits_.max_bytes + limits_.reserved_bytes;
    }
    const std::size_t others = large_waiting_ - (is_large_request(account) ? 1 : 0);
    return total <= limits_.max_bytes || others == 0;
}

const buffer_account* buffer_budget::victim(std::size_t needed, time_point now) const {
    const std::size_t total = held_ + needed;
    if (total <= limits_.max_bytes) {
        return nullptr;
    }
    const bool is_reserve_used = total > limits_.max_bytes + limits_.reserved_bytes;
    const std::size_t least = is_reserve_used ? 1 : limits_.small_bytes + 1;
    const buffer_account* chosen = nullptr;
    double highest = 0;
    for (const buffer_account* each : accounts_) {
        const bool may_close =
            each->owner_ != nullptr && each->use_ != buffer_use::waiting && each->bytes_ >= least;
        const double priority = may_close ? closing_priority(*each, now) : 0;
        if (priority > highest) {
            chosen = each;
            highest = priority;
        }
    }
    return chosen;
}

} // namespace samphiretray::net

#include "samphiretray/orders/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace samphiretray::orders {

namespace {

// One failed call may be a lost packet; after the second one in a row the service counts as down.
constexpr int failures_until_refusal = 2;

/// True if the service certainly did not do what was asked.
bool certainly_not_done(errc reason) {
    return reason == errc::conflict || reason == errc::unavailable || reason == errc::connection_failed;
}

errc code_of(const error& failure) {
    return static_cast<errc>(failure.code.value());
}

} // namespace

claim_batcher::claim_batcher(std::uint32_t shard, ledger_limits limits, claim_batcher_options options)
    : key_(claims_key(shard)), limits_(limits), options_(options), ledger_(limits) {}

void claim_batcher::claim_call(claim_request asked, time_point now) {
    waiting_claim waiting{.asked = std::move(asked), .since = now};
    if (claims_.size() >= options_.max_waiting) {
        answer(waiting, claim_result::not_recorded, errc::overloaded);
        return;
    }
    claims_.push_back(std::move(waiting));
}

void claim_batcher::record_done(std::string key, std::string request, outcome answer, time_point now) {
    outcomes_.push_back({std::move(key), std::move(request), std::move(answer), now});
}

void claim_batcher::record_not_run(std::string key, std::string request, time_point now) {
    outcomes_.push_back({std::move(key), std::move(request), std::nullopt, now});
}

time_point claim_batcher::write_at() const {
    time_point at = time_point::max();
    if (!claims_.empty()) {
        at = claims_.front().since + options_.collect;
    }
    if (!outcomes_.empty()) {
        const duration delay = flushing_ ? duration::zero() : options_.outcome_delay;
        at = std::min(at, outcomes_.front().since + delay);
    }
    return at;
}

std::optional<claims_call> claim_batcher::next_call(time_point now, std::int64_t now_seconds) {
    if (pending_call_ || now < retry_at_) {
        return std::nullopt;
    }
    if (write_) {
        return must_read_ ? start_read() : start_write();
    }
    if (now < write_at()) {
        return std::nullopt;
    }
    if (must_read_ || read_at_ + options_.cache_age < now) {
        return start_read();
    }
    return merge(now_seconds);
}

claims_call claim_batcher::start_read() {
    pending_call_ = ++last_call_;
    return read_claims{.call = last_call_, .key = key_};
}

claims_call claim_batcher::start_write() {
    pending_call_ = ++last_call_;
    return write_claims{.call = last_call_, .swap = write_->swap};
}

/// Brings the waiting outcomes and claims into the ledger, and starts the write if that changed it.
std::optional<claims_call> claim_batcher::merge(std::int64_t now_seconds) {
    ledger_.drop_expired(now_seconds);
    const bool recorded = merge_outcomes();
    const bool claimed = merge_claims(now_seconds);
    if (!recorded && !claimed) {
        outcomes_.clear();
        return std::nullopt;
    }
    ports::swap_request swap{
        .key = key_, .value = ledger_.format(), .expected = revision_, .lease = std::nullopt};
    write_ = pending_write{.swap = std::move(swap), .outcomes = outcomes_.size()};
    return start_write();
}

bool claim_batcher::merge_outcomes() {
    bool changed = false;
    for (const waiting_outcome& each : outcomes_) {
        const bool set = each.answer ? ledger_.set_done(each.key, each.request, *each.answer)
                                     : ledger_.set_not_run(each.key, each.request);
        changed = changed || set;
    }
    return changed;
}

bool claim_batcher::merge_claims(std::int64_t now_seconds) {
    bool changed = false;
    std::erase_if(claims_, [&](waiting_claim& each) {
        const auto found = ledger_.find(each.asked.key);
        if (found && answer_from(*found, each)) {
            return true;
        }
        const bool added = ledger_.add({.key = each.asked.key,
                                        .content = each.asked.content,
                                        .request = each.asked.request,
                                        .claimed_at = now_seconds,
                                        .state = claim_state::claimed,
                                        .answer = {}});
        if (!added) {
            answer(each, claim_result::not_recorded, errc::too_large);
            return true;
        }
        each.in_write = true;
        changed = true;
        return false;
    });
    return changed;
}

/// Answers a claim whose key has one in the ledger. Returns false if the claim may take it over.
bool claim_batcher::answer_from(const claim& found, const waiting_claim& asked) {
    if (found.state == claim_state::not_run) {
        return false;
    }
    if (found.request == asked.asked.request) {
        // The write that made this claim took effect although its answer was lost.
        answer(asked, claim_result::claimed);
    } else if (found.content != asked.asked.content) {
        answer(asked, claim_result::mismatch);
    } else if (found.state == claim_state::claimed) {
        answer(asked, claim_result::held);
    } else {
        answer(asked, claim_result::finished);
        answers_.back().answer = found.answer;
    }
    return true;
}

void claim_batcher::answer(const waiting_claim& asked, claim_result result, errc reason) {
    answers_.push_back({.request = asked.asked.request, .result = result, .answer = {}, .reason = reason});
}

void claim_batcher::on_read(std::uint64_t call, const result<ports::versioned_value>& answer,
                            time_point now) {
    if (pending_call_ != call) {
        return;
    }
    pending_call_.reset();
    if (!answer) {
        on_failure(code_of(answer.error()), now);
        return;
    }
    const bool unresolved = write_ && answer->revision == write_->swap.expected;
    if (unresolved) {
        // An earlier attempt may still arrive, so only the same write may follow.
        must_read_ = false;
        return;
    }
    if (!adopt(answer->value)) {
        on_failure(errc::protocol_error, now);
        return;
    }
    drop_write();
    succeed(answer->revision, now);
}

bool claim_batcher::adopt(const std::string& text) {
    auto parsed = claim_ledger::parse(text, limits_);
    if (parsed) {
        ledger_ = std::move(parsed.value());
    }
    return parsed.has_value();
}

void claim_batcher::on_written(std::uint64_t call, const result<std::uint64_t>& answer, time_point now) {
    if (pending_call_ != call) {
        return;
    }
    pending_call_.reset();
    if (answer) {
        confirm_write();
        succeed(*answer, now);
        return;
    }
    must_read_ = true;
    const errc reason = code_of(answer.error());
    if (!certainly_not_done(reason)) {
        write_->perhaps_done = true;
    } else if (!write_->perhaps_done) {
        drop_write();
    }
    if (reason != errc::conflict) {
        on_failure(reason, now);
    }
}

void claim_batcher::succeed(std::uint64_t revision, time_point now) {
    revision_ = revision;
    read_at_ = now;
    must_read_ = false;
    failures_ = 0;
    backoff_ = duration::zero();
}

/// The write's effect is known or impossible; its claims and outcomes are merged again.
void claim_batcher::drop_write() {
    write_.reset();
    for (waiting_claim& each : claims_) {
        each.in_write = false;
    }
}

void claim_batcher::confirm_write() {
    std::erase_if(claims_, [this](const waiting_claim& each) {
        if (each.in_write) {
            answer(each, claim_result::claimed);
        }
        return each.in_write;
    });
    outcomes_.erase(outcomes_.begin(), outcomes_.begin() + static_cast<std::ptrdiff_t>(write_->outcomes));
    write_.reset();
}

void claim_batcher::on_failure(errc reason, time_point now) {
    last_failure_ = reason;
    must_read_ = true;
    backoff_ = std::clamp(backoff_ * 2, options_.retry, options_.max_retry);
    retry_at_ = now + backoff_;
    if (++failures_ >= failures_until_refusal) {
        std::erase_if(claims_, [&](const waiting_claim& each) {
            if (!each.in_write) {
                answer(each, claim_result::not_recorded, reason);
            }
            return !each.in_write;
        });
    }
}

std::vector<claim_answer> claim_batcher::take_answers(time_point now) {
    std::erase_if(claims_, [&](const waiting_claim& each) {
        if (each.asked.deadline > now) {
            return false;
        }
        answer(each, each.in_write ? claim_result::perhaps_recorded : claim_result::not_recorded,
               last_failure_);
        if (each.in_write) {
            record_not_run(each.asked.key, each.asked.request, now);
        }
        return true;
    });
    return std::exchange(answers_, {});
}

std::optional<time_point> claim_batcher::wake_at() const {
    time_point wake = time_point::max();
    for (const waiting_claim& each : claims_) {
        wake = std::min(wake, each.asked.deadline);
    }
    if (!pending_call_) {
        wake = std::min(wake, std::max(retry_at_, write_ ? retry_at_ : write_at()));
    }
    return wake == time_point::max() ? std::nullopt : std::optional{wake};
}

bool claim_batcher::idle() const noexcept {
    return claims_.empty() && outcomes_.empty() && !write_;
}

} // namespace samphiretray::orders

#include "samphiretray/orders/claim_batcher.h"

#include <algorithm>
#include <utility>

namespace samphiretray::orders {

namespace {

// A single failed call may be a lost packet; after two consecutive ones the service counts as down.
constexpr int failures_until_refusal = 2;

/// True if a write that failed with this error certainly had no effect.
bool certainly_not_applied(errc reason) {
    return reason == errc::conflict || reason == errc::unavailable || reason == errc::connection_failed;
}

errc code_of(const error& failure) {
    return static_cast<errc>(failure.code.value());
}

} // namespace

claim_batcher::claim_batcher(std::uint32_t shard, ledger_limits limits, claim_batcher_options options)
    : key_(shard_key(shard)), limits_(limits), options_(options), ledger_(limits) {}

void claim_batcher::request_claim(claim_request requested, time_point now) {
    waiting_claim waiting{.requested = std::move(requested), .since = now};
    if (claims_.size() >= options_.max_waiting_claims) {
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

time_point claim_batcher::next_write_at() const {
    time_point at = time_point::max();
    if (!claims_.empty()) {
        at = claims_.front().since + options_.batching_delay;
    }
    if (!outcomes_.empty()) {
        const duration delay = flushing_ ? duration::zero() : options_.max_outcome_delay;
        at = std::min(at, outcomes_.front().since + delay);
    }
    return at;
}

std::optional<kv_call> claim_batcher::next_call(time_point now, std::int64_t now_seconds) {
    if (pending_call_ || now < retry_at_) {
        return std::nullopt;
    }
    if (write_) {
        return must_read_ ? start_read() : start_write();
    }
    if (now < next_write_at()) {
        return std::nullopt;
    }
    if (must_read_ || current_at_ + options_.max_cache_age < now) {
        return start_read();
    }
    return merge(now_seconds);
}

kv_call claim_batcher::start_read() {
    pending_call_ = ++last_call_id_;
    return read_claims{.call = last_call_id_, .key = key_};
}

kv_call claim_batcher::start_write() {
    pending_call_ = ++last_call_id_;
    return write_claims{.call = last_call_id_, .swap = write_->swap};
}

/// Merges the waiting outcomes and claims into the ledger, and starts a write if that changed it.
std::optional<kv_call> claim_batcher::merge(std::int64_t now_seconds) {
    ledger_.drop_expired(now_seconds);
    const bool recorded = merge_outcomes();
    const bool claimed = merge_claims(now_seconds);
    if (!recorded && !claimed) {
        outcomes_.clear();
        return std::nullopt;
    }
    ports::swap_request swap{
        .key = key_, .value = ledger_.format(), .expected_revision = revision_, .lease = std::nullopt};
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
        const auto found = ledger_.find(each.requested.key);
        if (found && answer_from_existing(*found, each)) {
            return true;
        }
        const bool added = ledger_.add({.key = each.requested.key,
                                        .content_digest = each.requested.content_digest,
                                        .request_id = each.requested.request_id,
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

/// Answers a request for a claim whose key already has one, `found`, in the ledger. Returns false if the
/// request may take it over.
bool claim_batcher::answer_from_existing(const claim& found, const waiting_claim& waiting) {
    if (found.state == claim_state::not_run) {
        return false;
    }
    if (found.request_id == waiting.requested.request_id) {
        // The write with this claim took effect, but its answer was lost.
        answer(waiting, claim_result::claimed);
    } else if (found.content_digest != waiting.requested.content_digest) {
        answer(waiting, claim_result::mismatch);
    } else if (found.state == claim_state::claimed) {
        answer(waiting, claim_result::held);
    } else {
        answer(waiting, claim_result::finished);
        answers_.back().answer = found.answer;
    }
    return true;
}

void claim_batcher::answer(const waiting_claim& waiting, claim_result result, errc reason) {
    answers_.push_back(
        {.request_id = waiting.requested.request_id, .result = result, .answer = {}, .reason = reason});
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
    const bool unresolved = write_ && answer->revision == write_->swap.expected_revision;
    if (unresolved) {
        // An earlier attempt of the write may still reach the service, so only the same write may follow.
        must_read_ = false;
        return;
    }
    if (!replace_ledger(answer->value)) {
        on_failure(errc::protocol_error, now);
        return;
    }
    discard_write();
    on_success(answer->revision, now);
}

bool claim_batcher::replace_ledger(const std::string& text) {
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
        on_success(*answer, now);
        return;
    }
    must_read_ = true;
    const errc reason = code_of(answer.error());
    if (!certainly_not_applied(reason)) {
        write_->perhaps_applied = true;
    } else if (!write_->perhaps_applied) {
        discard_write();
    }
    if (reason != errc::conflict) {
        on_failure(reason, now);
    }
}

void claim_batcher::on_success(std::uint64_t revision, time_point now) {
    revision_ = revision;
    current_at_ = now;
    must_read_ = false;
    consecutive_failures_ = 0;
    backoff_ = duration::zero();
}

/// Called once the write has either taken effect or cannot do so any more. Its claims and outcomes are merged
/// again.
void claim_batcher::discard_write() {
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
    backoff_ = std::clamp(backoff_ * 2, options_.initial_retry_delay, options_.max_retry_delay);
    retry_at_ = now + backoff_;
    if (++consecutive_failures_ >= failures_until_refusal) {
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
        if (each.requested.deadline > now) {
            return false;
        }
        answer(each, each.in_write ? claim_result::perhaps_recorded : claim_result::not_recorded,
               last_failure_);
        if (each.in_write) {
            record_not_run(each.requested.key, each.requested.request_id, now);
        }
        return true;
    });
    return std::exchange(answers_, {});
}

std::optional<time_point> claim_batcher::wake_at() const {
    time_point wake = time_point::max();
    for (const waiting_claim& each : claims_) {
        wake = std::min(wake, each.requested.deadline);
    }
    if (!pending_call_) {
        wake = std::min(wake, std::max(retry_at_, write_ ? retry_at_ : next_write_at()));
    }
    return wake == time_point::max() ? std::nullopt : std::optional{wake};
}

bool claim_batcher::idle() const noexcept {
    return claims_.empty() && outcomes_.empty() && !write_;
}

} // namespace samphiretray::orders

#include "samphiretray/rate/grant_holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace samphiretray::rate {

namespace {

// Time constant of the exponentially weighted moving average of the demand.
constexpr double demand_time_constant_seconds = 2.0;
// Weight of a new reservation in the moving average of reservation sizes.
constexpr double reservation_size_weight = 0.1;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

grant_holder::grant_holder(std::string organisation, grant_holder_options options, std::uint64_t last_round)
    : organisation_(std::move(organisation)), options_(options), round_(last_round) {}

void grant_holder::expire_grants(time_point now) {
    if (now >= expires_) {
        available_ = 0;
    }
    while (!refundable_.empty() && (refundable_.front().until <= now || now >= expires_)) {
        end_refund(refundable_.front().id);
        refundable_.pop_front();
    }
}

void grant_holder::end_refund(std::uint64_t id) {
    const auto found = granted_.find(id);
    if (found != granted_.end() && found->second.refundable) {
        found->second.refundable = false;
        refundable_tokens_ -= found->second.bound;
    }
}

void grant_holder::record_reservation(std::uint64_t tokens, time_point now) {
    // A reservation enters the average only with the next one. Most requests to the issuer directly follow a
    // reservation, and an average that already included it would be too high in each of them.
    demand_ += last_reservation_size_ / demand_time_constant_seconds;
    decay_demand(now);
    const auto size = static_cast<double>(tokens);
    last_reservation_size_ = size;
    mean_reservation_size_ =
        mean_reservation_size_ == 0
            ? size
            : mean_reservation_size_ + reservation_size_weight * (size - mean_reservation_size_);
}

void grant_holder::decay_demand(time_point now) {
    if (now > demand_at_) {
        demand_ *= std::exp(-to_seconds(now - demand_at_) / demand_time_constant_seconds);
        demand_at_ = now;
    }
}

double grant_holder::demand(time_point now) {
    decay_demand(now);
    return demand_;
}

reserve_result grant_holder::reserve(std::uint64_t id, std::uint64_t bound, time_point deadline,
                                     time_point now) {
    expire_grants(now);
    if (stopped_ || deadline <= now || waiting_.size() >= options_.max_waiting) {
        return reserve_result::refused;
    }
    record_reservation(bound, now);
    if (waiting_.empty() && debt_ == 0 && bound <= available_) {
        grant(id, bound, now);
        return reserve_result::granted;
    }
    if (waiting_.empty() && !peer_is_not_issuer_) {
        next_request_at_ = now;
    }
    waiting_.push_back({.id = id, .bound = bound, .deadline = deadline});
    waiting_tokens_ += bound;
    earliest_deadline_ = std::min(earliest_deadline_, deadline);
    return reserve_result::waiting;
}

void grant_holder::grant(std::uint64_t id, std::uint64_t bound, time_point now) {
    available_ -= bound;
    refundable_tokens_ += bound;
    granted_.insert_or_assign(id, granted_reservation{.bound = bound, .refundable = true});
    refundable_.push_back({.id = id, .until = now + validity_});
}

void grant_holder::settle(std::uint64_t id, std::uint64_t used, time_point now) {
    expire_grants(now);
    const auto found = granted_.find(id);
    if (found == granted_.end()) {
        return;
    }
    const std::uint64_t bound = found->second.bound;
    if (found->second.refundable) {
        refundable_tokens_ -= bound;
        available_ += bound - std::min(bound, used);
    }
    debt_ += used - std::min(bound, used);
    granted_.erase(found);
    pay_debt();
    serve_waiting(now);
}

void grant_holder::cancel_waiting(std::uint64_t id) {
    const auto found = std::ranges::find(waiting_, id, &waiting_reservation::id);
    if (found != waiting_.end()) {
        waiting_tokens_ -= found->bound;
        waiting_.erase(found);
    }
}

void grant_holder::pay_debt() {
    const std::uint64_t paid = std::min(debt_, available_);
    debt_ -= paid;
    available_ -= paid;
}

void grant_holder::serve_waiting(time_point now) {
    while (!waiting_.empty() && debt_ == 0 && waiting_.front().bound <= available_) {
        const waiting_reservation first = waiting_.front();
        waiting_.pop_front();
        waiting_tokens_ -= first.bound;
        const bool in_time = first.deadline > now;
        decisions_.push_back({.id = first.id, .granted = in_time});
        if (in_time) {
            grant(first.id, first.bound, now);
        }
    }
}

std::uint64_t grant_holder::buffer_tokens(duration span) const {
    // A buffer smaller than one reservation serves none, so holders with little demand keep no buffer and
    // request tokens for each reservation.
    if (demand_ * to_seconds(options_.target) < mean_reservation_size_) {
        return 0;
    }
    return static_cast<std::uint64_t>(demand_ * to_seconds(span));
}

bool grant_holder::request_due(time_point now) const {
    if (in_flight_ || stopped_ || now < next_request_at_) {
        return false;
    }
    const bool has_shortfall = !waiting_.empty() || debt_ > 0;
    const bool low = available_ < buffer_tokens(options_.low_watermark);
    const bool expiring = available_ > 0 && now >= renew_at();
    return has_shortfall || low || expiring;
}

time_point grant_holder::renew_at() const {
    return expires_ - validity_ / 2;
}

std::optional<wire::grant_request> grant_holder::next_request(time_point now) {
    expire_grants(now);
    decay_demand(now);
    if (in_flight_ && now >= in_flight_->sent + options_.reply_timeout) {
        in_flight_.reset();
    }
    if (!request_due(now)) {
        return std::nullopt;
    }
    return make_request(now);
}

wire::grant_request grant_holder::make_request(time_point now) {
    const std::uint64_t target = stopped_ ? 0 : buffer_tokens(options_.target);
    const std::uint64_t wanted = stopped_ ? 0 : debt_ + waiting_tokens_ + target;
    wire::grant_request request;
    request.round = ++round_;
    request.organisation = organisation_;
    request.demand = static_cast<std::uint64_t>(std::llround(demand_));
    request.returned = surplus(wanted, target);
    available_ -= request.returned;
    request.tokens = wanted - std::min(wanted, available_);
    request.held = available_ + refundable_tokens_;
    if (!waiting_.empty() && !stopped_) {
        request.least = debt_ + waiting_.front().bound - available_;
    }
    in_flight_ = in_flight_request{.round = round_, .sent = now};
    return request;
}

std::uint64_t grant_holder::surplus(std::uint64_t wanted, std::uint64_t target) const {
    // Keeps nothing back: several holders that each keep less than one reservation needs could together hold
    // the whole burst, so that none of them could grant one.
    if (!waiting_.empty() && last_reply_empty_) {
        return available_;
    }
    const std::uint64_t kept = wanted + target;
    return available_ > kept ? available_ - wanted : 0;
}

void grant_holder::on_reply(const wire::grant_reply& reply, time_point now) {
    if (!in_flight_ || in_flight_->round != reply.round) {
        return;
    }
    expire_grants(now);
    const time_point valid_until = in_flight_->sent + std::chrono::milliseconds{reply.valid_ms};
    in_flight_.reset();
    retry_after_ = std::chrono::milliseconds{reply.retry_after_ms};
    peer_is_not_issuer_ = !reply.issuer;
    if (reply.issuer && valid_until > now) {
        expires_ = std::max(expires_, valid_until);
        validity_ = std::chrono::milliseconds{reply.valid_ms};
        available_ += reply.tokens;
    }
    pay_debt();
    serve_waiting(now);
    last_reply_empty_ = reply.tokens == 0;
    if (last_reply_empty_) {
        next_request_at_ =
            now + std::clamp(retry_after_, options_.retry_interval, options_.max_retry_interval);
    }
}

void grant_holder::on_send_failed(std::uint64_t round, time_point now) {
    if (in_flight_ && in_flight_->round == round) {
        in_flight_.reset();
        next_request_at_ = now + options_.retry_interval;
    }
}

std::optional<wire::grant_request> grant_holder::return_all(time_point now) {
    expire_grants(now);
    stopped_ = true;
    for (const waiting_reservation& each : std::exchange(waiting_, {})) {
        decisions_.push_back({.id = each.id, .granted = false});
    }
    waiting_tokens_ = 0;
    if (available_ == 0) {
        return std::nullopt;
    }
    return make_request(now);
}

std::vector<reservation_decision> grant_holder::take_decisions(time_point now) {
    expire_grants(now);
    if (now >= earliest_deadline_) {
        refuse_expired(now);
    }
    return std::exchange(decisions_, {});
}

void grant_holder::refuse_expired(time_point now) {
    earliest_deadline_ = time_point::max();
    std::deque<waiting_reservation> kept;
    for (const waiting_reservation& each : waiting_) {
        if (each.deadline <= now) {
            decisions_.push_back({.id = each.id, .granted = false});
            waiting_tokens_ -= each.bound;
        } else {
            earliest_deadline_ = std::min(earliest_deadline_, each.deadline);
            kept.push_back(each);
        }
    }
    waiting_ = std::move(kept);
    // The reservation behind an expired one may fit the available tokens.
    serve_waiting(now);
}

std::optional<time_point> grant_holder::wake_at() const {
    time_point wake = waiting_.empty() ? time_point::max() : earliest_deadline_;
    if (in_flight_) {
        wake = std::min(wake, in_flight_->sent + options_.reply_timeout);
    } else if (!stopped_ && (!waiting_.empty() || debt_ > 0)) {
        wake = std::min(wake, next_request_at_);
    } else if (!stopped_ && available_ > 0) {
        wake = std::min(wake, std::max(next_request_at_, renew_at()));
    }
    return wake == time_point::max() ? std::nullopt : std::optional{wake};
}

std::uint64_t grant_holder::available(time_point now) {
    expire_grants(now);
    return available_;
}

} // namespace samphiretray::rate

#include "samphiretray/rate/grant_holder.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace samphiretray::rate {

namespace {

// Demand is an exponentially weighted mean over about this time.
constexpr double demand_time_seconds = 2.0;
// Weight of a new reservation in the mean size of reservations.
constexpr double size_weight = 0.1;

double seconds_in(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

grant_holder::grant_holder(std::string organisation, grant_holder_options options, std::uint64_t last_round)
    : organisation_(std::move(organisation)), options_(options), round_(last_round) {}

void grant_holder::advance(time_point now) {
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

void grant_holder::observe(std::uint64_t tokens, time_point now) {
    // The last reservation counts from the next one on: requests to the issuer mostly follow a reservation,
    // and a mean that included it would be too high whenever it is sent.
    demand_ += last_size_ / demand_time_seconds;
    decay_demand(now);
    const auto size = static_cast<double>(tokens);
    last_size_ = size;
    typical_size_ = typical_size_ == 0 ? size : typical_size_ + size_weight * (size - typical_size_);
}

void grant_holder::decay_demand(time_point now) {
    if (now > demand_at_) {
        demand_ *= std::exp(-seconds_in(now - demand_at_) / demand_time_seconds);
        demand_at_ = now;
    }
}

double grant_holder::demand(time_point now) {
    decay_demand(now);
    return demand_;
}

reserve_result grant_holder::reserve(std::uint64_t id, std::uint64_t bound, time_point deadline,
                                     time_point now) {
    advance(now);
    if (stopped_ || deadline <= now || waiting_.size() >= options_.max_waiting) {
        return reserve_result::refused;
    }
    observe(bound, now);
    if (waiting_.empty() && debt_ == 0 && bound <= available_) {
        grant(id, bound, now);
        return reserve_result::granted;
    }
    if (waiting_.empty() && !peer_refused_) {
        next_ask_ = now;
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
    advance(now);
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

void grant_holder::withdraw(std::uint64_t id) {
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

std::uint64_t grant_holder::target_tokens(duration span) const {
    // A share below one reservation serves nobody, so holders with little demand ask for each reservation.
    if (demand_ * seconds_in(options_.target) < typical_size_) {
        return 0;
    }
    return static_cast<std::uint64_t>(demand_ * seconds_in(span));
}

bool grant_holder::request_due(time_point now) const {
    if (in_flight_ || stopped_ || now < next_ask_) {
        return false;
    }
    const bool lacking = !waiting_.empty() || debt_ > 0;
    const bool low = available_ < target_tokens(options_.low_water);
    const bool expiring = available_ > 0 && now >= renew_at();
    return lacking || low || expiring;
}

time_point grant_holder::renew_at() const {
    return expires_ - validity_ / 2;
}

std::optional<wire::grant_request> grant_holder::next_request(time_point now) {
    advance(now);
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
    const std::uint64_t target = stopped_ ? 0 : target_tokens(options_.target);
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
    // Several holders that each keep less than one reservation needs could together hold the whole burst.
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
    advance(now);
    const time_point valid_until = in_flight_->sent + std::chrono::milliseconds{reply.valid_ms};
    in_flight_.reset();
    retry_after_ = std::chrono::milliseconds{reply.retry_after_ms};
    peer_refused_ = !reply.issuer;
    if (reply.issuer && valid_until > now) {
        expires_ = std::max(expires_, valid_until);
        validity_ = std::chrono::milliseconds{reply.valid_ms};
        available_ += reply.tokens;
    }
    pay_debt();
    serve_waiting(now);
    last_reply_empty_ = reply.tokens == 0;
    if (last_reply_empty_) {
        next_ask_ = now + std::clamp(retry_after_, options_.retry, options_.max_retry);
    }
}

void grant_holder::on_send_failed(std::uint64_t round, time_point now) {
    if (in_flight_ && in_flight_->round == round) {
        in_flight_.reset();
        next_ask_ = now + options_.retry;
    }
}

std::optional<wire::grant_request> grant_holder::return_all(time_point now) {
    advance(now);
    stopped_ = true;
    for (const waiting_reservation& refused : std::exchange(waiting_, {})) {
        decisions_.push_back({.id = refused.id, .granted = false});
    }
    waiting_tokens_ = 0;
    if (available_ == 0) {
        return std::nullopt;
    }
    return make_request(now);
}

std::vector<reservation_decision> grant_holder::take_decisions(time_point now) {
    advance(now);
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
    // The reservation behind a refused one may fit what is there.
    serve_waiting(now);
}

std::optional<time_point> grant_holder::wake_at() const {
    time_point wake = waiting_.empty() ? time_point::max() : earliest_deadline_;
    if (in_flight_) {
        wake = std::min(wake, in_flight_->sent + options_.reply_timeout);
    } else if (!stopped_ && (!waiting_.empty() || debt_ > 0)) {
        wake = std::min(wake, next_ask_);
    } else if (!stopped_ && available_ > 0) {
        wake = std::min(wake, std::max(next_ask_, renew_at()));
    }
    return wake == time_point::max() ? std::nullopt : std::optional{wake};
}

std::uint64_t grant_holder::available(time_point now) {
    advance(now);
    return available_;
}

} // namespace samphiretray::rate

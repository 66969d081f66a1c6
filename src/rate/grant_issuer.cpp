#include "samphiretray/rate/grant_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphiretray::rate {

namespace {

// Short validities keep the tokens of running reservations from filling a small burst; shorter ones than this
// cost more messages than they gain.
constexpr duration least_validity = 100ms;
// A holder that has not asked for this long takes no part in the split and has no claim on the level.
constexpr duration active_time = 2s;
constexpr duration forget_after = 10s;
// A waiting holder's turn is its part, by demand, of this much of the rate.
constexpr duration turn_time = 100ms;
// The rate of use is an exponentially weighted mean over about this time.
constexpr double use_time_seconds = 5;
// Sums of fractions may miss the exact bound by rounding.
constexpr double rounding = 1e-6;

double seconds_in(duration value) {
    return std::chrono::duration<double>(value).count();
}

// A holder without measured demand still has a small weight.
double weight_of(double demand) {
    return std::max(demand, 1.0);
}

} // namespace

grant_issuer::grant_issuer(std::string organisation, bucket_limits limits, time_point act_from)
    : organisation_(std::move(organisation)), act_from_(act_from), bucket_(limits, 0, act_from) {}

void grant_issuer::set_limits(bucket_limits limits, time_point now) {
    advance(now);
    bucket_.set_limits(limits, now, outstanding_);
}

void grant_issuer::advance(time_point now) {
    now_ = now;
    // The room of an expired account fills from its expiry on, not from the last refill.
    while (account* ended = first_ended(now)) {
        bucket_.refill(ended->expires, outstanding_);
        outstanding_ -= ended->held;
        ended->held = 0;
    }
    bucket_.refill(now, outstanding_);
    std::erase_if(accounts_, [now](const auto& each) {
        return each.second.held == 0 && each.second.seen + forget_after <= now;
    });
}

grant_issuer::account* grant_issuer::first_ended(time_point now) {
    account* first = nullptr;
    for (auto& [name, of] : accounts_) {
        const bool ended = of.held > 0 && of.expires <= now;
        if (ended && (first == nullptr || of.expires < first->expires)) {
            first = &of;
        }
    }
    return first;
}

wire::grant_reply grant_issuer::answer(std::string_view holder, const wire::grant_request& request,
                                       bool may_act, time_point now) {
    wire::grant_reply reply{.round = request.round, .organisation = organisation_};
    reply.issuer = may_act;
    if (!may_act) {
        return reply;
    }
    if (now < act_from_) {
        reply.retry_after_ms = static_cast<std::uint32_t>(milliseconds_in(act_from_ - now)) + 1;
        return reply;
    }
    advance(now);
    auto found = accounts_.find(holder);
    if (found == accounts_.end()) {
        found = accounts_.emplace(holder, account{}).first;
    }
    account& of = found->second;
    if (request.round <= of.round) {
        return reply;
    }
    settle(of, request);
    reply.tokens = choose_grant(of, request);
    note_waiting(of, request, reply.tokens);
    give(of, reply.tokens);
    reply.valid_ms = static_cast<std::uint32_t>(milliseconds_in(validity()));
    reply.retry_after_ms = retry_after_ms(of);
    return reply;
}

void grant_issuer::settle(account& of, const wire::grant_request& request) {
    of.round = request.round;
    of.seen = now_;
    of.demand = static_cast<double>(request.demand);
    const double unspent = of.held - std::min(of.held, static_cast<double>(request.returned));
    const double held = request.held ? std::min(unspent, static_cast<double>(*request.held)) : unspent;
    const double freed = of.held - held;
    outstanding_ -= freed;
    const double returned = std::min(freed, static_cast<double>(request.returned));
    bucket_.put_back(returned);
    count_use(-returned);
    of.held = held;
    bucket_.refill(now_, outstanding_);
}

double grant_issuer::share_of(const account& of) const {
    double total = 0;
    for (const auto& [name, other] : accounts_) {
        if (other.seen + active_time > now_) {
            total += weight_of(other.demand);
        }
    }
    return weight_of(of.demand) / total;
}

double grant_issuer::promised_to_others(const account& of) const {
    double promised = 0;
    for (const auto& [name, other] : accounts_) {
        const bool active = other.lacking > 0 && other.seen + active_time > now_;
        const bool earlier = of.lacking == 0 || other.waiting_since < of.waiting_since;
        if (&other != &of && active && earlier) {
            promised += other.lacking;
        }
    }
    return promised;
}

std::uint64_t grant_issuer::choose_grant(const account& of, const wire::grant_request& request) const {
    const auto least = static_cast<double>(request.least);
    const double split = share_of(of) * (bucket_.level() + outstanding_) - of.held;
    const double wanted = std::min(static_cast<double>(request.tokens), std::max(split, least));
    const double spare = bucket_.level() - promised_to_others(of);
    const double granted = std::floor(std::min(wanted, spare) + rounding);
    return granted < std::max(least, 1.0) ? 0 : static_cast<std::uint64_t>(granted);
}

void grant_issuer::note_waiting(account& of, const wire::grant_request& request, std::uint64_t granted) {
    const auto least = static_cast<double>(request.least);
    if (largest_at_ + forget_after <= now_ || least >= largest_) {
        largest_ = least;
        largest_at_ = now_;
    }
    // A reservation above the burst can't be served before the region's part grows, so it holds up no other.
    if (granted > 0 || least == 0 || least > bucket_.limits().burst) {
        of.lacking = 0;
        return;
    }
    if (of.lacking == 0) {
        of.waiting_since = now_;
    }
    const double turn = share_of(of) * bucket_.limits().rate * seconds_in(turn_time);
    const double bounded = std::min({turn, static_cast<double>(request.tokens), bucket_.limits().burst});
    of.lacking = std::max(least, bounded);
}

void grant_issuer::give(account& of, std::uint64_t tokens) {
    const auto given = std::min(static_cast<double>(tokens), bucket_.level());
    bucket_.put_back(-given);
    count_use(given);
    of.held += static_cast<double>(tokens);
    outstanding_ += static_cast<double>(tokens);
    of.expires = std::max(of.expires, now_ + validity());
}

void grant_issuer::count_use(double tokens) {
    use_ *= std::exp(-seconds_in(now_ - use_at_) / use_time_seconds);
    use_ += tokens / use_time_seconds;
    use_at_ = now_;
}

duration grant_issuer::validity() const {
    const bucket_limits& limits = bucket_.limits();
    if (limits.rate <= 0) {
        return grant_validity;
    }
    const double half = std::min(limits.burst / limits.rate / 2, seconds_in(grant_validity));
    return std::clamp(std::chrono::duration_cast<duration>(std::chrono::duration<double>(half)),
                      least_validity, grant_validity);
}

std::uint32_t grant_issuer::retry_after_ms(const account& of) const {
    if (of.lacking == 0) {
        return 0;
    }
    const double needed = std::min(promised_to_others(of) + of.lacking, bucket_.limits().burst);
    const auto wait = bucket_.time_until(needed);
    return static_cast<std::uint32_t>(milliseconds_in(wait.value_or(active_time))) + 1;
}

bool grant_issuer::within_limits(time_point now) {
    if (now < act_from_) {
        return false;
    }
    advance(now);
    return bucket_.level() + outstanding_ <= bucket_.limits().burst + rounding;
}

region_demand grant_issuer::demand(time_point now) {
    now_ = now;
    count_use(0);
    region_demand sum;
    for (const auto& [name, of] : accounts_) {
        if (of.seen + active_time > now) {
            sum.tokens_per_second += of.demand;
        }
    }
    // Holders that ask rarely are mostly not in the sum, and are served.
    sum.tokens_per_second = std::max(sum.tokens_per_second, use_);
    sum.largest_reservation = largest_at_ + forget_after > now ? largest_ : 0;
    return sum;
}

} // namespace samphiretray::rate

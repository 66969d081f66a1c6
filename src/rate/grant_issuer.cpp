#include "samphiretray/rate/grant_issuer.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace samphiretray::rate {

namespace {

// The tokens that a holder has, including those of running reservations, count against the burst until its
// grant expires. Grants from a small burst are therefore valid for a shorter time, but no shorter than
// this: below it the additional messages cost more than is gained.
constexpr duration min_validity = 100ms;
// A holder that has sent no request for this long is left out when the tokens are split by demand, and none
// are set aside for it.
constexpr duration active_window = 2s;
// Idle accounts and the largest reservation are discarded after this time.
constexpr duration retention_time = 10s;
// The tokens set aside for a waiting holder are its share, by demand, of the refill of the bucket in this
// time: at least the minimum that it asks for, otherwise at most its request and the burst.
constexpr duration set_aside_time = 100ms;
// Time constant of the exponentially weighted moving average of the rate of tokens granted and not
// returned.
constexpr double net_grant_time_constant_seconds = 5;
// Tolerance for sums of fractions, which may miss the exact bound by rounding.
constexpr double rounding_tolerance = 1e-6;

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

// A holder without measured demand still gets a small weight.
double weight_of(double demand) {
    return std::max(demand, 1.0);
}

} // namespace

grant_issuer::grant_issuer(std::string organisation, bucket_limits limits, time_point grants_from)
    : organisation_(std::move(organisation)), grants_from_(grants_from), bucket_(limits, 0, grants_from) {}

void grant_issuer::set_limits(bucket_limits limits, time_point now) {
    advance(now);
    bucket_.set_limits(limits, now, outstanding_);
}

void grant_issuer::advance(time_point now) {
    now_ = now;
    // The tokens of an expired grant count against the burst until its expiry. The bucket is refilled up to
    // each expiry first, so that the freed room starts to refill at the expiry and not at the last refill.
    while (holder_account* expired = first_expired(now)) {
        bucket_.refill(expired->expires, outstanding_);
        outstanding_ -= expired->held;
        expired->held = 0;
    }
    bucket_.refill(now, outstanding_);
    std::erase_if(accounts_, [now](const auto& each) {
        return each.second.held == 0 && each.second.last_request_at + retention_time <= now;
    });
}

grant_issuer::holder_account* grant_issuer::first_expired(time_point now) {
    holder_account* first = nullptr;
    for (auto& [name, account] : accounts_) {
        const bool expired = account.held > 0 && account.expires <= now;
        if (expired && (first == nullptr || account.expires < first->expires)) {
            first = &account;
        }
    }
    return first;
}

wire::grant_reply grant_issuer::answer(std::string_view holder, const wire::grant_request& request,
                                       bool may_issue, time_point now) {
    wire::grant_reply reply{.round = request.round, .organisation = organisation_};
    reply.issuer = may_issue;
    if (!may_issue) {
        return reply;
    }
    if (now < grants_from_) {
        reply.retry_after_ms = static_cast<std::uint32_t>(milliseconds_in(grants_from_ - now)) + 1;
        return reply;
    }
    advance(now);
    auto found = accounts_.find(holder);
    if (found == accounts_.end()) {
        found = accounts_.emplace(holder, holder_account{}).first;
    }
    holder_account& account = found->second;
    if (request.round <= account.round) {
        return reply;
    }
    settle(account, request);
    reply.tokens = choose_grant(account, request);
    update_waiting(account, request, reply.tokens);
    apply_grant(account, reply.tokens);
    reply.valid_ms = static_cast<std::uint32_t>(milliseconds_in(validity()));
    reply.retry_after_ms = retry_after_ms(account);
    return reply;
}

void grant_issuer::settle(holder_account& account, const wire::grant_request& request) {
    account.round = request.round;
    account.last_request_at = now_;
    account.demand = static_cast<double>(request.demand);
    const double not_returned = account.held - std::min(account.held, static_cast<double>(request.returned));
    const double held =
        request.held ? std::min(not_returned, static_cast<double>(*request.held)) : not_returned;
    const double freed = account.held - held;
    outstanding_ -= freed;
    const double returned = std::min(freed, static_cast<double>(request.returned));
    bucket_.put_back(returned);
    record_net_grant(-returned);
    account.held = held;
    bucket_.refill(now_, outstanding_);
}

double grant_issuer::demand_share(const holder_account& account) const {
    double total = 0;
    for (const auto& [name, other] : accounts_) {
        if (other.last_request_at + active_window > now_) {
            total += weight_of(other.demand);
        }
    }
    return weight_of(account.demand) / total;
}

double grant_issuer::set_aside_for_others(const holder_account& account) const {
    double total = 0;
    for (const auto& [name, other] : accounts_) {
        const bool active = other.set_aside > 0 && other.last_request_at + active_window > now_;
        const bool earlier = account.set_aside == 0 || other.waiting_since < account.waiting_since;
        if (&other != &account && active && earlier) {
            total += other.set_aside;
        }
    }
    return total;
}

std::uint64_t grant_issuer::choose_grant(const holder_account& account,
                                         const wire::grant_request& request) const {
    const auto min_tokens = static_cast<double>(request.least);
    const double fair_grant = demand_share(account) * (bucket_.level() + outstanding_) - account.held;
    const double wanted = std::min(static_cast<double>(request.tokens), std::max(fair_grant, min_tokens));
    const double available = bucket_.level() - set_aside_for_others(account);
    const double granted = std::floor(std::min(wanted, available) + rounding_tolerance);
    return granted < std::max(min_tokens, 1.0) ? 0 : static_cast<std::uint64_t>(granted);
}

void grant_issuer::update_waiting(holder_account& account, const wire::grant_request& request,
                                  std::uint64_t granted) {
    const auto min_tokens = static_cast<double>(request.least);
    if (largest_reservation_at_ + retention_time <= now_ || min_tokens >= largest_reservation_) {
        largest_reservation_ = min_tokens;
        largest_reservation_at_ = now_;
    }
    // A reservation above the burst can't be granted before the region's share grows. Nothing is set aside
    // for it, since that would only delay the other holders.
    if (granted > 0 || min_tokens == 0 || min_tokens > bucket_.limits().burst) {
        account.set_aside = 0;
        return;
    }
    if (account.set_aside == 0) {
        account.waiting_since = now_;
    }
    const double refill_share = demand_share(account) * bucket_.limits().rate * to_seconds(set_aside_time);
    const double amount =
        std::min({refill_share, static_cast<double>(request.tokens), bucket_.limits().burst});
    account.set_aside = std::max(min_tokens, amount);
}

void grant_issuer::apply_grant(holder_account& account, std::uint64_t tokens) {
    const auto given = std::min(static_cast<double>(tokens), bucket_.level());
    bucket_.put_back(-given);
    record_net_grant(given);
    account.held += static_cast<double>(tokens);
    outstanding_ += static_cast<double>(tokens);
    account.expires = std::max(account.expires, now_ + validity());
}

void grant_issuer::record_net_grant(double tokens) {
    net_grant_rate_ *= std::exp(-to_seconds(now_ - net_grant_rate_at_) / net_grant_time_constant_seconds);
    net_grant_rate_ += tokens / net_grant_time_constant_seconds;
    net_grant_rate_at_ = now_;
}

duration grant_issuer::validity() const {
    const bucket_limits& limits = bucket_.limits();
    if (limits.rate <= 0) {
        return grant_validity;
    }
    const double half_fill_seconds = std::min(limits.burst / limits.rate / 2, to_seconds(grant_validity));
    return std::clamp(std::chrono::duration_cast<duration>(std::chrono::duration<double>(half_fill_seconds)),
                      min_validity, grant_validity);
}

std::uint32_t grant_issuer::retry_after_ms(const holder_account& account) const {
    if (account.set_aside == 0) {
        return 0;
    }
    const double needed = std::min(set_aside_for_others(account) + account.set_aside, bucket_.limits().burst);
    const auto wait = bucket_.time_until(needed);
    return static_cast<std::uint32_t>(milliseconds_in(wait.value_or(active_window))) + 1;
}

bool grant_issuer::within_limits(time_point now) {
    if (now < grants_from_) {
        return false;
    }
    advance(now);
    return bucket_.level() + outstanding_ <= bucket_.limits().burst + rounding_tolerance;
}

region_demand grant_issuer::demand(time_point now) {
    now_ = now;
    record_net_grant(0);
    region_demand sum;
    for (const auto& [name, account] : accounts_) {
        if (account.last_request_at + active_window > now) {
            sum.tokens_per_second += account.demand;
        }
    }
    // A holder whose requests are more than `active_window` apart is missing from the sum part of the time,
    // so the rate of tokens granted and not returned is the lower bound.
    sum.tokens_per_second = std::max(sum.tokens_per_second, net_grant_rate_);
    sum.largest_reservation = largest_reservation_at_ + retention_time > now ? largest_reservation_ : 0;
    return sum;
}

} // namespace samphiretray::rate

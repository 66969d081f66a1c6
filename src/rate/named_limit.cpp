#include "samphiretray/rate/named_limit.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <ranges>
#include <utility>

namespace samphiretray::rate {

namespace {

/// Requests that a limit of any rate allows at once.
constexpr double min_burst = 1;
/// Time of requests at the limit's rate that may be sent at once in addition.
constexpr double burst_s = 0.5;

bucket_limits bucket_limits_of(double requests_per_s) {
    return {requests_per_s, min_burst + burst_s * requests_per_s};
}

/// Rounded up, so that a wait that is not over never looks like none.
duration seconds(double value) {
    return std::chrono::ceil<duration>(std::chrono::duration<double>(value));
}

} // namespace

void named_limit::set(std::optional<double> requests_per_s, time_point now) {
    if (!requests_per_s) {
        bucket_.reset();
    } else if (bucket_) {
        bucket_->set_limits(bucket_limits_of(*requests_per_s), now);
    } else {
        // Starts empty: the requests that are on their way already count towards the limit.
        bucket_.emplace(bucket_limits_of(*requests_per_s), 0.0, now);
    }
}

bool named_limit::try_take(time_point now) {
    if (!bucket_) {
        return true;
    }
    bucket_->refill(now);
    return bucket_->try_take(1);
}

bool named_limit::allows(time_point now) const {
    return !bucket_ || wait_for(1, now) <= duration::zero();
}

duration named_limit::wait_for(std::size_t requests, time_point now) const {
    if (!bucket_) {
        return duration::zero();
    }
    token_bucket refilled = *bucket_;
    refilled.refill(now);
    const double missing = static_cast<double>(requests) - refilled.level();
    constexpr double longest_wait_s = 3600;
    const double rate = refilled.limits().rate;
    return missing <= 0 ? duration::zero()
                        : seconds(rate > 0 ? std::min(missing / rate, longest_wait_s) : longest_wait_s);
}

void endpoint_limits::set_members(std::string own_name, std::vector<std::string> all_names) {
    own_name_ = std::move(own_name);
    members_ = std::move(all_names);
}

double endpoint_limits::part_of(const std::string& endpoint, double requests_per_s) const {
    const auto most = static_cast<double>(std::max<std::size_t>(members_.size(), 1));
    const auto senders =
        static_cast<std::size_t>(std::clamp(requests_per_s / settings_.min_share, 1.0, most));
    const std::size_t rank = rendezvous_rank(own_name_, members_, hash64(endpoint));
    return rank < senders ? requests_per_s / static_cast<double>(senders) : 0;
}

void endpoint_limits::apply(const std::string& endpoint, std::optional<double> requests_per_s,
                            time_point observed_at, time_point now) {
    known_limit& value = known_[endpoint];
    if (observed_at < value.observed_at) {
        return;
    }
    value.requests_per_s = requests_per_s;
    value.observed_at = observed_at;
    value.part.set(requests_per_s ? std::optional{part_of(endpoint, *requests_per_s)} : std::nullopt, now);
}

bool endpoint_limits::observe(const std::string& endpoint, std::optional<double> requests_per_s,
                              time_point now) {
    const auto found = known_.find(endpoint);
    const bool was_limited = found != known_.end() && found->second.requests_per_s.has_value();
    if (requests_per_s || found != known_.end()) {
        apply(endpoint, requests_per_s, now, now);
    }
    return was_limited != requests_per_s.has_value();
}

void endpoint_limits::merge(const std::vector<limit_observation>& observations, time_point now) {
    for (const limit_observation& each : observations) {
        apply(each.endpoint, each.requests_per_s, now - each.age, now);
    }
}

std::vector<limit_observation> endpoint_limits::observations(time_point now) const {
    std::vector<limit_observation> all;
    for (const auto& [endpoint, value] : known_) {
        if (is_in_force(value, now) || now - value.observed_at < settings_.confirmation_time) {
            all.push_back({endpoint, value.requests_per_s, now - value.observed_at});
        }
    }
    return all;
}

bool endpoint_limits::is_in_force(const known_limit& value, time_point now) const {
    if (!value.requests_per_s) {
        return false;
    }
    constexpr double slowest_rate = 0.01;
    const duration patience =
        seconds(settings_.confirmation_requests / std::max(*value.requests_per_s, slowest_rate));
    return now - value.observed_at < std::max(settings_.confirmation_time, patience);
}

bool endpoint_limits::allows(const std::string& endpoint, time_point now) const {
    const auto found = known_.find(endpoint);
    return found == known_.end() || !is_in_force(found->second, now) || found->second.part.allows(now);
}

bool endpoint_limits::try_take(const std::string& endpoint, time_point now) {
    const auto found = known_.find(endpoint);
    return found == known_.end() || !is_in_force(found->second, now) || found->second.part.try_take(now);
}

std::size_t endpoint_limits::limited_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(known_ | std::views::values,
                              [](const known_limit& each) { return each.requests_per_s.has_value(); }));
}

} // namespace samphiretray::rate

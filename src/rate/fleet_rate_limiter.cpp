#include "samphiretray/rate/fleet_rate_limiter.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::rate {

namespace {

/// Largest debt, as a multiple of the burst.
constexpr double max_debt_bursts = 2;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fleet_rate_limiter::set_limits(const std::string& organisation, bucket_limits limits, time_point now) {
    if (limits.rate <= 0) {
        buckets_.erase(organisation);
        return;
    }
    organisation_bucket& bucket =
        buckets_.try_emplace(organisation, organisation_bucket{limits, 0.0, now, 0.0}).first->second;
    refill(bucket, now);
    bucket.limits = limits;
    bucket.level = std::min(bucket.level, limits.burst);
}

void fleet_rate_limiter::retain(const std::vector<std::string>& organisations) {
    std::erase_if(buckets_, [&organisations](const auto& each) {
        return std::ranges::find(organisations, each.first) == organisations.end();
    });
}

void fleet_rate_limiter::set_peers(const std::vector<std::string>& peers, time_point now) {
    std::erase_if(peers_,
                  [&peers](const auto& each) { return std::ranges::find(peers, each.first) == peers.end(); });
    for (const std::string& name : peers) {
        peers_.try_emplace(name, peer_state{{}, now, {}});
    }
}

void fleet_rate_limiter::charge(organisation_bucket& bucket, double tokens) {
    bucket.level = std::min(bucket.level - tokens, bucket.limits.burst);
    // A larger debt would refuse callers long after the window to which the limit applies.
    bucket.level = std::max(bucket.level, -max_debt_bursts * bucket.limits.burst);
}

void fleet_rate_limiter::refill(organisation_bucket& bucket, time_point now) {
    const double elapsed = std::max(seconds(now - bucket.refilled_at), 0.0);
    bucket.level = std::min(bucket.level + bucket.limits.rate * elapsed, bucket.limits.burst);
    bucket.refilled_at = std::max(now, bucket.refilled_at);
}

bool fleet_rate_limiter::is_silent(const peer_state& peer, time_point now) const {
    return now - peer.last_report_at >
           std::max(settings_.silence_timeout, report_interval_ * settings_.silence_report_intervals);
}

void fleet_rate_limiter::charge_estimated_spending(peer_state& peer, time_point now) {
    const bool silent = is_silent(peer, now);
    const double elapsed = seconds(now - peer.last_report_at);
    const auto entry_count = static_cast<double>(peers_.size() + 1);
    for (auto& [organisation, bucket] : buckets_) {
        peer_spending& spending = peer.spending[organisation];
        const double equal_share = bucket.limits.rate / entry_count;
        const double rate = silent ? std::max(equal_share, spending.rate) : spending.rate;
        const double surge_estimate =
            settings_.min_estimate_ratio * (bucket.spent - spending.own_spent_at_report);
        const double uncharged = std::max(rate * elapsed, surge_estimate) - spending.estimated;
        if (uncharged > 0) {
            spending.estimated += uncharged;
            charge(bucket, uncharged);
        }
    }
}

std::optional<duration> fleet_rate_limiter::take(const std::string& organisation, double tokens,
                                                 time_point now) {
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    organisation_bucket& bucket = found->second;
    refill(bucket, now);
    for (peer_state& each : peers_ | std::views::values) {
        charge_estimated_spending(each, now);
    }
    const double needed = std::min(tokens, bucket.limits.burst * settings_.admission_burst_fraction);
    if (bucket.level >= needed) {
        bucket.level -= tokens;
        bucket.spent += tokens;
        return std::nullopt;
    }
    const std::chrono::duration<double> wait{(needed - bucket.level) / bucket.limits.rate};
    return std::min(std::chrono::duration_cast<duration>(wait), settings_.max_retry_after);
}

double fleet_rate_limiter::level(const std::string& organisation) const {
    const auto found = buckets_.find(organisation);
    return found == buckets_.end() ? 0 : found->second.level;
}

void fleet_rate_limiter::refund(const std::string& organisation, double tokens) {
    if (const auto found = buckets_.find(organisation); found != buckets_.end()) {
        charge(found->second, -tokens);
        found->second.spent -= tokens;
    }
}

void fleet_rate_limiter::on_peer_report(const std::string& peer, std::string_view incarnation,
                                        const std::vector<spent_tokens>& spent, time_point now) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    peer_state& reporter = found->second;
    const bool restarted = reporter.incarnation != incarnation;
    const bool is_first_report = reporter.incarnation.empty();
    if (restarted) {
        reporter.incarnation = incarnation;
        for (peer_spending& each : reporter.spending | std::views::values) {
            each.reported_total = 0;
        }
    }
    const double elapsed = seconds(now - reporter.last_report_at);
    reporter.last_report_at = now;
    for (const spent_tokens& report : spent) {
        const auto bucket_found = buckets_.find(report.organisation);
        if (bucket_found == buckets_.end()) {
            continue;
        }
        peer_spending& spending = reporter.spending[report.organisation];
        // This bucket started empty, so spending from before the first report must not be charged to it.
        const double newly_spent = is_first_report ? 0.0 : report.tokens - spending.reported_total;
        spending.reported_total = report.tokens;
        charge(bucket_found->second, newly_spent - spending.estimated);
        spending.estimated = 0;
        spending.own_spent_at_report = bucket_found->second.spent;
        if (elapsed > 0) {
            const double rate = std::max(newly_spent, 0.0) / elapsed;
            spending.rate += (rate - spending.rate) * settings_.rate_smoothing;
        }
    }
}

std::vector<spent_tokens> fleet_rate_limiter::spent() const {
    std::vector<spent_tokens> all;
    all.reserve(buckets_.size());
    for (const auto& [organisation, each] : buckets_) {
        all.push_back({organisation, each.spent});
    }
    return all;
}

std::size_t fleet_rate_limiter::active_peer_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_ | std::views::values, [&](const peer_state& each) { return !is_silent(each, now); }));
}

} // namespace samphiretray::rate

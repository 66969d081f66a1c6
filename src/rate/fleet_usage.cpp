#include "samphiretray/rate/fleet_usage.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::rate {

namespace {

/// Largest debt, in bursts.
constexpr double max_debt_bursts = 2;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void fleet_usage::set_limits(const std::string& organisation, bucket_limits limits, time_point now) {
    if (limits.rate <= 0) {
        accounts_.erase(organisation);
        return;
    }
    account& of = accounts_.try_emplace(organisation, account{limits, 0.0, now, 0.0}).first->second;
    refill(of, now);
    of.limits = limits;
    of.level = std::min(of.level, limits.burst);
}

void fleet_usage::retain(const std::vector<std::string>& organisations) {
    std::erase_if(accounts_, [&organisations](const auto& each) {
        return std::ranges::find(organisations, each.first) == organisations.end();
    });
}

void fleet_usage::set_peers(const std::vector<std::string>& peers, time_point now) {
    std::erase_if(peers_,
                  [&peers](const auto& each) { return std::ranges::find(peers, each.first) == peers.end(); });
    for (const std::string& name : peers) {
        peers_.try_emplace(name, peer{{}, now, {}});
    }
}

void fleet_usage::charge(account& of, double tokens) {
    of.level = std::min(of.level - tokens, of.limits.burst);
    // A larger debt is not worth remembering: it would refuse callers long after the window of the limit.
    of.level = std::max(of.level, -max_debt_bursts * of.limits.burst);
}

void fleet_usage::refill(account& of, time_point now) {
    const double passed = std::max(seconds(now - of.refilled_at), 0.0);
    of.level = std::min(of.level + of.limits.rate * passed, of.limits.burst);
    of.refilled_at = std::max(now, of.refilled_at);
}

bool fleet_usage::is_silent(const peer& of, time_point now) const {
    return now - of.heard_at > std::max(settings_.silence, report_interval_ * settings_.missed_reports);
}

void fleet_usage::assume_spending(peer& of, time_point now) {
    const bool silent = is_silent(of, now);
    const double elapsed = seconds(now - of.heard_at);
    const auto parts = static_cast<double>(peers_.size() + 1);
    for (auto& [organisation, each] : accounts_) {
        peer_spending& spending = of.spending[organisation];
        const double even = each.limits.rate / parts;
        const double rate = silent ? std::max(even, spending.rate) : spending.rate;
        const double like_own = settings_.expected_part * (each.spent - spending.own_spent);
        const double fresh = std::max(rate * elapsed, like_own) - spending.assumed;
        if (fresh > 0) {
            spending.assumed += fresh;
            charge(each, fresh);
        }
    }
}

std::optional<duration> fleet_usage::take(const std::string& organisation, double tokens, time_point now) {
    const auto found = accounts_.find(organisation);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    account& of = found->second;
    refill(of, now);
    for (peer& each : peers_ | std::views::values) {
        assume_spending(each, now);
    }
    const double needed = std::min(tokens, of.limits.burst * settings_.full_part);
    if (of.level >= needed) {
        of.level -= tokens;
        of.spent += tokens;
        return std::nullopt;
    }
    const std::chrono::duration<double> wait{(needed - of.level) / of.limits.rate};
    return std::min(std::chrono::duration_cast<duration>(wait), settings_.max_wait);
}

double fleet_usage::level(const std::string& organisation) const {
    const auto found = accounts_.find(organisation);
    return found == accounts_.end() ? 0 : found->second.level;
}

void fleet_usage::put_back(const std::string& organisation, double tokens) {
    if (const auto found = accounts_.find(organisation); found != accounts_.end()) {
        charge(found->second, -tokens);
        found->second.spent -= tokens;
    }
}

void fleet_usage::observe(const std::string& name, std::string_view incarnation,
                          const std::vector<spent_tokens>& spent, time_point now) {
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        return;
    }
    peer& from = found->second;
    const bool restarted = from.incarnation != incarnation;
    const bool first = from.incarnation.empty();
    if (restarted) {
        from.incarnation = incarnation;
        for (peer_spending& each : from.spending | std::views::values) {
            each.counted = 0;
        }
    }
    const double elapsed = seconds(now - from.heard_at);
    from.heard_at = now;
    for (const spent_tokens& report : spent) {
        const auto account_found = accounts_.find(report.organisation);
        if (account_found == accounts_.end()) {
            continue;
        }
        peer_spending& spending = from.spending[report.organisation];
        // What a peer spent before this process knew it is not in this bucket, which started empty.
        const double fresh = first ? 0.0 : report.tokens - spending.counted;
        spending.counted = report.tokens;
        charge(account_found->second, fresh - spending.assumed);
        spending.assumed = 0;
        spending.own_spent = account_found->second.spent;
        if (elapsed > 0) {
            const double rate = std::max(fresh, 0.0) / elapsed;
            spending.rate += (rate - spending.rate) * settings_.rate_step;
        }
    }
}

std::vector<spent_tokens> fleet_usage::spent() const {
    std::vector<spent_tokens> all;
    all.reserve(accounts_.size());
    for (const auto& [organisation, each] : accounts_) {
        all.push_back({organisation, each.spent});
    }
    return all;
}

std::size_t fleet_usage::heard_peers(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        peers_ | std::views::values, [&](const peer& each) { return !is_silent(each, now); }));
}

} // namespace samphiretray::rate

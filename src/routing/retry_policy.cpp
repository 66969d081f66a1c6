#include "samphiretray/routing/retry_policy.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::routing {

retry_policy::retry_policy(retry_settings settings) : settings_(settings) {}

void retry_policy::set_settings(retry_settings settings) {
    settings_ = settings;
    for (auto* budgets : {&organisations_, &endpoints_}) {
        for (budget& each : *budgets | std::views::values) {
            each.floor_tokens = std::min(each.floor_tokens, settings_.floor);
            each.ratio_tokens = std::min(each.ratio_tokens, settings_.max_unused_retries);
        }
    }
}

retry_policy::budget& retry_policy::budget_of(std::unordered_map<std::string, budget>& budgets,
                                              std::string_view name, time_point now) {
    const auto [found, added] = budgets.try_emplace(std::string{name});
    if (added) {
        found->second.floor_tokens = settings_.floor;
        found->second.refilled_at = now;
    }
    refill(found->second, now);
    return found->second;
}

void retry_policy::refill(budget& target, time_point now) const {
    const std::chrono::duration<double> passed = now - target.refilled_at;
    const std::chrono::duration<double> period = settings_.floor_period;
    target.floor_tokens =
        std::min(settings_.floor, target.floor_tokens + settings_.floor * (passed / period));
    target.refilled_at = now;
}

void retry_policy::request_started(std::string_view organisation, std::string_view endpoint, time_point now) {
    const auto add = [this](budget& target) {
        target.ratio_tokens = std::min(settings_.max_unused_retries, target.ratio_tokens + settings_.ratio);
    };
    add(budget_of(organisations_, organisation, now));
    add(budget_of(endpoints_, endpoint, now));
}

bool retry_policy::has_retry(const budget& from) noexcept {
    return from.ratio_tokens >= 1.0 || from.floor_tokens >= 1.0;
}

void retry_policy::take_retry(budget& from) noexcept {
    double& tokens = from.ratio_tokens >= 1.0 ? from.ratio_tokens : from.floor_tokens;
    tokens -= 1.0;
}

retry_verdict retry_policy::decide(const failed_attempt& failed, time_point now) {
    if (failed.streamed) {
        return retry_verdict::streamed;
    }
    if (!failed.idempotent && failed.forwarded) {
        return retry_verdict::outcome_unknown;
    }
    if (time_left(failed.deadline, now) < settings_.minimum_time_left) {
        return retry_verdict::deadline;
    }
    if (failed.attempts >= settings_.max_attempts) {
        return retry_verdict::too_many_attempts;
    }
    budget& organisation = budget_of(organisations_, failed.organisation, now);
    budget& endpoint = budget_of(endpoints_, failed.endpoint, now);
    if (!has_retry(organisation) || !has_retry(endpoint)) {
        return retry_verdict::no_budget;
    }
    take_retry(organisation);
    take_retry(endpoint);
    return retry_verdict::retry;
}

duration retry_policy::time_left(time_point deadline, time_point now) {
    return std::max(duration::zero(), deadline - now);
}

} // namespace samphiretray::routing

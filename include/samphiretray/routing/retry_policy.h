#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphiretray::routing {

struct retry_settings {
    /// Retries as a part of requests, for each organisation and for each endpoint.
    double ratio = 0.1;
    /// Retries allowed besides, so that an organisation with few requests can retry at all.
    double floor = 3.0;
    /// The floor is refilled in this time.
    duration floor_period = 10s;
    /// Most retries that may be saved up.
    double max_saved = 50.0;
    std::uint32_t max_attempts = 3;
    /// A retry with less time left is not worth its cost.
    duration minimum_time_left = 20ms;
};

/// A failed attempt, as the entry sees it.
struct failed_attempt {
    std::string_view organisation;
    /// The endpoint that failed.
    std::string_view endpoint;
    /// Attempts made so far, with the failed one.
    std::uint32_t attempts = 1;
    time_point deadline;
    /// True if running the call twice does no harm.
    bool idempotent = true;
    /// True unless it is certain that no byte was written to the endpoint.
    bool forwarded = true;
    /// True once a byte of the answer went to the caller.
    bool streamed = false;
};

enum class retry_verdict { retry, streamed, outcome_unknown, deadline, too_many_attempts, no_budget };

/// Decides whether a failed attempt is repeated.
class retry_policy {
public:
    explicit retry_policy(retry_settings settings);

    /// Replaces the settings; budgets are cut to the new floor and keep what else they have.
    void set_settings(retry_settings settings);

    /// Adds to the budgets. Called for the first attempt of every request.
    void request_started(std::string_view organisation, std::string_view endpoint, time_point now);

    /// Takes from the budgets if the verdict is `retry`.
    [[nodiscard]] retry_verdict decide(const failed_attempt& failed, time_point now);

    /// Time left for the next attempt, as propagated in `request_open.deadline_ms`.
    [[nodiscard]] static duration time_left(time_point deadline, time_point now);

private:
    struct budget {
        double saved = 0.0;
        double floor = 0.0;
        time_point refilled;
    };

    budget& budget_of(std::unordered_map<std::string, budget>& budgets, std::string_view name,
                      time_point now);
    void refill(budget& target, time_point now) const;
    static bool has_retry(const budget& from) noexcept;
    static void take_retry(budget& from) noexcept;

    retry_settings settings_;
    std::unordered_map<std::string, budget> organisations_;
    std::unordered_map<std::string, budget> endpoints_;
};

} // namespace samphiretray::routing

namespace samphiretray {

template <>
inline constexpr auto name_table<routing::retry_verdict> =
    std::to_array<std::pair<routing::retry_verdict, std::string_view>>({
        {routing::retry_verdict::retry, "retry"},
        {routing::retry_verdict::streamed, "streamed"},
        {routing::retry_verdict::outcome_unknown, "outcome_unknown"},
        {routing::retry_verdict::deadline, "deadline"},
        {routing::retry_verdict::too_many_attempts, "too_many_attempts"},
        {routing::retry_verdict::no_budget, "no_budget"},
    });

} // namespace samphiretray

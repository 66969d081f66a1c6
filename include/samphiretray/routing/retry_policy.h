#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphiretray::routing {

struct retry_settings {
    /// Retries allowed per request, for each organisation and for each endpoint.
    double ratio = 0.1;
    /// Retries allowed in each `floor_period` in addition, so that an organisation with few requests can
    /// retry at all.
    double floor = 3.0;
    duration floor_period = 10s;
    /// Maximum number of unused retries that accumulate through `ratio`.
    double max_unused_retries = 50.0;
    std::uint32_t max_attempts = 3;
    /// With less time than this until the deadline, a failed attempt is not retried.
    duration minimum_time_left = 20ms;
};

/// A failed attempt, as seen by the entry.
struct failed_attempt {
    std::string_view organisation;
    /// The endpoint that failed.
    std::string_view endpoint;
    /// Attempts made so far, including the failed one.
    std::uint32_t attempts = 1;
    time_point deadline;
    /// True if the call may safely run twice.
    bool idempotent = true;
    /// True unless certainly no byte was written to the endpoint.
    bool forwarded = true;
    /// True if at least one byte of the answer was sent to the caller.
    bool streamed = false;
};

enum class retry_verdict { retry, streamed, outcome_unknown, deadline, too_many_attempts, no_budget };

/// Decides whether a failed attempt is retried, within a retry budget for each organisation and endpoint.
class retry_policy {
public:
    explicit retry_policy(retry_settings settings);

    /// Replaces the settings. Budgets keep their unused retries up to the new limits.
    void set_settings(retry_settings settings);

    /// Adds `retry_settings::ratio` to both budgets. Called for the first attempt of every request.
    void request_started(std::string_view organisation, std::string_view endpoint, time_point now);

    /// Takes one retry from both budgets if the verdict is `retry`.
    [[nodiscard]] retry_verdict decide(const failed_attempt& failed, time_point now);

    /// Time left for the next attempt, as propagated in `request_open.deadline_ms`.
    [[nodiscard]] static duration time_left(time_point deadline, time_point now);

private:
    /// Unused retries of an organisation or endpoint, as two token buckets.
    struct budget {
        /// Filled by requests through `retry_settings::ratio`.
        double ratio_tokens = 0.0;
        /// Refilled over time, up to `retry_settings::floor`.
        double floor_tokens = 0.0;
        time_point refilled_at;
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

#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::rate {

struct fleet_rate_limiter_settings {
    /// A peer counts as silent if it has not reported for longer than this, or than
    /// `silence_report_intervals` of its report intervals if that is longer. A silent peer is assumed to
    /// spend at least an equal share of each rate. The default is three times the report interval of a fleet
    /// with few peers.
    duration silence_timeout = 1500ms;
    std::uint32_t silence_report_intervals = 2;
    /// Weight of the newest report in the moving average of a peer's spending rate.
    double rate_smoothing = 0.4;
    /// Between two reports, a peer is assumed to have spent at least this fraction of what this process has
    /// spent: a surge in demand reaches all entries before any of them has reported it.
    double min_estimate_ratio = 0.5;
    /// Fraction of the burst at which a request of any size is admitted.
    double admission_burst_fraction = 0.5;
    /// Upper bound of the wait that a refused caller is told.
    duration max_retry_after = 8s;
};

/// Tokens that one process has spent on requests of an organisation since it started.
struct spent_tokens {
    std::string organisation;
    double tokens = 0;
};

/// Enforces the organisations' rate limits across all entries without a central counter. Each entry keeps a
/// copy of every organisation's fleet-wide token bucket. It charges its own requests to the copy at once and
/// the peers' requests when their reports arrive; between reports it charges an estimate from the peer's
/// previous rate. Buckets start empty, so that a restart never grants a burst twice.
class fleet_rate_limiter {
public:
    explicit fleet_rate_limiter(fleet_rate_limiter_settings settings) : settings_(settings) {}

    /// A rate of 0 is unlimited.
    void set_limits(const std::string& organisation, bucket_limits limits, time_point now);
    /// Removes the limits of all organisations but these.
    void retain(const std::vector<std::string>& organisations);
    /// Replaces the list of the other entries.
    void set_peers(const std::vector<std::string>& peers, time_point now);

    /// Time between two reports of one peer, which grows with the number of peers.
    void set_report_interval(duration interval) { report_interval_ = interval; }

    /// Charges `tokens` and returns nothing, or returns the estimated wait until the request can be admitted.
    /// A request may cost more than the burst: it is admitted once the level covers its cost or reaches
    /// `admission_burst_fraction` of the burst, and leaves a debt that later refills repay.
    [[nodiscard]] std::optional<duration> take(const std::string& organisation, double tokens,
                                               time_point now);
    /// Tokens in the bucket; negative while a debt is repaid.
    [[nodiscard]] double level(const std::string& organisation) const;
    /// Refunds the tokens of a request that did not run.
    void refund(const std::string& organisation, double tokens);

    /// Applies a peer's report of its total spending. `incarnation` changes when the peer restarts; its
    /// totals then begin at zero.
    void on_peer_report(const std::string& peer, std::string_view incarnation,
                        const std::vector<spent_tokens>& spent, time_point now);
    /// This process's own total spending, to be reported to the peers.
    [[nodiscard]] std::vector<spent_tokens> spent() const;
    /// Number of peers that are not silent.
    [[nodiscard]] std::size_t active_peer_count(time_point now) const;

private:
    struct peer_spending {
        /// Total of the last report.
        double reported_total = 0;
        /// Moving average in tokens per second.
        double rate = 0;
        /// Estimated spending since the last report, already charged to the bucket.
        double estimated = 0;
        /// What this process itself had spent when the last report arrived.
        double own_spent_at_report = 0;
    };
    struct peer_state {
        std::string incarnation;
        /// Initially the time when the peer was added.
        time_point last_report_at;
        std::map<std::string, peer_spending> spending;
    };
    struct organisation_bucket {
        bucket_limits limits;
        /// Negative while a debt is repaid from refills.
        double level = 0;
        time_point refilled_at;
        double spent = 0;
    };

    [[nodiscard]] bool is_silent(const peer_state& peer, time_point now) const;
    void charge_estimated_spending(peer_state& peer, time_point now);
    static void charge(organisation_bucket& bucket, double tokens);
    static void refill(organisation_bucket& bucket, time_point now);

    fleet_rate_limiter_settings settings_;
    duration report_interval_{0};
    std::map<std::string, organisation_bucket> buckets_;
    std::map<std::string, peer_state> peers_;
};

} // namespace samphiretray::rate

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

struct usage_settings {
    /// A peer that was not heard of for this long, or for `missed_reports` intervals between two of its
    /// reports if that is longer, is taken to spend its even part of each rate. Three times the interval of a
    /// few peers.
    duration silence = 1500ms;
    std::uint32_t missed_reports = 2;
    /// Weight of the newest interval in a peer's rate of spending.
    double rate_step = 0.4;
    /// Between two reports, a peer is taken to have spent at least this part of what this process has: demand
    /// that jumps does so at all entries, before any has told the others.
    double expected_part = 0.5;
    /// Part of the burst with which a request of any size is admitted.
    double full_part = 0.5;
    /// Longest wait that a refused caller is told.
    duration max_wait = 8s;
};

/// Tokens that one process has spent for an organisation since it started.
struct spent_tokens {
    std::string organisation;
    double tokens = 0;
};

/// Holds organisations to their rates over all entries without a central counter: each entry keeps the
/// fleet's bucket, takes its own requests from it at once and the peers' when it hears of them. Between
/// reports a peer is taken to spend as before. Buckets start empty, so that a restart never grants a burst
/// twice.
class fleet_usage {
public:
    explicit fleet_usage(usage_settings settings) : settings_(settings) {}

    /// A rate of 0 is unlimited. Organisations that are not set any more are forgotten by `retain`.
    void set_limits(const std::string& organisation, bucket_limits limits, time_point now);
    void retain(const std::vector<std::string>& organisations);
    /// The other entries.
    void set_peers(const std::vector<std::string>& peers, time_point now);

    /// Time between two reports of one peer, which grows with their number.
    void set_report_interval(duration interval) { report_interval_ = interval; }

    /// Takes `tokens`, or gives the time after which they should be there. A request may cost more than the
    /// burst: it needs `full_part` of the burst or its own cost, and leaves a debt that later ones pay.
    [[nodiscard]] std::optional<duration> take(const std::string& organisation, double tokens,
                                               time_point now);
    /// Tokens that are there, less what is owed.
    [[nodiscard]] double level(const std::string& organisation) const;
    /// Returns tokens of a request that did not run.
    void put_back(const std::string& organisation, double tokens);

    /// A peer's report. `incarnation` changes when the peer restarts; its counts then begin at zero.
    void observe(const std::string& peer, std::string_view incarnation,
                 const std::vector<spent_tokens>& spent, time_point now);
    /// What this process has spent, for the peers.
    [[nodiscard]] std::vector<spent_tokens> spent() const;
    /// Peers that were heard of within the silence limit.
    [[nodiscard]] std::size_t heard_peers(time_point now) const;

private:
    struct peer_spending {
        double counted = 0;
        /// Tokens a second.
        double rate = 0;
        /// Taken from the bucket ahead of the next report.
        double assumed = 0;
        /// What this process itself had spent when it last heard of the peer.
        double own_spent = 0;
    };
    struct peer {
        std::string incarnation;
        time_point heard_at;
        std::map<std::string, peer_spending> spending;
    };
    struct account {
        bucket_limits limits;
        /// Below zero while a debt is paid from what flows in.
        double level = 0;
        time_point refilled_at;
        double spent = 0;
    };

    [[nodiscard]] bool is_silent(const peer& of, time_point now) const;
    void assume_spending(peer& of, time_point now);
    static void charge(account& of, double tokens);
    static void refill(account& of, time_point now);

    usage_settings settings_;
    duration report_interval_{0};
    std::map<std::string, account> accounts_;
    std::map<std::string, peer> peers_;
};

} // namespace samphiretray::rate

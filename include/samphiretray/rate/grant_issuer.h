#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphiretray::rate {

/// Longest validity of a grant. A new issuer starts this long after the previous one can no longer act, when
/// its grants have expired.
inline constexpr duration grant_validity = 2s;

/// Demand of the holders of a region.
struct region_demand {
    double tokens_per_second = 0;
    /// Largest single reservation that was recently waiting; the region's burst must cover it.
    double largest_reservation = 0;
};

/// The token bucket of one organisation in one region, held by the entry with the duty
/// `duty/<region>/rate-<shard>`.
///
/// Each holder has one account: the tokens that it may still spend, with one expiry that each grant renews.
/// The level plus the tokens of all accounts never exceeds the region's burst, so over any window the region
/// spends at most burst + rate × window. The caller decides from the lease and the contact state whether this
/// process may act.
class grant_issuer {
public:
    /// Starts from an empty bucket and grants tokens from `grants_from` on. After a fail-over, `grants_from`
    /// is at least `grant_validity` after the previous issuer could last act. Each new term of the duty needs
    /// a new object.
    grant_issuer(std::string organisation, bucket_limits limits, time_point grants_from);

    /// Sets the region's share of the organisation's rate and burst.
    void set_limits(bucket_limits limits, time_point now);

    /// Answers a holder's request. `holder` identifies a process start (name and incarnation). If
    /// `may_issue` is false, the reply has `issuer` false; before `grants_from` it has no tokens. A request
    /// whose round is not newer than the holder's last one gets no tokens and changes nothing.
    [[nodiscard]] wire::grant_reply answer(std::string_view holder, const wire::grant_request& request,
                                           bool may_issue, time_point now);

    /// True once the level and the tokens of all accounts fit the limits, so that a lowered share may be
    /// written to the record. False before `grants_from`, while grants of the previous issuer may be in use.
    [[nodiscard]] bool within_limits(time_point now);

    [[nodiscard]] region_demand demand(time_point now);
    [[nodiscard]] double level() const noexcept { return bucket_.level(); }
    /// Tokens that holders may still spend.
    [[nodiscard]] double outstanding() const noexcept { return outstanding_; }

private:
    struct holder_account {
        std::uint64_t round = 0;
        double held = 0;
        double demand = 0;
        /// Tokens set aside for the holder while it waits; 0 if it does not wait.
        double set_aside = 0;
        time_point waiting_since;
        time_point expires;
        time_point last_request_at;
    };

    void advance(time_point now);
    [[nodiscard]] holder_account* first_expired(time_point now);
    void settle(holder_account& account, const wire::grant_request& request);
    [[nodiscard]] double demand_share(const holder_account& account) const;
    [[nodiscard]] double set_aside_for_others(const holder_account& account) const;
    [[nodiscard]] std::uint64_t choose_grant(const holder_account& account,
                                             const wire::grant_request& request) const;
    void update_waiting(holder_account& account, const wire::grant_request& request, std::uint64_t granted);
    void apply_grant(holder_account& account, std::uint64_t tokens);
    void record_net_grant(double tokens);
    [[nodiscard]] duration validity() const;
    [[nodiscard]] std::uint32_t retry_after_ms(const holder_account& account) const;

    std::string organisation_;
    time_point grants_from_;
    time_point now_;
    token_bucket bucket_;
    double outstanding_ = 0;
    /// Moving average of the tokens granted and not returned, per second.
    double net_grant_rate_ = 0;
    time_point net_grant_rate_at_;
    double largest_reservation_ = 0;
    time_point largest_reservation_at_;
    std::map<std::string, holder_account, std::less<>> accounts_;
};

} // namespace samphiretray::rate

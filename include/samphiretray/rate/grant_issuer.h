#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace samphiretray::rate {

/// Longest validity of a grant. A new issuer starts this long after the old one can no longer act.
inline constexpr duration grant_validity = 2s;

/// What the holders of a region ask for.
struct region_demand {
    double tokens_per_second = 0;
    /// Largest single reservation asked for lately; the region's burst must cover it.
    double largest_reservation = 0;
};

/// The bucket of one organisation in one region, held by the entry with the duty `rate/<region>/<shard>`.
///
/// Each holder has one account: the tokens that it may still spend, with one expiry that each reply renews.
/// Level plus accounts never exceed the region's burst, so over any window the region spends at most burst +
/// rate × window. The caller decides whether this process may act (lease and contact state).
class grant_issuer {
public:
    /// Starts from an empty bucket and answers from `act_from` on. After a fail-over `act_from` is at least
    /// `grant_validity` after the previous issuer could last act. For a new duty term create a new object.
    grant_issuer(std::string organisation, bucket_limits limits, time_point act_from);

    /// Sets the region's part of the organisation's rate and burst.
    void set_limits(bucket_limits limits, time_point now);

    /// Answers a holder's request. `holder` identifies a process start (name and incarnation). With `may_act`
    /// false, or before `act_from`, the reply has `issuer` false or `tokens` 0. A request that is not newer
    /// than the holder's last one is answered with no tokens and changes nothing.
    [[nodiscard]] wire::grant_reply answer(std::string_view holder, const wire::grant_request& request,
                                           bool may_act, time_point now);

    /// True once level and accounts fit the limits, so that a lowered part may be published. False before
    /// `act_from`, while grants of the previous issuer may be in use.
    [[nodiscard]] bool within_limits(time_point now);

    [[nodiscard]] region_demand demand(time_point now);
    [[nodiscard]] double level() const noexcept { return bucket_.level(); }
    /// Tokens that holders may still spend.
    [[nodiscard]] double outstanding() const noexcept { return outstanding_; }

private:
    struct account {
        std::uint64_t round = 0;
        double held = 0;
        double demand = 0;
        /// Tokens set aside for the holder's next turn; 0 if it does not wait.
        double lacking = 0;
        time_point waiting_since;
        time_point expires;
        time_point seen;
    };

    void advance(time_point now);
    [[nodiscard]] account* first_ended(time_point now);
    void settle(account& of, const wire::grant_request& request);
    [[nodiscard]] double share_of(const account& of) const;
    [[nodiscard]] double promised_to_others(const account& of) const;
    [[nodiscard]] std::uint64_t choose_grant(const account& of, const wire::grant_request& request) const;
    void note_waiting(account& of, const wire::grant_request& request, std::uint64_t granted);
    void give(account& of, std::uint64_t tokens);
    void count_use(double tokens);
    [[nodiscard]] duration validity() const;
    [[nodiscard]] std::uint32_t retry_after_ms(const account& of) const;

    std::string organisation_;
    time_point act_from_;
    time_point now_;
    token_bucket bucket_;
    double outstanding_ = 0;
    /// Tokens granted and not returned, a second.
    double use_ = 0;
    time_point use_at_;
    double largest_ = 0;
    time_point largest_at_;
    std::map<std::string, account, std::less<>> accounts_;
};

} // namespace samphiretray::rate

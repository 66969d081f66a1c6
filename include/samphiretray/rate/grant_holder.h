#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::rate {

struct grant_holder_options {
    /// Time of observed demand below which more tokens are asked for; several round trips in a region.
    duration low_water = 100ms;
    /// Time of observed demand that an exchange brings the share to.
    duration target = 250ms;
    /// A request without a reply after this time is abandoned; its late reply is dropped.
    duration reply_timeout = 250ms;
    /// Wait before asking again after a reply without tokens or from a peer that is not the issuer.
    duration retry = 20ms;
    /// Longest such wait, whatever the issuer estimates.
    duration max_retry = 500ms;
    /// Reservations that wait at most; more are refused.
    std::size_t max_waiting = 10'000;
};

enum class reserve_result {
    /// The tokens are reserved.
    granted,
    /// Decided later, see `take_decisions`.
    waiting,
    /// Too many wait.
    refused,
};

/// The late answer to a waiting reservation; `granted` is false if its deadline passed.
struct reservation_decision {
    std::uint64_t id = 0;
    bool granted = false;
};

/// The share of one organisation's tokens that one entry may spend.
///
/// Call `next_request` after every other call and at `wake_at`; send what it returns to the issuer at once,
/// since its validity counts from `now`. One request is in flight at a time.
class grant_holder {
public:
    /// `last_round` is the last round of an earlier object of this process for the organisation, if there was
    /// one: the issuer ignores rounds that are not newer.
    explicit grant_holder(std::string organisation, grant_holder_options options = {},
                          std::uint64_t last_round = 0);

    /// Reserves `bound` tokens for request `id`, or waits for them in order of arrival until `deadline`.
    [[nodiscard]] reserve_result reserve(std::uint64_t id, std::uint64_t bound, time_point deadline,
                                         time_point now);
    /// Ends a reservation with the real count. Less than the bound is spendable again if the grant it came
    /// from is still valid; more is carried as debt that later grants pay first. Unknown ids are ignored.
    void settle(std::uint64_t id, std::uint64_t used, time_point now);
    /// Withdraws a waiting reservation. A granted one is settled with 0 instead.
    void withdraw(std::uint64_t id);

    /// The request to send now, if one is due.
    [[nodiscard]] std::optional<wire::grant_request> next_request(time_point now);
    /// Takes a reply. Replies to other than the request in flight are dropped.
    void on_reply(const wire::grant_reply& reply, time_point now);
    /// The request with this round was not delivered.
    void on_send_failed(std::uint64_t round, time_point now);
    /// Gives back all unused tokens, for a planned stop. Later reservations are refused.
    [[nodiscard]] std::optional<wire::grant_request> return_all(time_point now);

    /// Decisions on waiting reservations since the last call, in order of arrival.
    [[nodiscard]] std::vector<reservation_decision> take_decisions(time_point now);
    /// When `take_decisions` and `next_request` must be called again at the latest; nothing if idle.
    [[nodiscard]] std::optional<time_point> wake_at() const;

    [[nodiscard]] std::uint64_t available(time_point now);
    [[nodiscard]] std::uint64_t debt() const noexcept { return debt_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] std::uint64_t last_round() const noexcept { return round_; }
    /// Observed demand in tokens a second.
    [[nodiscard]] double demand(time_point now);
    /// How long a caller that is refused now should wait, as the issuer estimated.
    [[nodiscard]] duration retry_after() const noexcept { return retry_after_; }

private:
    struct waiting_reservation {
        std::uint64_t id = 0;
        std::uint64_t bound = 0;
        time_point deadline;
    };
    struct granted_reservation {
        std::uint64_t bound = 0;
        /// True while unused tokens of the reservation are spendable again.
        bool refundable = false;
    };
    struct refundable {
        std::uint64_t id = 0;
        time_point until;
    };
    struct in_flight_request {
        std::uint64_t round = 0;
        time_point sent;
    };

    void advance(time_point now);
    void end_refund(std::uint64_t id);
    void observe(std::uint64_t tokens, time_point now);
    void decay_demand(time_point now);
    void pay_debt();
    void serve_waiting(time_point now);
    void refuse_expired(time_point now);
    void grant(std::uint64_t id, std::uint64_t bound, time_point now);
    [[nodiscard]] std::uint64_t target_tokens(duration span) const;
    [[nodiscard]] std::uint64_t surplus(std::uint64_t wanted, std::uint64_t target) const;
    [[nodiscard]] bool request_due(time_point now) const;
    [[nodiscard]] time_point renew_at() const;
    [[nodiscard]] wire::grant_request make_request(time_point now);

    std::string organisation_;
    grant_holder_options options_;
    std::uint64_t available_ = 0;
    /// Bounds of the reservations that are still refundable.
    std::uint64_t refundable_tokens_ = 0;
    std::uint64_t debt_ = 0;
    std::uint64_t waiting_tokens_ = 0;
    time_point expires_;
    duration validity_ = 0us;
    double demand_ = 0;
    time_point demand_at_;
    double last_size_ = 0;
    double typical_size_ = 0;
    time_point earliest_deadline_ = time_point::max();
    std::uint64_t round_ = 0;
    std::optional<in_flight_request> in_flight_;
    time_point next_ask_;
    duration retry_after_ = 0us;
    bool last_reply_empty_ = false;
    bool peer_refused_ = false;
    bool stopped_ = false;
    std::deque<waiting_reservation> waiting_;
    std::unordered_map<std::uint64_t, granted_reservation> granted_;
    std::deque<refundable> refundable_;
    std::vector<reservation_decision> decisions_;
};

} // namespace samphiretray::rate

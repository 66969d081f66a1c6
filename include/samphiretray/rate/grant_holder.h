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
    /// More tokens are requested once the available ones cover less than this time of the observed demand.
    /// Several round trips within a region.
    duration low_watermark = 100ms;
    /// Time of the observed demand that the tokens should cover after a request.
    duration target = 250ms;
    /// A request without a reply after this time is abandoned; a late reply to it is dropped.
    duration reply_timeout = 250ms;
    /// Delay before the next request after a failed send, a reply without tokens, or a reply from a peer that
    /// is not the issuer.
    duration retry_interval = 20ms;
    /// Upper bound of that delay, whatever the issuer's estimate.
    duration max_retry_interval = 500ms;
    /// Largest number of waiting reservations; further ones are refused.
    std::size_t max_waiting = 10'000;
};

enum class reserve_result {
    /// The tokens are reserved.
    granted,
    /// Will be decided later, see `take_decisions`.
    waiting,
    /// Too many reservations wait, the deadline has passed, or the holder was stopped.
    refused,
};

/// The decision on a waiting reservation. `granted` is false if its deadline passed or the holder was
/// stopped.
struct reservation_decision {
    std::uint64_t id = 0;
    bool granted = false;
};

/// Leases an organisation's tokens from the issuer of the region and reserves them for the requests of one
/// entry.
///
/// Call `next_request` after every other call and at `wake_at`; send what it returns to the issuer at once,
/// since the grant's validity counts from `now`. One request is in flight at a time.
class grant_holder {
public:
    /// `last_round` is the last round of an earlier holder of this process for the same organisation, if
    /// there was one: the issuer ignores requests whose round is not newer.
    explicit grant_holder(std::string organisation, grant_holder_options options = {},
                          std::uint64_t last_round = 0);

    /// Reserves `bound` tokens, the most that request `id` can use, or queues it until `deadline`. Queued
    /// reservations are granted in order of arrival.
    [[nodiscard]] reserve_result reserve(std::uint64_t id, std::uint64_t bound, time_point deadline,
                                         time_point now);
    /// Ends a reservation with the actual token count. Unused tokens become available again if their grant is
    /// still valid; tokens used beyond the bound become a debt that later grants repay first. Unknown ids are
    /// ignored.
    void settle(std::uint64_t id, std::uint64_t used, time_point now);
    /// Cancels a waiting reservation. To cancel a granted one, settle it with 0.
    void cancel_waiting(std::uint64_t id);

    /// The request to send now, if one is due.
    [[nodiscard]] std::optional<wire::grant_request> next_request(time_point now);
    /// Applies a reply. Replies to any request but the one in flight are dropped.
    void on_reply(const wire::grant_reply& reply, time_point now);
    /// Reports that the request with this round was not delivered.
    void on_send_failed(std::uint64_t round, time_point now);
    /// Stops the holder for a planned shutdown: refuses waiting and later reservations, and returns the
    /// request that gives all unused tokens back, if there are any.
    [[nodiscard]] std::optional<wire::grant_request> return_all(time_point now);

    /// Decisions on waiting reservations since the last call, in order of arrival.
    [[nodiscard]] std::vector<reservation_decision> take_decisions(time_point now);
    /// When `take_decisions` and `next_request` must be called again at the latest; empty if idle.
    [[nodiscard]] std::optional<time_point> wake_at() const;

    [[nodiscard]] std::uint64_t available(time_point now);
    [[nodiscard]] std::uint64_t debt() const noexcept { return debt_; }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] std::uint64_t last_round() const noexcept { return round_; }
    /// Observed demand in tokens per second.
    [[nodiscard]] double demand(time_point now);
    /// The issuer's last estimate of how long a refused caller should wait.
    [[nodiscard]] duration retry_after() const noexcept { return retry_after_; }

private:
    struct waiting_reservation {
        std::uint64_t id = 0;
        std::uint64_t bound = 0;
        time_point deadline;
    };
    struct granted_reservation {
        std::uint64_t bound = 0;
        /// True while unused tokens of the reservation can become available again.
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

    void expire_grants(time_point now);
    void end_refund(std::uint64_t id);
    void record_reservation(std::uint64_t tokens, time_point now);
    void decay_demand(time_point now);
    void pay_debt();
    void serve_waiting(time_point now);
    void refuse_expired(time_point now);
    void grant(std::uint64_t id, std::uint64_t bound, time_point now);
    [[nodiscard]] std::uint64_t buffer_tokens(duration span) const;
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
    double last_reservation_size_ = 0;
    double mean_reservation_size_ = 0;
    time_point earliest_deadline_ = time_point::max();
    std::uint64_t round_ = 0;
    std::optional<in_flight_request> in_flight_;
    time_point next_request_at_;
    duration retry_after_ = 0us;
    bool last_reply_empty_ = false;
    bool peer_is_not_issuer_ = false;
    bool stopped_ = false;
    std::deque<waiting_reservation> waiting_;
    std::unordered_map<std::uint64_t, granted_reservation> granted_;
    std::deque<refundable> refundable_;
    std::vector<reservation_decision> decisions_;
};

} // namespace samphiretray::rate

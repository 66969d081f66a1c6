#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/rate/token_bucket.h"
#include "samphiretray/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::control {

struct load_permit_issuer_options {
    /// Limit of loads in flight in the whole fleet. If it is 2 or more, one is reserved for priority
    /// customers.
    std::uint32_t max_in_flight = 8;
    double loads_per_second = 2.0;
    /// Number of loads that may start at once after a pause. If it is 2 or more, one is reserved for priority
    /// customers.
    double burst = 2.0;
    /// A permit expires after this time unless `permit_done` ends it.
    duration validity = 5s;
    /// Time within which the holder must start the load, counted from when it sent the granted request. The
    /// rest of the validity is for the load itself.
    duration start_within = 2s;
    /// A waiting request that is not repeated within this time is dropped.
    duration request_timeout = 3s;
    /// Limit of the waiting requests that count towards a load's rank. Since rank also grows with age, this
    /// bounds the wait of the other loads.
    std::uint32_t max_counted_waiting = 32;
    /// Increase of the rank per second of age. Each waiting request adds 1.
    double rank_per_second = 8.0;
    /// Limit of the requests that wait; further ones are refused.
    std::size_t max_waiting = 10'000;
};

/// A reply and the holder to send it to.
struct permit_answer {
    std::string holder;
    wire::permit_reply reply;
};

/// Schedules adapter loads for the whole fleet, on the entry with the duty `loads`.
///
/// Call `take_answers` after every other call and at `wake_at`. A holder repeats a waiting request every
/// second with a new round, starts the load only if the reply arrives within `valid_ms` of sending that
/// round, and sends `permit_done` after the load, or at once if it no longer wants to load.
class load_permit_issuer {
public:
    /// Grants nothing before `act_from`, and starts from an empty bucket. After a fail-over `act_from` is at
    /// least `validity` after the previous holder of the duty could last act, so that its permits have ended.
    load_permit_issuer(load_permit_issuer_options options, time_point act_from);

    /// Handles a request for a load. `holder` identifies a process start. A second request for the same
    /// adapter version and endpoint replaces a waiting one and keeps its age. If the holder already has a
    /// permit for them, a repeated round gets the same permit, and a new round means that the earlier load
    /// has ended.
    void request(std::string_view holder, const wire::permit_request& message, time_point now);
    /// Drops a waiting request. A permit that was granted before the cancellation arrived ends with `done`.
    void cancel(std::string_view holder, std::uint64_t round);
    /// Ends a permit, because its load ended or was not started.
    void done(std::string_view holder, std::uint64_t round);
    /// Drops the requests of a holder whose link closed. Its permits stay until they expire, since the loads
    /// may still be running.
    void on_holder_disconnected(std::string_view holder);

    /// Permits granted and requests refused since the last call. If `may_act` is false, all waiting requests
    /// are answered with `issuer` false.
    [[nodiscard]] std::vector<permit_answer> take_answers(bool may_act, time_point now);
    [[nodiscard]] std::optional<time_point> wake_at(time_point now) const;

    [[nodiscard]] std::size_t in_flight() const noexcept { return permits_.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    struct load_request {
        std::string holder;
        wire::permit_request message;
        time_point waiting_since;
        time_point last_seen;
    };
    struct permit {
        load_request granted;
        time_point expires;
    };

    void expire(time_point now);
    [[nodiscard]] bool may_start(bool priority) const;
    [[nodiscard]] double tokens_needed(bool priority) const;
    [[nodiscard]] double rank(const load_request& ranked, time_point now) const;
    [[nodiscard]] std::vector<load_request>::iterator highest_ranked(time_point now);
    void refuse_all();
    void grant_waiting(time_point now);
    void reply(const load_request& answered, bool granted, bool issuer);

    load_permit_issuer_options options_;
    time_point act_from_;
    rate::token_bucket bucket_;
    std::vector<load_request> waiting_;
    std::vector<permit> permits_;
    std::vector<permit_answer> answers_;
};

} // namespace samphiretray::control

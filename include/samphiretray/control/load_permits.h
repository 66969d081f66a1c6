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

struct load_permits_options {
    /// Loads in flight fleet-wide at most. The last one is kept free for priority customers if there are two.
    std::uint32_t max_in_flight = 8;
    double loads_per_second = 2.0;
    /// Loads that may start at once after a pause. Of two or more, one is kept free for priority customers.
    double burst = 2.0;
    /// A permit without `permit_done` ends after this time.
    duration validity = 5s;
    /// Time within which the holder starts the load, counted by it from sending the request that is granted.
    /// The rest of the validity is for the load itself.
    duration start_within = 2s;
    /// A waiting request that is not repeated within this time is dropped.
    duration request_timeout = 3s;
    /// Waiting requests beyond this count do not raise a load's rank; with age this bounds its wait.
    std::uint32_t waiting_cap = 32;
    /// Rank per second of age; a waiting request counts 1.
    double rank_per_second = 8.0;
    /// Requests that wait at most; further ones are refused.
    std::size_t max_waiting = 10'000;
};

/// A reply and the holder to send it to.
struct permit_answer {
    std::string holder;
    wire::permit_reply reply;
};

/// The fleet-wide schedule of adapter loads, held by the entry with the duty `loads`.
///
/// Call `take_answers` after every other call and at `wake_at`. A holder repeats a waiting request every
/// second with a new round, starts the load only if the reply arrives within `valid_ms` of sending that
/// round, and sends `permit_done` after the load, or at once if it no longer wants it.
class load_permits {
public:
    /// Grants nothing before `act_from`, and starts from an empty bucket. After a fail-over `act_from` is at
    /// least `validity` after the previous holder of the duty could last act, so that its permits have ended.
    load_permits(load_permits_options options, time_point act_from);

    /// A request for a load. `holder` identifies a process start. A second request for the same adapter
    /// version and endpoint replaces a waiting one and keeps its age. The same round again gets the same
    /// permit; a new round of the same holder tells that its earlier load has ended.
    void request(std::string_view holder, const wire::permit_request& asked, time_point now);
    /// Drops a waiting request. A permit that crossed the cancellation ends with `done`.
    void cancel(std::string_view holder, std::uint64_t round);
    /// The load ended or was not started.
    void done(std::string_view holder, std::uint64_t round);
    /// The link to a holder closed: its requests are dropped. Its permits stay until they expire, since the
    /// load may still run.
    void holder_gone(std::string_view holder);

    /// Permits granted and requests refused since the last call. With `may_act` false all waiting requests
    /// are answered with `issuer` false.
    [[nodiscard]] std::vector<permit_answer> take_answers(bool may_act, time_point now);
    [[nodiscard]] std::optional<time_point> wake_at(time_point now) const;

    [[nodiscard]] std::size_t in_flight() const noexcept { return permits_.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }

private:
    struct load {
        std::string holder;
        wire::permit_request asked;
        time_point since;
        time_point seen;
    };
    struct permit {
        load granted;
        time_point expires;
    };

    void advance(time_point now);
    [[nodiscard]] bool may_start(bool priority) const;
    [[nodiscard]] double tokens_needed(bool priority) const;
    [[nodiscard]] double rank(const load& of, time_point now) const;
    [[nodiscard]] std::vector<load>::iterator next(time_point now);
    void refuse_all();
    void grant_waiting(time_point now);
    void reply(const load& to, bool granted, bool issuer);

    load_permits_options options_;
    time_point act_from_;
    rate::token_bucket bucket_;
    std::vector<load> waiting_;
    std::vector<permit> permits_;
    std::vector<permit_answer> answers_;
};

} // namespace samphiretray::control

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/control/contact.h"
#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace samphiretray::control {

struct duty_settings {
    /// Key of the lease, such as "duty/luzon/rate-3" or "endpoint/e17".
    std::string key;
    /// Name of the own VM.
    std::string holder;
    /// Unique for each start of the process.
    std::string incarnation;
    /// Longer than the bound of evidence, so that the lease is still valid when an outage is recognised.
    duration lease = 14s;
    duration renew_interval = 3s;
    /// Own validity ends this long before the service's lease, for clocks that differ in rate.
    duration margin = 500ms;
    /// Pause between attempts while another process holds the lease or calls fail.
    duration retry_interval = 2s;
    /// Time between the acquisition and the first act, unless the predecessor released the lease: the bound
    /// of outage evidence plus the validity of what the predecessor handed out.
    duration takeover_wait = 13s;
    /// The same after a release.
    duration release_wait = 0s;
    /// True if the lease may be taken from a holder that has not lost it. Only for endpoints that refuse
    /// orders with an old fencing number.
    bool seize = false;
};

/// Settings of the duty `duty/<scope>/<name>`.
[[nodiscard]] duty_settings duty_lease(std::string_view scope, std::string_view name, std::string holder,
                                       std::string incarnation);
/// Settings of the lease of an endpoint: 30 s, renewed every 10 s.
[[nodiscard]] duty_settings endpoint_lease(std::string_view endpoint, std::string holder,
                                           std::string incarnation, bool checks_fencing);

struct duty_read {
    std::string key;
};
struct duty_swap {
    ports::swap_request swap;
};
/// A call of the key-value service that a duty asks for. There is at most one at a time; it is answered by
/// `on_read` or `on_swap`.
using duty_action = std::variant<duty_read, duty_swap>;

/// The holder of a lease in the key-value service, with a fencing number.
class duty {
public:
    explicit duty(duty_settings settings);

    /// Takes part in the contest for the lease; without this, nothing is acquired.
    void run_for(time_point now);
    /// Gives the lease up, or stops running for it. `may_act` is false from now on.
    void release(time_point now);
    /// False once a released lease is known to be given up.
    [[nodiscard]] bool is_releasing() const noexcept { return releasing_; }

    /// Call at `next_time` or later; at most one action is under way.
    [[nodiscard]] std::optional<duty_action> on_time(time_point now);
    [[nodiscard]] std::optional<time_point> next_time() const noexcept { return next_time_; }
    [[nodiscard]] std::optional<duty_action> on_read(time_point now,
                                                     const result<ports::versioned_value>& answer);
    [[nodiscard]] std::optional<duty_action> on_swap(time_point now, const result<std::uint64_t>& answer);

    /// Follows the contact state. Call at least once a second and before acting: a holder that was cut off,
    /// or that learns that the service answered after its lease ended, loses the lease.
    void on_contact(time_point now, const contact& evidence);

    /// Whether the holder may act. True while the lease is valid by the own clock. It goes on during an
    /// outage of the key-value service if the lease was valid when the outage began and the holder was never
    /// cut off since, because nobody can take the lease over without the service.
    [[nodiscard]] bool may_act(time_point now, contact_state state) const;
    /// Revision of the acquisition; grows from holder to holder. 0 if the lease is not held.
    [[nodiscard]] std::uint64_t fencing_number() const noexcept { return held_ ? held_->fencing_number : 0; }
    [[nodiscard]] bool is_held() const noexcept { return held_.has_value(); }
    /// Holder named by the last read, if it is another process.
    [[nodiscard]] const std::string& other_holder() const noexcept { return other_holder_; }

private:
    struct holding {
        std::uint64_t fencing_number = 0;
        /// Revision of the last write that is known to have taken effect.
        std::uint64_t revision = 0;
        time_point valid_until;
        time_point acts_from;
    };
    enum class phase { idle, reading, writing };
    struct write {
        std::string value{};
        time_point sent{};
        std::uint64_t expected = 0;
        bool acquires = false;
        bool releases = false;
        /// Time from the acquisition to the first act.
        duration wait{};
    };

    [[nodiscard]] duty_action read();
    /// Fills in value and time.
    [[nodiscard]] duty_action start_write(time_point now, write started);
    /// Decides what to do about a stored lease that is not held here.
    [[nodiscard]] std::optional<duty_action> contest(time_point now, const ports::versioned_value& stored);
    void took_effect(time_point now, const write& done, std::uint64_t revision);

    duty_settings settings_;
    phase phase_ = phase::idle;
    bool running_ = false;
    bool releasing_ = false;
    std::optional<holding> held_;
    /// Writes whose outcome is not known, by value.
    std::map<std::string, write> uncertain_;
    std::optional<write> open_write_;
    std::uint64_t write_count_ = 0;
    /// Revision of the last holding if it was given up for lack of contact. If the lease still has it, nobody
    /// else has held it since, and no wait is needed.
    std::uint64_t lapsed_revision_ = 0;
    std::optional<time_point> next_time_;
    std::string other_holder_;
};

} // namespace samphiretray::control

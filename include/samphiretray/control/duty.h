#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/control/contact_tracker.h"
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
    /// Longer than the age limit of evidence, so that the lease is still valid when an outage is recognised.
    duration lease = 14s;
    duration renew_interval = 3s;
    /// The holder stops relying on the lease this long before the service ends it, to allow for clocks that
    /// run at different rates.
    duration expiry_margin = 500ms;
    /// Delay between attempts while another process holds the lease or calls fail.
    duration retry_interval = 2s;
    /// Time from the acquisition until the holder may act, unless its predecessor released the lease: the age
    /// limit of outage evidence, the time for news of the acquisition to spread, and the validity of what the
    /// predecessor granted.
    duration takeover_wait = 13s;
    /// The same after a release.
    duration release_wait = 0s;
    /// True if the lease may be taken from a holder that still has it. Only for endpoints that refuse orders
    /// with an old fencing number.
    bool allow_preemption = false;
};

/// Settings of the lease with the key `duty/<scope>/<name>`.
[[nodiscard]] duty_settings duty_lease(std::string_view scope, std::string_view name, std::string holder,
                                       std::string incarnation);
/// Settings of the lease of an endpoint, which lasts 30 s and is renewed every 10 s.
[[nodiscard]] duty_settings endpoint_lease(std::string_view endpoint, std::string holder,
                                           std::string incarnation, bool checks_fencing);

struct duty_read {
    std::string key;
};
struct duty_swap {
    ports::swap_request swap;
};
/// A call to the key-value service that the caller must make for a duty. At most one is pending at a time;
/// its result is passed to `on_read` or `on_swap`.
using duty_action = std::variant<duty_read, duty_swap>;

/// Acquires, renews and releases a lease in the key-value service, with a fencing number. A duty is the task
/// that only the holder of its lease may perform.
class duty {
public:
    explicit duty(duty_settings settings);

    /// Starts to contend for the lease; without this call it is not acquired.
    void campaign(time_point now);
    /// Releases the lease, or stops contending for it. `may_act` is false from now on.
    void release(time_point now);
    /// True from `release` until the lease is known to be released.
    [[nodiscard]] bool is_releasing() const noexcept { return releasing_; }

    /// Call at `next_time` or later. Returns nothing while an action is pending.
    [[nodiscard]] std::optional<duty_action> on_time(time_point now);
    [[nodiscard]] std::optional<time_point> next_time() const noexcept { return next_time_; }
    [[nodiscard]] std::optional<duty_action> on_read(time_point now,
                                                     const result<ports::versioned_value>& answer);
    [[nodiscard]] std::optional<duty_action> on_swap(time_point now, const result<std::uint64_t>& answer);

    /// Updates the lease by the contact state. Call at least once a second and before acting. After the lease
    /// has ended by the local clock, the holder loses it if it is cut off, or if it learns that the service
    /// has answered since.
    void on_contact(time_point now, const contact_tracker& contact);

    /// Whether the holder may act. It may while the lease is valid by the local clock. It may continue during
    /// an outage of the key-value service if the lease was valid when the outage began and the holder has
    /// never been cut off since, because no other process can acquire the lease without the service.
    [[nodiscard]] bool may_act(time_point now, contact_state state) const;
    /// Revision of the acquisition, which grows from holder to holder. 0 if the lease is not held.
    [[nodiscard]] std::uint64_t fencing_number() const noexcept { return held_ ? held_->fencing_number : 0; }
    [[nodiscard]] bool is_held() const noexcept { return held_.has_value(); }
    /// Name of the holder in the last read if it is another process, or empty.
    [[nodiscard]] const std::string& other_holder() const noexcept { return other_holder_; }

private:
    struct held_lease {
        std::uint64_t fencing_number = 0;
        /// Revision of the last write that is known to have taken effect.
        std::uint64_t revision = 0;
        time_point valid_until;
        time_point may_act_from;
    };
    enum class phase { idle, reading, writing };
    struct write {
        std::string value{};
        time_point sent{};
        std::uint64_t expected = 0;
        bool acquires = false;
        bool releases = false;
        /// Time from the acquisition until the holder may act.
        duration action_delay{};
    };

    [[nodiscard]] duty_action read();
    /// Sets the value and the time of the write and makes it the open one.
    [[nodiscard]] duty_action start_write(time_point now, write started);
    /// Decides whether to acquire a stored lease that this process does not hold.
    [[nodiscard]] std::optional<duty_action> try_acquire(time_point now,
                                                         const ports::versioned_value& stored);
    void on_write_applied(time_point now, const write& done, std::uint64_t revision);

    duty_settings settings_;
    phase phase_ = phase::idle;
    bool is_contending_ = false;
    bool releasing_ = false;
    std::optional<held_lease> held_;
    /// Writes whose outcome is not known, by value.
    std::map<std::string, write> writes_in_doubt_;
    std::optional<write> open_write_;
    std::uint64_t write_count_ = 0;
    /// Last revision of a lease that was lost for lack of contact. If the stored lease still has this
    /// revision, no other process has held it since, and no wait is needed.
    std::uint64_t lost_revision_ = 0;
    std::optional<time_point> next_time_;
    std::string other_holder_;
};

} // namespace samphiretray::control

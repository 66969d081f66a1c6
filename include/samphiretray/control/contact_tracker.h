#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>

namespace samphiretray::control {

enum class contact_state {
    /// There is recent evidence that the configuration in force is the newest one.
    fresh,
    /// The watchers of every region recently reported failed calls to the key-value service, and none an
    /// answer.
    service_down,
    /// Neither is the case; keyed routes are refused.
    cut_off,
};

struct contact_settings {
    std::string region;
    /// Largest age at which evidence counts as recent.
    duration max_evidence_age = 10s;
};

/// Tracks evidence of contact with the key-value service, and of its outages.
///
/// A piece of evidence is dated by the local clock: the time before sending the call or pull that brought it,
/// less the age in the reply. Pauses and delays can therefore make it look older than it is, but never newer.
class contact_tracker {
public:
    explicit contact_tracker(contact_settings settings);

    /// Adds regions that have entries. A region stays known for the lifetime of the process, because a region
    /// that is cut off may also be missing from the VM list.
    void set_regions(std::span<const std::string> regions);

    /// A call of this process's own watcher, sent at `sent`, succeeded and showed `revision` as the newest
    /// one (`replica::effective_revision`).
    void on_own_success(time_point sent, std::uint64_t revision);
    /// Any other call of this process to the key-value service, sent at `sent`, succeeded. A lease holder
    /// reports its calls here, because the previous holder must learn that the service has answered.
    void on_own_answer(time_point sent);
    /// A call of this process's own watcher, sent at `sent`, failed.
    void on_own_failure(time_point sent);
    /// Adds the evidence in the reply to a pull that was sent at `sent`.
    void on_reply(time_point sent, const wire::state_reply& reply);
    /// `revision` came into force in this process. Evidence of a higher revision counts only once that
    /// revision is in force.
    void on_in_force(std::uint64_t revision);

    /// Age of the newest evidence that the configuration in force was the newest one.
    [[nodiscard]] std::optional<duration> age(time_point now) const;
    /// Time of the newest evidence, from any region, that the key-value service answered.
    [[nodiscard]] std::optional<time_point> newest_answer() const;
    [[nodiscard]] contact_state state(time_point now) const;

    /// Sets the revision, the contact age and the regions of a reply.
    void fill_reply(time_point now, wire::state_reply& reply) const;

private:
    struct region_evidence_times {
        std::optional<time_point> last_answer;
        std::optional<time_point> last_failure;
    };

    void add_evidence(time_point at, std::uint64_t revision);
    [[nodiscard]] bool is_recent(const std::optional<time_point>& at, time_point now) const;

    contact_settings settings_;
    std::uint64_t revision_in_force_ = 0;
    /// Latest time at which the revision in force, or a lower one, was known to be the newest.
    std::optional<time_point> in_force_evidence_;
    /// The same for higher revisions.
    std::map<std::uint64_t, time_point> later_evidence_;
    std::map<std::string, region_evidence_times, std::less<>> regions_;
};

} // namespace samphiretray::control

namespace samphiretray {

template <>
inline constexpr auto name_table<control::contact_state> =
    std::to_array<std::pair<control::contact_state, std::string_view>>({
        {control::contact_state::fresh, "fresh"},
        {control::contact_state::service_down, "service_down"},
        {control::contact_state::cut_off, "cut_off"},
    });

} // namespace samphiretray

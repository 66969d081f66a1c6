#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/ports/vm_list.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::control {

struct membership_settings {
    /// Maximum time for which a leaving notice is in effect; it covers the longest graceful shutdown plus the
    /// delay of the VM list. A new listing of a removed VM or a new incarnation ends it sooner.
    duration notice_lifetime = 150s;
    /// How long a notice is forwarded after it was first received; much longer than gossip
    /// takes to reach every VM.
    duration notice_forwarding_time = 60s;
    /// How long a notice is kept after it was first received, so that a copy that arrives late is recognised
    /// as a duplicate.
    duration notice_retention = 600s;
};

/// The VMs of the fleet: the platform's VM list, which may be out of date, merged with the leaving
/// notices that VMs send when they start to drain.
class membership {
public:
    explicit membership(membership_settings settings = {});

    /// Replaces the list. A VM that was missing and is listed again has a new incarnation.
    void on_list(time_point now, std::vector<ports::vm> list);
    /// Adds a notice from a `state_reply` or this process's own notice.
    void on_leaving(time_point now, const wire::leaving_vm& notice);
    /// A link to `vm` was opened. Invalidates the leaving notices of its other incarnations.
    void on_hello(time_point now, std::string_view vm, std::string_view incarnation);

    /// Any listed VM, also a leaving one; null if it is not listed.
    [[nodiscard]] const ports::vm* find(std::string_view name) const;
    /// Whether new work may go to a VM: it is listed as live and has not announced its stop.
    [[nodiscard]] bool is_live(time_point now, std::string_view name) const;
    [[nodiscard]] std::vector<const ports::vm*> live_agents(time_point now, std::string_view service) const;
    [[nodiscard]] std::vector<const ports::vm*> live_entries(time_point now) const;
    /// Live entries and agents of a region, in all its data centres.
    [[nodiscard]] std::vector<const ports::vm*> peers_in(time_point now, std::string_view region) const;
    [[nodiscard]] std::vector<const ports::vm*> live(time_point now) const;
    /// Sorted regions with at least one listed entry, live or leaving.
    [[nodiscard]] std::vector<std::string> regions() const;
    /// Notices to forward in a `state_reply`.
    [[nodiscard]] std::vector<wire::leaving_vm> notices(time_point now) const;
    /// Changes whenever the result of a query may have changed, with one exception: at the end of a notice's
    /// lifetime queries change at once, but the version only with the next `on_list`.
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

private:
    struct notice_state {
        time_point received_at;
        /// False once the VM was seen under another incarnation, or the lifetime has ended.
        bool is_effective = true;
    };
    struct vm_state {
        ports::vm listed;
        /// By incarnation.
        std::map<std::string, notice_state, std::less<>> notices;
        bool is_listed = false;
        /// True after the VM was removed from the list, until it is listed again.
        bool was_removed = false;
    };

    void add_listed(ports::vm vm);
    /// Ends the effect of all notices except that of one incarnation.
    void invalidate_notices(vm_state& state, std::string_view except);
    [[nodiscard]] bool is_leaving(time_point now, const vm_state& state) const;
    [[nodiscard]] bool is_live(time_point now, const vm_state& state) const;
    template <typename Predicate>
    [[nodiscard]] std::vector<const ports::vm*> select(time_point now, Predicate matches) const;
    void expire_notices(time_point now);

    membership_settings settings_;
    std::map<std::string, vm_state, std::less<>> vms_;
    std::uint64_t version_ = 0;
};

} // namespace samphiretray::control

#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>

namespace samphiretray::gateway {

/// What an entry knows of its contact with the rest of the fleet.
struct contact_state {
    /// Time since the configuration was last known to be current; zero while calls to the store succeed.
    duration configuration_age{0};
    std::size_t peers = 0;
    std::size_t peers_heard = 0;
};

/// An older configuration can be the reason for an unknown key or route.
inline constexpr duration max_denial_age = 3s;

/// Whether the entry may answer that a key or a route is unknown, which callers take as final. One that has
/// lost the store and hears no peer is itself cut off, and others may have newer facts: it refuses such a
/// request for now, so that its caller asks another entry. While the store is down for all, peers are heard.
[[nodiscard]] constexpr bool may_deny(const contact_state& contact) noexcept {
    const bool is_cut_off = contact.peers > 0 && contact.peers_heard == 0;
    return !is_cut_off || contact.configuration_age <= max_denial_age;
}

} // namespace samphiretray::gateway

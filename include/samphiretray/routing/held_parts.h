#pragma once

#include "samphiretray/routing/crash_quarantine.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace samphiretray::routing {

/// The quarantined parts that other processes have announced, each until its quarantine ends. The agents of
/// engines keep them, so that a part stays away from engines while the entries that found it are restarted or
/// cut off.
class held_parts {
public:
    /// The parts that end first are dropped beyond this number.
    static constexpr std::size_t max_parts = 64;
    /// Longest time without a new announcement, so that nothing stays shut out because of a lost one.
    static constexpr duration max_unconfirmed_time = 60s;

    /// Announcements replace earlier ones of the same parts. One without time left lifts its quarantine.
    /// Returns true if a part has been added.
    bool merge(std::span<const held_part> announced, time_point now);

    /// Why a request must not be sent to an engine; nothing if it may.
    [[nodiscard]] std::optional<quarantine_match> check(std::span<const part_key> parts,
                                                        time_point now) const;
    [[nodiscard]] std::size_t count(time_point now) const;

private:
    struct hold {
        std::vector<part_key> companions;
        time_point until;
    };

    void drop_surplus(time_point now);

    std::map<part_key, hold> holds_;
};

} // namespace samphiretray::routing

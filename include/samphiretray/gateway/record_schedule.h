#pragma once

#include "samphiretray/base/time.h"

#include <cstdint>
#include <optional>

namespace samphiretray::gateway {

/// Decides when an entry exchanges evidence about suspected requests through the store. Normally entries hear
/// of each other's losses; one that has lost a server and does not hear all others writes its own losses and
/// reads the others'. Losses are written once: at 330 entries, of which some are always away, writing at each
/// interval would use up the store's writes after a crash in a rack.
class record_schedule {
public:
    struct work {
        bool read = false;
        bool write = false;
    };

    /// A connection of this entry to a server was cut.
    void on_cut(time_point now) { last_cut_at_ = now; }
    /// What to do now. `observed_cuts` counts the losses that this entry has observed.
    [[nodiscard]] work next(bool hears_all_peers, std::uint64_t observed_cuts, time_point now);

private:
    /// Others may lose servers with the same request for this long after it has come here.
    static constexpr duration active_time = 20s;
    static constexpr duration interval = 1s;

    std::optional<time_point> last_cut_at_;
    std::optional<time_point> last_exchange_at_;
    std::uint64_t written_cuts_ = 0;
};

} // namespace samphiretray::gateway

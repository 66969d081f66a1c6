#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/observe/metrics.h"

#include <cstdint>
#include <optional>

namespace samphiretray::observe {

/// Reports that callers are kept waiting because the link of the process is full.
class link_watch {
public:
    static constexpr duration report_interval = 1s;

    explicit link_watch(metrics& registry);

    /// `link_use` is the part of the link that is in use, `accept_pauses` how often accepting has paused so
    /// far. Returns true if that is to be logged: accepting has paused, and the last report is a second old.
    [[nodiscard]] bool observe(double link_use, std::uint64_t accept_pauses, time_point now);

private:
    gauge_family& link_use_;
    counter_family& accept_pauses_;
    std::uint64_t seen_pauses_ = 0;
    std::uint64_t reported_pauses_ = 0;
    std::optional<time_point> reported_at_;
};

} // namespace samphiretray::observe

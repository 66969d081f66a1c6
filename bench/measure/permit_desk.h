#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/platform/engine.h"

#include <cstdint>
#include <list>
#include <string>
#include <vector>

namespace samphiretray::measure {

/// The fleet-wide schedule of loads.
class permit_desk {
public:
    permit_desk(double loads_per_second, std::uint32_t in_flight, time_point now);

    void request(const std::string& holder, std::uint64_t round, bool priority, std::uint32_t waiting,
                 const platform::adapter_version& adapter, time_point now);
    void cancel(const std::string& holder, std::uint64_t round);
    void done(const std::string& holder, std::uint64_t round);

    struct grant {
        std::string holder;
        std::uint64_t round = 0;
    };
    [[nodiscard]] std::vector<grant> take(time_point now);

    /// Time until `take` can give a grant if one of those in flight does not prevent it.
    [[nodiscard]] duration time_to_next(time_point now) const;
    [[nodiscard]] bool waiting() const { return !waiting_.empty(); }

private:
    struct entry {
        std::string holder;
        std::uint64_t round = 0;
        bool priority = false;
        std::uint32_t waiting = 0;
        platform::adapter_version adapter;
        time_point since;
    };

    double rate_;
    std::uint32_t limit_;
    std::uint32_t in_flight_ = 0;
    double level_ = 2.0;
    time_point refilled_;
    std::list<entry> waiting_;
};

} // namespace samphiretray::measure

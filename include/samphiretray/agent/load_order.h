#pragma once

#include "samphiretray/agent/engine_admission.h"
#include "samphiretray/ports/engine.h"

#include <map>

namespace samphiretray::agent {

/// Orders adapters for loading by the first of the requests that wait for each: when slots are short, loads
/// go to requests that can still be in time. Urgency does not count, since a slot serves all that wait for
/// it.
class load_order {
public:
    /// A request waits for the adapter; its rank counts the time of the load.
    void add(const ports::adapter_version& adapter, service_rank rank);
    /// Larger is earlier; 0 for adapters that were not added.
    [[nodiscard]] double weight(const ports::adapter_version& adapter) const;

private:
    std::map<ports::adapter_version, service_rank> first_;
};

} // namespace samphiretray::agent

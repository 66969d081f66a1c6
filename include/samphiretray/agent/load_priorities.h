#pragma once

#include "samphiretray/agent/engine_admission.h"
#include "samphiretray/ports/engine.h"

#include <map>

namespace samphiretray::agent {

/// Orders adapters for loading by the best service rank among the requests that wait for each, so that when
/// slots are short, adapters are loaded for requests that can still meet their first-byte deadline. Urgency
/// is ignored, since a loaded adapter serves all requests that wait for it.
class load_priorities {
public:
    /// Adds a request that waits for the adapter; its rank must include the time of the load.
    void add(const ports::adapter_version& adapter, service_rank rank);
    /// Adapters with a larger weight are loaded earlier; 0 for adapters that were not added.
    [[nodiscard]] double weight(const ports::adapter_version& adapter) const;

private:
    std::map<ports::adapter_version, service_rank> best_ranks_;
};

} // namespace samphiretray::agent

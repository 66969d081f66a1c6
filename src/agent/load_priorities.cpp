#include "samphiretray/agent/load_priorities.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::agent {

void load_priorities::add(const ports::adapter_version& adapter, service_rank rank) {
    rank.urgency = 0;
    const auto [found, is_new] = best_ranks_.try_emplace(adapter, rank);
    if (!is_new) {
        found->second = std::min(found->second, rank);
    }
}

double load_priorities::weight(const ports::adapter_version& adapter) const {
    const auto found = best_ranks_.find(adapter);
    if (found == best_ranks_.end()) {
        return 0.0;
    }
    const auto ahead = std::ranges::count_if(best_ranks_ | std::views::values,
                                             [&](const service_rank& each) { return each < found->second; });
    return static_cast<double>(best_ranks_.size()) - static_cast<double>(ahead);
}

} // namespace samphiretray::agent

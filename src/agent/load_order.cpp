#include "samphiretray/agent/load_order.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::agent {

void load_order::add(const ports::adapter_version& adapter, service_rank rank) {
    rank.urgency = 0;
    const auto [found, is_new] = first_.try_emplace(adapter, rank);
    if (!is_new) {
        found->second = std::min(found->second, rank);
    }
}

double load_order::weight(const ports::adapter_version& adapter) const {
    const auto found = first_.find(adapter);
    if (found == first_.end()) {
        return 0.0;
    }
    const auto before = std::ranges::count_if(first_ | std::views::values,
                                              [&](const service_rank& each) { return each < found->second; });
    return static_cast<double>(first_.size()) - static_cast<double>(before);
}

} // namespace samphiretray::agent

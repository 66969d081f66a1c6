#include "samphiretray/routing/evacuations.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace samphiretray::routing {

bool evacuations::begin(const std::string& data_centre) {
    const auto [order, is_new] = orders_.insert_or_assign(data_centre, std::nullopt);
    return is_new;
}

bool evacuations::end(const std::string& data_centre, bool after_outage, time_point now) {
    const auto found = orders_.find(data_centre);
    if (found == orders_.end()) {
        return false;
    }
    if (after_outage) {
        found->second = found->second.value_or(now + rewrite_grace);
        return false;
    }
    orders_.erase(found);
    return true;
}

std::vector<std::string> evacuations::expire(time_point now) {
    std::vector<std::string> ended;
    for (const auto& [data_centre, ends_at] : orders_) {
        if (ends_at && *ends_at <= now) {
            ended.push_back(data_centre);
        }
    }
    for (const std::string& each : ended) {
        orders_.erase(each);
    }
    return ended;
}

std::vector<std::string> evacuations::data_centres() const {
    std::vector<std::string> names;
    std::ranges::copy(orders_ | std::views::keys, std::back_inserter(names));
    return names;
}

} // namespace samphiretray::routing

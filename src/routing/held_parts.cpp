#include "samphiretray/routing/held_parts.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::routing {

bool held_parts::merge(std::span<const held_part> announced, time_point now) {
    bool is_any_new = false;
    for (const held_part& each : announced) {
        if (each.time_left <= duration::zero()) {
            holds_.erase(each.part);
            continue;
        }
        const hold made{each.companions, now + std::min(each.time_left, max_unconfirmed_time)};
        is_any_new = holds_.insert_or_assign(each.part, made).second || is_any_new;
    }
    drop_surplus(now);
    return is_any_new;
}

void held_parts::drop_surplus(time_point now) {
    std::erase_if(holds_, [now](const auto& each) { return each.second.until <= now; });
    while (holds_.size() > max_parts) {
        holds_.erase(
            std::ranges::min_element(holds_, {}, [](const auto& each) { return each.second.until; }));
    }
}

std::optional<quarantine_match> held_parts::check(std::span<const part_key> parts, time_point now) const {
    if (holds_.empty()) {
        return std::nullopt;
    }
    for (const part_key part : parts) {
        const auto found = holds_.find(part);
        if (found == holds_.end() || found->second.until <= now) {
            continue;
        }
        if (is_held_back(parts, found->second.companions)) {
            return quarantine_match{part, found->second.until - now};
        }
    }
    return std::nullopt;
}

std::size_t held_parts::count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        holds_ | std::views::values, [now](const hold& each) { return each.until > now; }));
}

} // namespace samphiretray::routing

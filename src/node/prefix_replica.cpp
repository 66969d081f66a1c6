#include "samphiretray/node/prefix_replica.h"

#include <algorithm>
#include <set>

namespace samphiretray::node {

void prefix_replica::put(const ports::store_change& change, time_point as_of) {
    item& known = items_[change.key];
    if (change.revision < known.revision) {
        return;
    }
    const bool is_same =
        change.revision == known.revision && change.value.has_value() == known.value.has_value();
    if (!is_same) {
        known = {change.value, change.revision, as_of};
        last_change_ = std::max(last_change_, change.revision);
    }
}

void prefix_replica::apply(const ports::store_listing& listing, time_point as_of) {
    if (listing.revision < revision_) {
        return;
    }
    std::set<std::string_view> present;
    for (const ports::stored_item& each : listing.items) {
        present.insert(each.key);
        put({each.key, each.value, each.revision}, as_of);
    }
    for (const auto& [key, known] : items_) {
        if (known.value && !present.contains(key)) {
            put({key, std::nullopt, listing.revision}, as_of);
        }
    }
    // A key may have come and gone since the last reading.
    floor_ = listing.revision;
    revision_ = listing.revision;
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
    forget_removals(as_of);
}

void prefix_replica::apply(std::uint64_t after, const ports::store_changes& changes, time_point as_of) {
    if (!as_of_ || after > revision_) {
        *this = prefix_replica{max_age_};
        return;
    }
    for (const ports::store_change& each : changes.changes) {
        put(each, as_of);
    }
    revision_ = std::max(revision_, changes.revision);
    as_of_ = std::max(*as_of_, as_of);
    forget_removals(as_of);
}

void prefix_replica::forget_removals(time_point now) {
    std::erase_if(items_, [&](const auto& each) {
        const item& known = each.second;
        const bool is_forgotten = !known.value && now - known.changed_at > removal_memory;
        floor_ = is_forgotten ? std::max(floor_, known.revision) : floor_;
        return is_forgotten;
    });
}

std::optional<duration> prefix_replica::age(time_point now) const {
    return as_of_ ? std::optional{now - *as_of_} : std::nullopt;
}

std::optional<error> prefix_replica::reason_to_refuse(time_point now) const {
    const auto known_for = age(now);
    if (known_for && *known_for <= max_age_) {
        return std::nullopt;
    }
    return make_error(errc::unavailable, step::receive, "replica",
                      known_for ? "read " + std::to_string(milliseconds_in(*known_for)) + " ms ago"
                                : "not read yet");
}

result<ports::store_listing> prefix_replica::listing(time_point now) const {
    if (auto reason = reason_to_refuse(now)) {
        return *std::move(reason);
    }
    ports::store_listing all;
    all.revision = revision_;
    for (const auto& [key, known] : items_) {
        if (known.value) {
            all.items.push_back({key, *known.value, known.revision});
        }
    }
    return all;
}

result<ports::store_changes> prefix_replica::changes_since(std::uint64_t after, time_point now) const {
    if (auto reason = reason_to_refuse(now)) {
        return *std::move(reason);
    }
    if (after < floor_) {
        return make_error(errc::stale_revision, step::receive, "replica", "removals have been forgotten");
    }
    ports::store_changes changes;
    changes.revision = revision_;
    for (const auto& [key, known] : items_) {
        if (known.revision > after) {
            changes.changes.push_back({key, known.value, known.revision});
        }
    }
    std::ranges::sort(changes.changes, {}, &ports::store_change::revision);
    return changes;
}

} // namespace samphiretray::node

#include "samphiretray/node/prefix_replica.h"

#include <algorithm>
#include <set>
#include <utility>

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
        last_change_revision_ = std::max(last_change_revision_, change.revision);
    }
}

void prefix_replica::apply(const ports::store_listing& listing, time_point as_of) {
    if (std::pair{listing.era, listing.revision} < std::pair{era_, revision_}) {
        return;
    }
    if (listing.era != era_) {
        *this = prefix_replica{max_age_};
        era_ = listing.era;
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
    // A key may have been created and removed since the last read; a listing does not show that.
    removals_known_after_ = listing.revision;
    revision_ = listing.revision;
    as_of_ = std::max(as_of_.value_or(as_of), as_of);
    expire_removals(as_of);
}

void prefix_replica::apply(std::uint64_t after, const ports::store_changes& changes, time_point as_of) {
    if (!as_of_ || after > revision_ || changes.era != era_) {
        // Nothing of an older era is taken after this.
        const std::uint64_t era = std::max(era_, changes.era);
        *this = prefix_replica{max_age_};
        era_ = era;
        return;
    }
    for (const ports::store_change& each : changes.changes) {
        put(each, as_of);
    }
    revision_ = std::max(revision_, changes.revision);
    as_of_ = std::max(*as_of_, as_of);
    expire_removals(as_of);
}

void prefix_replica::expire_removals(time_point now) {
    std::erase_if(items_, [&](const auto& each) {
        const item& known = each.second;
        const bool is_expired = !known.value && now - known.changed_at > removal_retention;
        removals_known_after_ =
            is_expired ? std::max(removals_known_after_, known.revision) : removals_known_after_;
        return is_expired;
    });
}

std::optional<duration> prefix_replica::age(time_point now) const {
    return as_of_ ? std::optional{now - *as_of_} : std::nullopt;
}

std::optional<error> prefix_replica::check_freshness(time_point now) const {
    const auto current_age = age(now);
    if (current_age && *current_age <= max_age_) {
        return std::nullopt;
    }
    return make_error(errc::unavailable, step::receive, "replica",
                      current_age ? "read " + std::to_string(milliseconds_in(*current_age)) + " ms ago"
                                  : "not read yet");
}

result<ports::store_listing> prefix_replica::listing(time_point now) const {
    if (auto refusal = check_freshness(now)) {
        return *std::move(refusal);
    }
    ports::store_listing all;
    all.revision = revision_;
    all.era = era_;
    for (const auto& [key, known] : items_) {
        if (known.value) {
            all.items.push_back({key, *known.value, known.revision});
        }
    }
    return all;
}

result<ports::store_changes> prefix_replica::changes_since(std::uint64_t after, time_point now) const {
    if (auto refusal = check_freshness(now)) {
        return *std::move(refusal);
    }
    if (after < removals_known_after_) {
        return make_error(errc::stale_revision, step::receive, "replica", "removals have been forgotten");
    }
    ports::store_changes changes;
    changes.revision = revision_;
    changes.era = era_;
    for (const auto& [key, known] : items_) {
        if (known.revision > after) {
            changes.changes.push_back({key, known.value, known.revision});
        }
    }
    std::ranges::sort(changes.changes, {}, &ports::store_change::revision);
    return changes;
}

} // namespace samphiretray::node

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/ports/shared_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace samphiretray::node {

/// What a process has read of the keys below one prefix, kept so that it can answer peers in the store's
/// place.
///
/// Every answer tells how old the reading is. A replica that is too old, or that lacks a part of the history,
/// says so instead of answering, and the peer reads from the store itself.
class prefix_replica {
public:
    /// Removals are remembered this long. A peer that was away for longer lists anew.
    static constexpr duration removal_memory = 60s;

    /// A reading that is older than `max_age` is not passed on.
    explicit prefix_replica(duration max_age) : max_age_(max_age) {}

    /// All keys, as read by a call that began at `as_of`. A listing older than what is known is ignored.
    void apply(const ports::store_listing& listing, time_point as_of);
    /// The changes behind revision `after`. Without the revisions before, the replica starts over.
    void apply(std::uint64_t after, const ports::store_changes& changes, time_point as_of);

    /// Fails with `unavailable` if the reading is too old.
    [[nodiscard]] result<ports::store_listing> listing(time_point now) const;
    /// Fails with `unavailable` if the reading is too old, and with `stale_revision` if the removals behind
    /// `after` are not all known any more. A peer that has read more than this replica is told of no change:
    /// the store's revision grows with every key, so a quiet prefix is behind without having missed anything.
    [[nodiscard]] result<ports::store_changes> changes_since(std::uint64_t after, time_point now) const;
    /// True if `changes_since` would name a change.
    [[nodiscard]] bool has_news(std::uint64_t after) const noexcept { return last_change_ > after; }
    /// Time since the reading was made; nothing before the first one.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

private:
    struct item {
        /// Nothing once the key has been removed.
        std::optional<std::string> value;
        std::uint64_t revision = 0;
        time_point changed_at;
    };

    void put(const ports::store_change& change, time_point as_of);
    void forget_removals(time_point now);
    [[nodiscard]] std::optional<error> reason_to_refuse(time_point now) const;

    duration max_age_;
    std::map<std::string, item> items_;
    std::uint64_t revision_ = 0;
    std::uint64_t last_change_ = 0;
    /// Removals up to this revision may have been forgotten.
    std::uint64_t floor_ = 0;
    std::optional<time_point> as_of_;
};

} // namespace samphiretray::node

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/ports/shared_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace samphiretray::node {

/// In-memory copy of the keys below one prefix of the store, from which a process answers its peers.
///
/// A replica knows the age of its data. If the data is too old, or a part of the history is missing, queries
/// fail and the peer reads from the store itself.
class prefix_replica {
public:
    /// Removed keys are kept this long. A peer that has not read for longer has to list all keys again.
    static constexpr duration removal_retention = 60s;

    /// Data older than `max_age` is not served.
    explicit prefix_replica(duration max_age) : max_age_(max_age) {}

    /// Applies a listing of all keys from a call that began at `as_of`. A listing that is older than the
    /// replica is ignored; one of a newer era replaces all of it.
    void apply(const ports::store_listing& listing, time_point as_of);
    /// Applies the changes after revision `after`. If the replica has not reached `after`, or the changes are
    /// of another era, there is a gap, and the replica is reset to empty.
    void apply(std::uint64_t after, const ports::store_changes& changes, time_point as_of);

    /// Fails with `unavailable` if the data is too old.
    [[nodiscard]] result<ports::store_listing> listing(time_point now) const;
    /// Fails with `unavailable` if the data is too old, and with `stale_revision` if some removals after
    /// `after` have been dropped. If `after` is newer than this replica, the result is empty and not an
    /// error: the store's revision grows with writes to any key, so the replica of a prefix without writes
    /// falls behind without missing a change.
    [[nodiscard]] result<ports::store_changes> changes_since(std::uint64_t after, time_point now) const;
    /// Whether there are changes after revision `after`.
    [[nodiscard]] bool has_changes_since(std::uint64_t after) const noexcept {
        return last_change_revision_ > after;
    }
    [[nodiscard]] std::uint64_t era() const noexcept { return era_; }
    /// Time since the data was current; empty before the first listing.
    [[nodiscard]] std::optional<duration> age(time_point now) const;

private:
    struct item {
        /// Empty once the key has been removed.
        std::optional<std::string> value;
        std::uint64_t revision = 0;
        time_point changed_at;
    };

    void put(const ports::store_change& change, time_point as_of);
    void expire_removals(time_point now);
    [[nodiscard]] std::optional<error> check_freshness(time_point now) const;

    duration max_age_;
    std::map<std::string, item> items_;
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t last_change_revision_ = 0;
    /// Removals up to this revision may have been dropped.
    std::uint64_t removals_known_after_ = 0;
    std::optional<time_point> as_of_;
};

} // namespace samphiretray::node

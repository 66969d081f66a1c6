#pragma once

#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::ports {

/// A store may be restored from an older copy of itself. Its revisions then go back and are given out again
/// for other changes, and its era rises: revisions of different eras cannot be compared.

/// A key with its value and the revision of its last write.
struct stored_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

/// The keys below a prefix, read at one revision.
struct store_listing {
    std::vector<stored_item> items;
    /// The listing contains the changes up to this revision.
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
    /// Time since the listing was known to be current, for one that does not come from the store itself.
    duration age{0};
};

/// A write or the removal of a key.
struct store_change {
    std::string key;
    /// Nothing if the key was removed.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// The changes below a prefix up to a revision.
struct store_changes {
    std::vector<store_change> changes;
    std::uint64_t revision = 0;
    std::uint64_t era = 0;
    /// As for a listing.
    duration age{0};
};

/// A key-value store with one revision counter for all keys in each era. Each completion runs exactly once,
/// on the event loop. Errors are those of `key_value_service`, and `stale_revision` if the store no longer
/// has the changes that a watch asks for.
template <typename Store>
concept watched_store =
    requires(Store& store, std::string prefix, std::uint64_t after_revision, duration max_wait,
             completion<store_listing> on_listing, completion<store_changes> on_changes) {
        /// Lists all keys that start with `prefix`.
        store.list(prefix, on_listing);
        /// Long poll: waits at most `max_wait` for changes of keys that start with `prefix` after a revision.
        /// Succeeds without changes if there were none.
        store.watch(prefix, after_revision, max_wait, on_changes);
    };

/// A store whose keys can be attached to a lease and are removed when it expires.
template <typename Store>
concept leased_store = requires(Store& store, std::string key, std::string value, std::uint64_t lease_id,
                                duration time_to_live, completion<std::uint64_t> on_number) {
    /// Passes on the ID of the new lease.
    store.grant_lease(time_to_live, on_number);
    /// Fails with `not_found` if the lease has expired.
    store.renew_lease(lease_id, on_number);
    /// Writes unconditionally and passes on the revision. Lease ID 0 means no lease.
    store.put(key, value, lease_id, on_number);
};

} // namespace samphiretray::ports

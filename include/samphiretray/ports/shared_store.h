#pragma once

#include "samphiretray/ports/key_value.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::ports {

struct stored_item {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
};

struct store_listing {
    std::vector<stored_item> items;
    /// Changes after this revision are not in the listing.
    std::uint64_t revision = 0;
};

struct store_change {
    std::string key;
    /// Nothing if the key was removed.
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

struct store_changes {
    std::vector<store_change> changes;
    std::uint64_t revision = 0;
};

/// A store of keys with one revision counter. Completions run from the loop, exactly once. Errors are those
/// of `key_value_service`, and `stale_revision` if the store no longer has the changes that a watch asks for.
template <typename Store>
concept watched_store = requires(Store& store, std::string prefix, std::uint64_t after, duration limit,
                                 completion<store_listing> on_listing, completion<store_changes> on_changes) {
    /// Every key below `prefix`.
    store.list(prefix, on_listing);
    /// Waits at most `limit` for changes below `prefix` after a revision; none is a success.
    store.watch(prefix, after, limit, on_changes);
};

/// A store whose keys can be bound to a lease.
template <typename Store>
concept leased_store = requires(Store& store, std::string key, std::string value, std::uint64_t lease,
                                duration limit, completion<std::uint64_t> on_number) {
    /// Gives the number of the new lease.
    store.grant_lease(limit, on_number);
    /// Fails with `not_found` if the lease has ended.
    store.renew_lease(lease, on_number);
    /// Writes without a condition; lease 0 is none. Gives the revision.
    store.put(key, value, lease, on_number);
};

} // namespace samphiretray::ports

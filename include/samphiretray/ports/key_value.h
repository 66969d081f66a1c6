#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace samphiretray::ports {

/// A stored value and the revision of its last write. Revisions of a key only grow; 0 means "absent".
struct versioned_value {
    std::string value;
    std::uint64_t revision = 0;
};

/// A write that takes effect only if the key's revision equals `expected` (0: the key must be absent).
struct swap_request {
    std::string key;
    std::string value;
    std::uint64_t expected = 0;
    /// If set, the key is deleted by the service this long after the last write, unless it is written again.
    std::optional<duration> lease;
};

template <typename T>
using completion = std::function<void(result<T>)>;

/// The platform's key-value service. Completions run from the loop, exactly once. Errors: `conflict` (the
/// revision differed; nothing was written), `timeout` or `connection_closed` (a write may or may not have
/// taken effect), `connection_failed` (certainly not sent), `unavailable` (refused by the service).
template <typename Service>
concept key_value_service =
    requires(Service& service, std::string key, swap_request swap, std::uint64_t after, duration limit,
             completion<versioned_value> on_value, completion<std::uint64_t> on_revision) {
        /// An absent key gives revision 0.
        service.read(key, on_value);
        /// Gives the new revision.
        service.compare_and_swap(swap, on_revision);
        /// Waits until the key's revision differs from `after`, at most `limit`; then gives the current
        /// value.
        service.watch(key, after, limit, on_value);
    };

} // namespace samphiretray::ports

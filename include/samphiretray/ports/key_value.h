#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace samphiretray::ports {

/// A stored value and the revision of its last write. The revision of a key increases with each write; 0
/// means that the key is absent.
struct versioned_value {
    std::string value;
    std::uint64_t revision = 0;
};

/// A write that takes effect only if the key's revision is `expected_revision` (0: the key must be absent).
struct swap_request {
    std::string key;
    std::string value;
    std::uint64_t expected_revision = 0;
    /// Time to live: if set, the service deletes the key this long after its last write.
    std::optional<duration> lease;
};

/// Called with the result of an asynchronous operation.
template <typename T>
using completion = std::function<void(result<T>)>;

/// The platform's key-value service. Each completion runs exactly once, on the event loop. Errors: `conflict`
/// (the revision differed; nothing was written), `timeout` or `connection_closed` (a write may or may not
/// have taken effect), `connection_failed` (the request was certainly not sent), `unavailable` (rejected by
/// the service).
template <typename Service>
concept key_value_service =
    requires(Service& service, std::string key, swap_request swap, std::uint64_t after_revision,
             duration max_wait, completion<versioned_value> on_value, completion<std::uint64_t> on_revision) {
        /// The revision of an absent key is 0.
        service.read(key, on_value);
        /// Passes on the new revision.
        service.compare_and_swap(swap, on_revision);
        /// Long poll: waits at most `max_wait` until the key's revision differs from `after_revision`, then
        /// passes on the current value.
        service.watch(key, after_revision, max_wait, on_value);
    };

} // namespace samphiretray::ports

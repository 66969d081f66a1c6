#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::standins {

/// Larger values are refused.
inline constexpr std::size_t max_value_bytes = 1'000'000;

struct stored_value {
    std::string value;
    std::uint64_t revision = 0;
    std::optional<time_point> expires;
};

struct kv_write {
    std::string key;
    std::string value;
    /// Revision that the key must have for the write to succeed; 0 if the key must be absent.
    std::uint64_t expected = 0;
    std::optional<duration> lease;
};

enum class kv_write_status { done, conflict, too_large };

struct kv_write_result {
    kv_write_status status = kv_write_status::done;
    /// The key's revision after the call; 0 if it is absent.
    std::uint64_t revision = 0;
};

/// Values, leases and watches of the key-value stand-in. All keys take their revisions from one counter.
class kv_store {
public:
    kv_write_result put(const kv_write& write, time_point now);
    kv_write_result erase(const std::string& key, std::uint64_t expected, time_point now);
    [[nodiscard]] std::optional<stored_value> read(const std::string& key, time_point now);
    [[nodiscard]] std::vector<std::string> keys(std::string_view prefix, time_point now);

    /// Registers a watch that becomes due when the key's revision differs from `after`, at the latest at
    /// `deadline`. Returns its id.
    std::uint64_t watch(std::string key, std::uint64_t after, time_point deadline);
    void cancel_watch(std::uint64_t watch) { watches_.erase(watch); }
    [[nodiscard]] std::size_t pending_watches() const noexcept { return watches_.size(); }

    struct due_watch {
        std::uint64_t watch = 0;
        std::string key;
    };
    /// Removes and returns the watches whose key has changed or whose deadline has passed.
    [[nodiscard]] std::vector<due_watch> take_due(time_point now);
    /// The earliest time at which a lease expires or a watch reaches its deadline.
    [[nodiscard]] std::optional<time_point> next_event() const;

private:
    struct pending_watch {
        std::string key;
        std::uint64_t after = 0;
        time_point deadline;
    };

    void expire(time_point now);
    [[nodiscard]] std::uint64_t revision_of(const std::string& key) const;

    std::map<std::string, stored_value, std::less<>> values_;
    std::map<std::uint64_t, pending_watch> watches_;
    std::uint64_t last_revision_ = 0;
    std::uint64_t last_watch_ = 0;
};

} // namespace samphiretray::standins

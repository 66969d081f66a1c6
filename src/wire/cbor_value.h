#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace samphiretray::wire {

/// A parsed CBOR item.
struct cbor_value {
    struct map_entry;
    using list = std::vector<cbor_value>;
    using map = std::vector<map_entry>;
    struct byte_string {
        std::string bytes;
    };
    /// Null or a floating-point number, whose value is not kept.
    struct other {};

    /// Integers are `std::uint64_t`, or `std::int64_t` if negative.
    std::variant<other, bool, std::uint64_t, std::int64_t, std::string, byte_string, list, map> content;

    /// The value of `key`, or null if this is not a map or has no such key.
    [[nodiscard]] cbor_value* find(std::string_view key);
};

struct cbor_value::map_entry {
    std::string key;
    cbor_value value;
};

/// Parses `frame`, which has to be exactly one item. Returns nothing for malformed, tagged or too deeply
/// nested input and for too many items, so that a hostile frame cannot overflow the stack or take much more
/// memory than its own size.
[[nodiscard]] std::optional<cbor_value> parse_cbor(std::string_view frame);

} // namespace samphiretray::wire

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
    /// A negative integer is kept as such; null and floating-point numbers are kept as `other`.
    struct other {};

    std::variant<other, bool, std::uint64_t, std::int64_t, std::string, byte_string, list, map> content;

    /// The value of `key` if this is a map that has it.
    [[nodiscard]] cbor_value* find(std::string_view key);
};

struct cbor_value::map_entry {
    std::string key;
    cbor_value value;
};

/// Parses one item that fills `frame`. Gives nothing for malformed, tagged, deeply nested or excessively
/// divided input, so that a hostile frame costs neither the stack nor much more memory than its own size.
[[nodiscard]] std::optional<cbor_value> parse_cbor(std::string_view frame);

} // namespace samphiretray::wire

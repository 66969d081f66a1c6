#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace samphiretray {

/// Names of the enumerators of `Enum`, used for both output and parsing. Specialised next to each
/// enumeration.
template <typename Enum>
inline constexpr std::array<std::pair<Enum, std::string_view>, 0> name_table{};

/// Returns the name of `value`, or "unknown" if it has none.
template <typename Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value) {
    const auto& table = name_table<Enum>;
    const auto found = std::ranges::find(table, value, &std::pair<Enum, std::string_view>::first);
    return found == table.end() ? std::string_view{"unknown"} : found->second;
}

/// Returns the enumerator with the given name, or nothing if there is none.
template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum> parse_name(std::string_view name) {
    const auto& table = name_table<Enum>;
    const auto found = std::ranges::find(table, name, &std::pair<Enum, std::string_view>::second);
    if (found == table.end()) {
        return std::nullopt;
    }
    return found->first;
}

} // namespace samphiretray

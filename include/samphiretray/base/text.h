#pragma once

#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray {

/// Splits `text` at each separator. An empty text has no parts, and a trailing separator adds no empty part.
[[nodiscard]] inline std::vector<std::string_view> split(std::string_view text, char separator) {
    std::vector<std::string_view> parts;
    while (!text.empty()) {
        const std::size_t end = text.find(separator);
        parts.push_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
    }
    return parts;
}

/// Concatenates the texts with `separator` between them.
[[nodiscard]] inline std::string join(const std::vector<std::string>& texts, std::string_view separator) {
    std::string joined;
    for (const std::string& each : texts) {
        joined += joined.empty() ? std::string_view{} : separator;
        joined += each;
    }
    return joined;
}

/// Removes leading and trailing spaces and tabs.
[[nodiscard]] inline std::string_view trim(std::string_view text) {
    const auto first = text.find_first_not_of(" \t");
    return first == std::string_view::npos ? std::string_view{}
                                           : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/// True if `text` is well-formed UTF-8 (RFC 3629): no overlong forms, surrogates or numbers above U+10FFFF.
[[nodiscard]] bool is_utf8(std::string_view text) noexcept;

/// Parses `text` as a decimal number. Returns nothing if it contains anything else or is out of range.
template <typename Number>
    requires std::integral<Number> || std::floating_point<Number>
[[nodiscard]] std::optional<Number> parse_number(std::string_view text) {
    Number value{};
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);
/// Returns nothing if `text` is not a number of at most 16 hexadecimal digits.
[[nodiscard]] std::optional<std::uint64_t> parse_hex(std::string_view text);

} // namespace samphiretray

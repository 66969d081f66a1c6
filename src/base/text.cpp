#include "samphiretray/base/text.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace samphiretray {

namespace {

/// Sequences of one length, by the bits of their first byte.
struct utf8_sequence {
    std::uint8_t mask;
    std::uint8_t first_byte;
    std::size_t length;
    /// Smaller code points have a shorter form.
    std::uint32_t least_code_point;
};

constexpr std::array sequences{utf8_sequence{0x80, 0x00, 1, 0}, utf8_sequence{0xE0, 0xC0, 2, 0x80},
                               utf8_sequence{0xF0, 0xE0, 3, 0x800}, utf8_sequence{0xF8, 0xF0, 4, 0x10000}};

constexpr std::uint32_t max_code_point = 0x10FFFF;

bool is_surrogate(std::uint32_t code_point) {
    return code_point >= 0xD800 && code_point <= 0xDFFF;
}

/// The length of the sequence at the start of `text`, or 0 if it is malformed.
std::size_t sequence_length(std::string_view text) {
    const auto first = static_cast<std::uint8_t>(text.front());
    for (const utf8_sequence& each : sequences) {
        if ((first & each.mask) != each.first_byte) {
            continue;
        }
        if (text.size() < each.length) {
            return 0;
        }
        std::uint32_t code_point = first & static_cast<std::uint8_t>(~each.mask);
        for (const char next : text.substr(1, each.length - 1)) {
            const auto byte = static_cast<std::uint8_t>(next);
            if ((byte & 0xC0) != 0x80) {
                return 0;
            }
            code_point = code_point << 6U | (byte & 0x3FU);
        }
        const bool is_valid =
            code_point >= each.least_code_point && code_point <= max_code_point && !is_surrogate(code_point);
        return is_valid ? each.length : 0;
    }
    return 0;
}

} // namespace

bool is_utf8(std::string_view text) noexcept {
    // Nearly all texts are ASCII.
    const auto is_multibyte = [](char c) { return (static_cast<std::uint8_t>(c) & 0x80) != 0; };
    text = text.substr(std::ranges::find_if(text, is_multibyte) - text.begin());
    while (!text.empty()) {
        const std::size_t length = sequence_length(text);
        if (length == 0) {
            return false;
        }
        text.remove_prefix(length);
    }
    return true;
}

std::string to_hex(std::uint64_t value) {
    constexpr std::size_t digits = 16;
    constexpr int base = 16;
    std::array<char, digits> text{};
    const auto* const end = std::to_chars(text.data(), text.data() + text.size(), value, base).ptr;
    const auto length = static_cast<std::size_t>(end - text.data());
    return std::string(digits - length, '0').append(text.data(), length);
}

std::optional<std::uint64_t> parse_hex(std::string_view text) {
    constexpr std::size_t max_digits = 16;
    constexpr int base = 16;
    std::uint64_t value = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    const bool is_whole = failure == std::errc{} && end == text.data() + text.size();
    return is_whole && text.size() <= max_digits ? std::optional{value} : std::nullopt;
}

} // namespace samphiretray

#include "samphiretray/net/http.h"

#include <cctype>
#include <cstdint>

namespace samphiretray::net {

char to_lower(char c) noexcept {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

namespace {

bool equals_case_insensitive(std::string_view left, std::string_view right) noexcept {
    return std::ranges::equal(left, right, {}, to_lower, to_lower);
}

int hex_digit(char c) noexcept {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    const char lower = to_lower(c);
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes percent escapes such as "%41", and "+" as a space; a malformed escape is kept as it is.
std::string url_decode(std::string_view text) {
    std::string decoded;
    decoded.reserve(text.size());
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escape = text[i] == '%' && i + 2 < text.size();
        const int high = escape ? hex_digit(text[i + 1]) : -1;
        const int low = escape ? hex_digit(text[i + 2]) : -1;
        if (high >= 0 && low >= 0) {
            decoded += static_cast<char>(high * 16 + low);
            i += 2;
        } else {
            decoded += text[i] == '+' ? ' ' : text[i];
        }
    }
    return decoded;
}

} // namespace

bool equals_ignore_case(std::string_view left, std::string_view right) noexcept {
    return equals_case_insensitive(left, right);
}

std::string_view find_header(const http_headers& headers, std::string_view name) noexcept {
    const auto found = std::ranges::find_if(
        headers, [name](const http_header& header) { return equals_case_insensitive(header.name, name); });
    return found == headers.end() ? std::string_view{} : std::string_view{found->value};
}

std::string find_query_parameter(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(pair.size() + 1, query.size()));
        const auto equals = pair.find('=');
        if (url_decode(pair.substr(0, equals)) == name) {
            return equals == std::string_view::npos ? std::string{} : url_decode(pair.substr(equals + 1));
        }
    }
    return {};
}

std::string url_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreserved = "-._~";
    std::string encoded;
    encoded.reserve(text.size());
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x80 && std::isalnum(byte) != 0) || unreserved.find(c) != std::string_view::npos) {
            encoded += c;
        } else {
            encoded += '%';
            encoded += digits[byte >> 4U];
            encoded += digits[byte & 0xFU];
        }
    }
    return encoded;
}

} // namespace samphiretray::net

#include "response_parser.h"

#include "samphiretray/base/text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace samphiretray::net {

namespace {

constexpr std::size_t max_headers = 100;
/// Statuses of HTTP (RFC 9110 section 15). A server that sends another one is in trouble.
constexpr int min_status = 100;
constexpr int max_status = 599;

/// True if `text` contains the start of a status line.
bool contains_status_line(std::string_view text) {
    constexpr std::string_view version = "HTTP/1.";
    const auto is_digit = [](char each) { return each >= '0' && each <= '9'; };
    for (auto at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
        const std::string_view rest = text.substr(at + version.size(), 5);
        if (rest.size() == 5 && is_digit(rest[0]) && rest[1] == ' ' &&
            std::ranges::all_of(rest.substr(2), is_digit)) {
            return true;
        }
    }
    return false;
}

/// The value of a hexadecimal digit.
std::uint64_t value_of_digit(char digit) {
    std::uint64_t value = 0;
    (void)std::from_chars(&digit, &digit + 1, value, 16);
    return value;
}

/// Sets `length` to the value of the Content-Length headers, if there are any. Returns false if they differ
/// or if one is not a number.
bool parse_content_length(const http_headers& headers, std::optional<std::uint64_t>& length) {
    for (const http_header& header : headers) {
        if (!equals_ignore_case(header.name, "content-length")) {
            continue;
        }
        std::uint64_t value = 0;
        const char* end = header.value.data() + header.value.size();
        const auto [stop, failure] = std::from_chars(header.value.data(), end, value);
        if (failure != std::errc{} || stop != end || (length && *length != value)) {
            return false;
        }
        length = value;
    }
    return true;
}

/// Sets the framing of the body by the rules of RFC 9112 section 6.3. Returns false if the length is
/// ambiguous.
bool determine_framing(response_head& head, bool is_response_to_head) {
    std::optional<std::uint64_t> length;
    if (!parse_content_length(head.headers, length)) {
        return false;
    }
    const std::string_view transfer_coding = find_header(head.headers, "transfer-encoding");
    if (!transfer_coding.empty() && !equals_ignore_case(transfer_coding, "chunked")) {
        return false;
    }
    if (is_response_to_head || head.status < 200 || head.status == 204 || head.status == 304) {
        head.framing = body_framing::none;
    } else if (!transfer_coding.empty()) {
        head.framing = body_framing::chunked;
    } else if (length) {
        head.framing = body_framing::length;
        head.length = *length;
    } else {
        head.framing = body_framing::until_close;
    }
    return true;
}

bool allows_keep_alive(const response_head& head, int minor_version) {
    const std::string_view connection = find_header(head.headers, "connection");
    const bool wanted = minor_version >= 1 ? !equals_ignore_case(connection, "close")
                                           : equals_ignore_case(connection, "keep-alive");
    return wanted && head.framing != body_framing::until_close;
}

std::optional<duration> parse_keep_alive_timeout(const response_head& head) {
    constexpr std::string_view parameter = "timeout=";
    std::string_view text = find_header(head.headers, "keep-alive");
    const auto at = text.find(parameter);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(at + parameter.size());
    const auto seconds = parse_number<std::uint16_t>(text.substr(0, text.find_first_not_of("0123456789")));
    return seconds ? std::optional<duration>{std::chrono::seconds{*seconds}} : std::nullopt;
}

} // namespace

head_result parse_response_head(std::string_view input, std::size_t previous_size, bool is_response_to_head) {
    std::array<phr_header, max_headers> headers{};
    std::size_t count = headers.size();
    int minor_version = 0;
    const char* reason = nullptr;
    std::size_t reason_size = 0;
    head_result parsed;
    const int size = phr_parse_response(input.data(), input.size(), &minor_version, &parsed.head.status,
                                        &reason, &reason_size, headers.data(), &count, previous_size);
    if (size == -2 && input.size() < max_response_head) {
        return parsed;
    }
    parsed.progress = parse_progress::malformed;
    if (size < 0 || parsed.head.status < min_status || parsed.head.status > max_status) {
        return parsed;
    }
    parsed.head.size = static_cast<std::size_t>(size);
    // A server that fails inside a head may write another answer behind it. The line that was cut then
    // contains the status line of the other answer, whose headers and body would come with the status of the
    // first.
    if (contains_status_line({reason, reason_size})) {
        return parsed;
    }
    for (std::size_t i = 0; i < count; ++i) {
        const std::string_view value{headers[i].value, headers[i].value_len};
        // A continuation line (obsolete line folding) has no name. It is rejected, as RFC 9112 allows,
        // because it would hide a part of the header's value.
        if (headers[i].name == nullptr || contains_status_line(value)) {
            return parsed;
        }
        parsed.head.headers.push_back({{headers[i].name, headers[i].name_len}, std::string{value}});
    }
    if (determine_framing(parsed.head, is_response_to_head)) {
        parsed.head.keep_alive = allows_keep_alive(parsed.head, minor_version);
        parsed.head.keep_alive_timeout = parse_keep_alive_timeout(parsed.head);
        parsed.progress = parse_progress::done;
    }
    return parsed;
}

bool chunk_size_check::accepts(std::string_view input) noexcept {
    constexpr std::string_view digits = "0123456789abcdefABCDEF";
    while (!input.empty() && position_ != position::trailers) {
        if (position_ == position::data) {
            const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(left_, input.size()));
            input.remove_prefix(taken);
            left_ -= taken;
            position_ = left_ == 0 ? position::end_of_data : position::data;
            continue;
        }
        const char next = input.front();
        input.remove_prefix(1);
        const bool is_end_of_line = next == '\n';
        if (position_ == position::size && digits.find(next) != std::string_view::npos) {
            left_ = left_ * 16 + value_of_digit(next);
        } else if (position_ == position::end_of_data) {
            position_ = is_end_of_line ? position::size : position::end_of_data;
        } else if (position_ == position::rest_of_line || is_end_of_line) {
            position_ = !is_end_of_line ? position::rest_of_line
                        : left_ == 0    ? position::trailers
                                        : position::data;
        } else if (next == ' ' || next == '\t') {
            position_ = position::behind_size;
        } else if (next == '\r' || next == ';') {
            position_ = position::rest_of_line;
        } else {
            return false;
        }
    }
    return true;
}

body_decoder::body_decoder(body_framing framing, std::uint64_t length) noexcept
    : framing_(framing), remaining_(length) {
    chunks_.consume_trailer = 1;
}

body_decoder::decode_result body_decoder::decode(char* input, std::size_t size) {
    switch (framing_) {
    case body_framing::none:
        return {parse_progress::done, {}, 0};
    case body_framing::length:
        return decode_length(input, size);
    case body_framing::chunked:
        return decode_chunks(input, size);
    case body_framing::until_close:
        break;
    }
    return {parse_progress::incomplete, {input, size}, size};
}

body_decoder::decode_result body_decoder::decode_length(const char* input, std::size_t size) {
    const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, size));
    remaining_ -= taken;
    const auto progress = remaining_ == 0 ? parse_progress::done : parse_progress::incomplete;
    return {progress, {input, taken}, taken};
}

body_decoder::decode_result body_decoder::decode_chunks(char* input, std::size_t size) {
    if (!sizes_.accepts({input, size})) {
        return {parse_progress::malformed, {}, 0};
    }
    std::size_t decoded = size;
    const ssize_t trailing = phr_decode_chunked(&chunks_, input, &decoded);
    const std::size_t consumed = trailing > 0 ? size - static_cast<std::size_t>(trailing) : size;
    if (trailing == -1) {
        return {parse_progress::malformed, {}, 0};
    }
    overhead_ = (decoded > 0 ? 0 : overhead_) + consumed - decoded;
    if (overhead_ > max_chunk_overhead + decoded * max_chunk_overhead_ratio) {
        return {parse_progress::malformed, {}, 0};
    }
    if (trailing == -2) {
        return {parse_progress::incomplete, {input, decoded}, size};
    }
    return {parse_progress::done, {input, decoded}, consumed};
}

} // namespace samphiretray::net

#include "response_parser.h"

#include "samphiretray/base/split.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace samphiretray::net {

namespace {

constexpr std::size_t max_headers = 100;

/// The length that all Content-Length headers agree on; false if they do not or if one is not a number.
bool read_length(const http_headers& headers, std::optional<std::uint64_t>& length) {
    for (const http_header& header : headers) {
        if (!is_same_header(header.name, "content-length")) {
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

bool find_framing(response_head& head, bool answers_head) {
    std::optional<std::uint64_t> length;
    if (!read_length(head.headers, length)) {
        return false;
    }
    const std::string_view coding = find_header(head.headers, "transfer-encoding");
    if (!coding.empty() && !is_same_header(coding, "chunked")) {
        return false;
    }
    if (answers_head || head.status < 200 || head.status == 204 || head.status == 304) {
        head.framing = body_framing::none;
    } else if (!coding.empty()) {
        head.framing = body_framing::chunked;
    } else if (length) {
        head.framing = body_framing::length;
        head.length = *length;
    } else {
        head.framing = body_framing::until_close;
    }
    return true;
}

bool find_keep_alive(const response_head& head, int minor_version) {
    const std::string_view connection = find_header(head.headers, "connection");
    const bool wanted =
        minor_version >= 1 ? !is_same_header(connection, "close") : is_same_header(connection, "keep-alive");
    return wanted && head.framing != body_framing::until_close;
}

std::optional<duration> find_idle_limit(const response_head& head) {
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

head_result parse_response_head(std::string_view input, std::size_t seen, bool answers_head) {
    std::array<phr_header, max_headers> headers{};
    std::size_t count = headers.size();
    int minor_version = 0;
    const char* reason = nullptr;
    std::size_t reason_size = 0;
    head_result parsed;
    const int size = phr_parse_response(input.data(), input.size(), &minor_version, &parsed.head.status,
                                        &reason, &reason_size, headers.data(), &count, seen);
    if (size == -2 && input.size() < max_response_head) {
        return parsed;
    }
    parsed.progress = parse_progress::malformed;
    if (size < 0 || parsed.head.status < 100) {
        return parsed;
    }
    parsed.head.size = static_cast<std::size_t>(size);
    for (std::size_t i = 0; i < count; ++i) {
        // A continuation line has no name. It is refused, as RFC 9112 allows, because it hides a value.
        if (headers[i].name == nullptr) {
            return parsed;
        }
        parsed.head.headers.push_back(
            {{headers[i].name, headers[i].name_len}, {headers[i].value, headers[i].value_len}});
    }
    if (find_framing(parsed.head, answers_head)) {
        parsed.head.keep_alive = find_keep_alive(parsed.head, minor_version);
        parsed.head.idle_limit = find_idle_limit(parsed.head);
        parsed.progress = parse_progress::done;
    }
    return parsed;
}

body_decoder::body_decoder(body_framing framing, std::uint64_t length) noexcept
    : framing_(framing), left_(length) {
    chunks_.consume_trailer = 1;
}

body_decoder::step_result body_decoder::decode(char* input, std::size_t size) {
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

body_decoder::step_result body_decoder::decode_length(const char* input, std::size_t size) {
    const auto taken = static_cast<std::size_t>(std::min<std::uint64_t>(left_, size));
    left_ -= taken;
    const auto progress = left_ == 0 ? parse_progress::done : parse_progress::incomplete;
    return {progress, {input, taken}, taken};
}

body_decoder::step_result body_decoder::decode_chunks(char* input, std::size_t size) {
    std::size_t decoded = size;
    const ssize_t behind = phr_decode_chunked(&chunks_, input, &decoded);
    const std::size_t consumed = behind > 0 ? size - static_cast<std::size_t>(behind) : size;
    if (behind == -1) {
        return {parse_progress::malformed, {}, 0};
    }
    overhead_ = (decoded > 0 ? 0 : overhead_) + consumed - decoded;
    if (overhead_ > max_chunk_overhead + decoded * max_chunk_overhead_ratio) {
        return {parse_progress::malformed, {}, 0};
    }
    if (behind == -2) {
        return {parse_progress::incomplete, {input, decoded}, size};
    }
    return {parse_progress::done, {input, decoded}, consumed};
}

} // namespace samphiretray::net

#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/net/http.h"

#include "picohttpparser.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphiretray::net {

/// How the end of a response body is determined.
enum class body_framing { none, length, chunked, until_close };

/// The status line and headers of a response.
struct response_head {
    int status = 0;
    http_headers headers;
    body_framing framing = body_framing::none;
    /// Only for `body_framing::length`: the size of the body.
    std::uint64_t length = 0;
    bool keep_alive = false;
    /// Idle time after which the peer closes the connection, if it announced one in "Keep-Alive: timeout=".
    std::optional<duration> keep_alive_timeout;
    /// Length of the head in the input, in bytes.
    std::size_t size = 0;
};

enum class parse_progress { incomplete, done, malformed };

struct head_result {
    parse_progress progress = parse_progress::incomplete;
    response_head head;
};

/// Larger response heads are rejected as malformed.
inline constexpr std::size_t max_response_head = 64U << 10U;

/// Parses the response head at the start of `input`. `previous_size` is the input size of the previous call
/// for the same head, 0 for the first one. `is_response_to_head` tells that the request was a HEAD request,
/// so that there is no body. A response with an ambiguous body length (different Content-Length values or an
/// unknown transfer coding) or a status outside 100 to 599 is malformed, and so is one with a status line in
/// its reason or in the value of a header: it is a cut head with another answer behind it.
[[nodiscard]] head_result parse_response_head(std::string_view input, std::size_t previous_size,
                                              bool is_response_to_head);

/// Limits for the bytes of chunk sizes, extensions and trailers between two reads with data: a fixed
/// allowance, plus a number of bytes for each byte of data. A chunk with one byte of data has an overhead of
/// five bytes.
inline constexpr std::size_t max_chunk_overhead = 16U << 10U;
inline constexpr std::size_t max_chunk_overhead_ratio = 16;

/// Checks that nothing but white space, an extension or the end of the line follows the digits of a chunk
/// size. picohttpparser skips anything there: of a size with leading zeros that was cut, with another answer
/// behind it, it makes the last chunk.
class chunk_size_check {
public:
    /// False if a size in the next bytes of the body is malformed.
    [[nodiscard]] bool accepts(std::string_view input) noexcept;

private:
    enum class position { size, behind_size, rest_of_line, data, end_of_data, trailers };

    position position_ = position::size;
    /// The size of the chunk as far as it was read, then the bytes of the chunk that are still to come.
    std::uint64_t left_ = 0;
};

/// Decodes a response body and finds its end. A chunked body with too much overhead is malformed.
class body_decoder {
public:
    explicit body_decoder(body_framing framing = body_framing::none, std::uint64_t length = 0) noexcept;

    struct decode_result {
        parse_progress progress = parse_progress::incomplete;
        /// Decoded bytes, at the start of the input.
        std::string_view data;
        /// Bytes of the input that belong to the body, decoded or not.
        std::size_t consumed = 0;
    };

    /// Decodes `size` bytes in place.
    [[nodiscard]] decode_result decode(char* input, std::size_t size);
    /// True if a normal close of the connection by the peer completes the body.
    [[nodiscard]] bool may_end_at_close() const noexcept { return framing_ == body_framing::until_close; }

private:
    [[nodiscard]] decode_result decode_length(const char* input, std::size_t size);
    [[nodiscard]] decode_result decode_chunks(char* input, std::size_t size);

    body_framing framing_;
    std::uint64_t remaining_;
    /// Bytes of chunk sizes, extensions and trailers since the last read with data.
    std::size_t overhead_ = 0;
    phr_chunked_decoder chunks_{};
    chunk_size_check sizes_;
};

} // namespace samphiretray::net

#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/net/http.h"

#include "picohttpparser.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace samphiretray::net {

/// How the end of a response body is found.
enum class body_framing { none, length, chunked, until_close };

struct response_head {
    int status = 0;
    http_headers headers;
    body_framing framing = body_framing::none;
    /// With `body_framing::length`.
    std::uint64_t length = 0;
    bool keep_alive = false;
    /// Idle time after which the peer closes the connection, if "Keep-Alive: timeout=" states it.
    std::optional<duration> idle_limit;
    /// Bytes of the head in the input.
    std::size_t size = 0;
};

enum class parse_progress { incomplete, done, malformed };

struct head_result {
    parse_progress progress = parse_progress::incomplete;
    response_head head;
};

/// Largest head that is accepted.
inline constexpr std::size_t max_response_head = 64U << 10U;

/// Parses the head at the start of `input`. `seen` bytes were there at the last call. A response whose length
/// is ambiguous (unequal lengths, an unknown transfer coding) is malformed.
[[nodiscard]] head_result parse_response_head(std::string_view input, std::size_t seen, bool answers_head);

/// Most bytes of chunk sizes, extensions and trailers without a byte of data, and besides for each byte of
/// data: a chunk of one byte has five.
inline constexpr std::size_t max_chunk_overhead = 16U << 10U;
inline constexpr std::size_t max_chunk_overhead_ratio = 16;

/// Finds the end of a response body. A chunked body with too much overhead is malformed.
class body_decoder {
public:
    explicit body_decoder(body_framing framing = body_framing::none, std::uint64_t length = 0) noexcept;

    struct step_result {
        parse_progress progress = parse_progress::incomplete;
        /// Decoded bytes, at the start of the input.
        std::string_view data;
        /// Bytes of the input that belong to the body, decoded or not.
        std::size_t consumed = 0;
    };

    /// Decodes `size` bytes in place.
    [[nodiscard]] step_result decode(char* input, std::size_t size);
    /// True if the body may end where the peer has closed its side in an orderly way.
    [[nodiscard]] bool may_end_at_close() const noexcept { return framing_ == body_framing::until_close; }

private:
    [[nodiscard]] step_result decode_length(const char* input, std::size_t size);
    [[nodiscard]] step_result decode_chunks(char* input, std::size_t size);

    body_framing framing_;
    std::uint64_t left_;
    /// Bytes of chunk sizes, extensions and trailers since the last read that had data.
    std::size_t overhead_ = 0;
    phr_chunked_decoder chunks_{};
};

} // namespace samphiretray::net

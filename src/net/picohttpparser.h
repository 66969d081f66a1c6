#pragma once

#include <sys/types.h>

#include <cstddef>

/// Declarations of picohttpparser, which libh2o contains and exports. Debian does not install its header.
extern "C" {

struct phr_header {
    const char* name;
    std::size_t name_len;
    const char* value;
    std::size_t value_len;
};

struct phr_chunked_decoder {
    std::size_t bytes_left_in_chunk;
    char consume_trailer;
    char _hex_count;
    char _state;
};

/// Parses the status line and the headers. Returns their length, -1 if they are malformed, or -2 if they are
/// incomplete. `last_len` is the `len` of the previous call for the same response, 0 for the first call.
int phr_parse_response(const char* buf, std::size_t len, int* minor_version, int* status, const char** msg,
                       std::size_t* msg_len, phr_header* headers, std::size_t* num_headers,
                       std::size_t last_len);

/// Decodes a chunked body in place and sets `bufsz` to the decoded length. Returns the number of bytes after
/// the body, -1 if the body is malformed, or -2 if it is incomplete.
ssize_t phr_decode_chunked(phr_chunked_decoder* decoder, char* buf, std::size_t* bufsz);
}

#pragma once

#include <sys/types.h>

#include <cstddef>

/// Declarations of the HTTP parser that libh2o contains and exports, but whose header Debian does not
/// install.
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

/// Returns the length of the head, -1 for a malformed head, -2 for an incomplete one. `last_len` is the
/// length that was seen by the previous call for the same head.
int phr_parse_response(const char* buf, std::size_t len, int* minor_version, int* status, const char** msg,
                       std::size_t* msg_len, phr_header* headers, std::size_t* num_headers,
                       std::size_t last_len);

/// Decodes in place and sets `bufsz` to the decoded length. Returns the number of bytes behind the body, -1
/// for a malformed body, -2 if the body goes on.
ssize_t phr_decode_chunked(phr_chunked_decoder* decoder, char* buf, std::size_t* bufsz);
}

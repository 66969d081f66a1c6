#pragma once

#include <h2o.h>

#include <cstddef>

namespace samphiretray::net {

/// Frees the input buffer of a socket if it is empty but large: h2o keeps the memory of the largest input
/// that a connection has had. Nothing may point into the buffer.
inline void release_empty_input(h2o_socket_t* socket) {
    constexpr std::size_t max_kept_bytes = 64U << 10U;
    if (socket->input->size == 0 && socket->input->capacity > max_kept_bytes) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
}

} // namespace samphiretray::net

#pragma once

#include <h2o.h>

namespace samphiretray::net {

/// To be called when a write has ended and no other has begun: makes h2o stop polling the socket for
/// writability. h2o leaves the polling on if a write ended at once while the socket was still polled for an
/// earlier, blocked one. It then finds no write callback when the socket becomes writable, and aborts the
/// process.
inline void update_polled_events(h2o_socket_t* socket) {
    // Both calls only mark the socket, so that its polled events are determined anew.
    if (h2o_socket_is_reading(socket)) {
        h2o_socket_read_start(socket, socket->_cb.read);
    } else {
        h2o_socket_read_stop(socket);
    }
}

} // namespace samphiretray::net

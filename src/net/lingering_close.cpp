#include "lingering_close.h"

#include <fcntl.h>
#include <h2o.h>
#include <sys/socket.h>

#include <memory>

namespace samphiretray::net {

namespace {

constexpr duration linger_timeout = 1s;
/// Most connections that linger at a time; each of them holds a descriptor.
constexpr int max_lingering = 64;

int lingering_count = 0;

struct lingering_socket {
    h2o_socket_t* socket = nullptr;
    timer_handle timeout_timer;
};

void close_lingering(lingering_socket* lingering) {
    h2o_socket_close(lingering->socket);
    --lingering_count;
    delete lingering;
}

void discard_input(h2o_socket_t* socket, const char* failure) {
    if (failure != nullptr) {
        close_lingering(static_cast<lingering_socket*>(socket->data));
        return;
    }
    h2o_buffer_consume(&socket->input, socket->input->size);
}

} // namespace

void linger_before_close(loop& events, int descriptor) {
    const int duplicate = lingering_count < max_lingering ? ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0) : -1;
    if (duplicate < 0) {
        return;
    }
    ++lingering_count;
    ::shutdown(duplicate, SHUT_WR);
    auto* lingering = new lingering_socket;
    lingering->socket = h2o_evloop_socket_create(events.native(), duplicate, 0);
    lingering->socket->data = lingering;
    lingering->timeout_timer = events.after(linger_timeout, [lingering] {
        const timer_handle running_timer = std::move(lingering->timeout_timer);
        close_lingering(lingering);
    });
    h2o_socket_read_start(lingering->socket, discard_input);
}

} // namespace samphiretray::net

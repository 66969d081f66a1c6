#include "listener.h"

#include "samphiretray/base/log.h"

#include "socket_address.h"

#include <h2o.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace samphiretray::net {

namespace {

// Bounds the connections accepted in one loop iteration, so that a burst of new connections does not delay
// the open ones.
constexpr int max_accepts_per_iteration = 32;
// Bytes of a request that the kernel keeps before they are read; it doubles this for its own needs. Accepted
// connections inherit it. Without a limit it lets the buffer of a fast upload grow to the system's maximum.
constexpr int receive_buffer_size = 256 << 10;
// Accepting pauses for this long when the process has run out of file descriptors. The listening socket stays
// readable meanwhile, so without the pause the loop would spin.
constexpr duration descriptor_shortage_pause = 100ms;

error listen_error(const address& listen, std::string_view call) {
    return make_error(errc::connection_failed, step::connect, to_string(listen),
                      std::string{call} + ": " + std::strerror(errno));
}

result<int> open_listening_socket(const address& listen, int backlog) {
    const auto target = to_socket_address(listen);
    if (!target) {
        return make_error(errc::connection_failed, step::connect, to_string(listen),
                          "the listen address is not a numeric IP address");
    }
    const int descriptor = ::socket(target->get()->sa_family, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0) {
        return listen_error(listen, "socket");
    }
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_size, sizeof(receive_buffer_size)) !=
        0) {
        log_event(log_level::debug, "receive_buffer_not_limited", {{"errno", errno}});
    }
    const bool bound = ::bind(descriptor, target->get(), target->length) == 0;
    if (!bound || ::listen(descriptor, backlog) != 0) {
        error failure = listen_error(listen, bound ? "listen" : "bind");
        ::close(descriptor);
        return failure;
    }
    return descriptor;
}

} // namespace

result<std::unique_ptr<listener>> listener::create(loop& events, const address& listen,
                                                   std::function<void(st_h2o_socket_t*)> on_accept,
                                                   listener_options options) {
    const auto descriptor = open_listening_socket(listen, options.backlog);
    if (!descriptor) {
        return descriptor.error();
    }
    std::unique_ptr<listener> created{new listener(events, std::move(on_accept), std::move(options))};
    created->start(*descriptor);
    return created;
}

listener::listener(loop& events, std::function<void(st_h2o_socket_t*)> on_accept, listener_options options)
    : events_(events), on_accept_(std::move(on_accept)), options_(std::move(options)) {}

listener::~listener() {
    stop();
}

void listener::start(int descriptor) {
    socket_address local;
    local.length = sizeof(local.bytes);
    ::getsockname(descriptor, local.get(), &local.length);
    local_address_ = from_socket_address(local.get());
    socket_ = h2o_evloop_socket_create(events_.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    socket_->data = this;
    h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char*) {
        static_cast<listener*>(socket->data)->accept_pending();
    });
}

void listener::accept_pending() {
    for (int i = 0; i < max_accepts_per_iteration && socket_ != nullptr; ++i) {
        const duration wait = options_.wait_before_accept ? options_.wait_before_accept() : duration::zero();
        if (wait > duration::zero()) {
            pause_accepting(wait);
            return;
        }
        errno = 0;
        h2o_socket_t* accepted = h2o_evloop_socket_accept(socket_);
        if (accepted == nullptr) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
                pause_accepting(descriptor_shortage_pause);
            }
            return;
        }
        on_accept_(accepted);
    }
}

void listener::pause_accepting(duration pause) {
    h2o_socket_read_stop(socket_);
    resume_timer_ = events_.after(pause, [this] {
        h2o_socket_read_start(socket_, [](h2o_socket_t* socket, const char*) {
            static_cast<listener*>(socket->data)->accept_pending();
        });
    });
}

void listener::stop() {
    resume_timer_.reset();
    if (socket_ != nullptr) {
        h2o_socket_close(std::exchange(socket_, nullptr));
    }
}

} // namespace samphiretray::net

#include "tests/support/raw_socket.h"

#include "src/net/socket_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <stdexcept>
#include <utility>

namespace samphiretray::net::testing {

namespace {

constexpr duration poll_interval = 1ms;

/// Runs the loop until `done` returns true, and calls it at least once a millisecond.
bool run_polling(loop& events, const std::function<bool()>& done) {
    const timer_handle tick = events.every(poll_interval, [] {});
    return events.run_until(done, hang_limit);
}

address local_address_of(int descriptor) {
    socket_address local;
    local.length = sizeof(local.bytes);
    ::getsockname(descriptor, local.get(), &local.length);
    return from_socket_address(local.get());
}

int bound_socket(const address& at = {"127.0.0.1", 0}) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto native = to_socket_address(at);
    if (descriptor < 0 || ::bind(descriptor, native->get(), native->length) != 0) {
        throw std::runtime_error("cannot bind a loopback socket");
    }
    return descriptor;
}

} // namespace

raw_socket::raw_socket(raw_socket&& other) noexcept
    : received(std::move(other.received)), descriptor_(std::exchange(other.descriptor_, -1)) {}

raw_socket raw_socket::connect(const address& peer, int receive_buffer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = to_socket_address(peer);
    const bool is_limited = receive_buffer == 0 || ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF,
                                                                &receive_buffer, sizeof(receive_buffer)) == 0;
    if (descriptor < 0 || !is_limited || ::connect(descriptor, target->get(), target->length) != 0) {
        throw std::runtime_error("cannot connect to " + to_string(peer));
    }
    return raw_socket{descriptor};
}

void raw_socket::send(loop& events, std::string_view text) {
    run_polling(events, [&] {
        const auto sent = ::send(descriptor_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent > 0) {
            text.remove_prefix(static_cast<std::size_t>(sent));
        }
        return text.empty() || (sent < 0 && errno != EAGAIN);
    });
}

void raw_socket::send_now(std::string_view text) {
    const auto sent = ::send(descriptor_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(text.size())) {
        throw std::runtime_error("the text was not sent at once");
    }
}

raw_socket::read_state raw_socket::read_some() {
    std::array<char, 65536> buffer{};
    const auto count = ::recv(descriptor_, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(count));
        return read_state::got_bytes;
    }
    if (count == 0) {
        return read_state::closed;
    }
    return errno == EAGAIN ? read_state::waiting : read_state::reset;
}

bool raw_socket::receive_until(loop& events, std::string_view text) {
    run_polling(events, [&] {
        const read_state state = read_some();
        return received.find(text) != std::string::npos || state == read_state::closed ||
               state == read_state::reset;
    });
    return received.find(text) != std::string::npos;
}

bool raw_socket::receive_all(loop& events) {
    read_state state = read_state::waiting;
    run_polling(events, [&] {
        state = read_some();
        return state == read_state::closed || state == read_state::reset;
    });
    return state == read_state::closed;
}

void raw_socket::close() {
    if (descriptor_ >= 0) {
        ::close(std::exchange(descriptor_, -1));
    }
}

void raw_socket::finish_sending() {
    ::shutdown(descriptor_, SHUT_WR);
}

void raw_socket::reset() {
    const linger reset_on_close{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
    close();
}

raw_listener::raw_listener(const address& at) : descriptor_(bound_socket(at)) {
    ::listen(descriptor_, 16);
}

unanswering_listener::unanswering_listener() : descriptor_(bound_socket()) {
    ::listen(descriptor_, 0);
    const auto target = to_socket_address(local_address());
    for (int& filler : fillers_) {
        filler = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        (void)::connect(filler, target->get(), target->length);
    }
}

unanswering_listener::~unanswering_listener() {
    std::ranges::for_each(fillers_, ::close);
    ::close(descriptor_);
}

address unanswering_listener::local_address() const {
    return local_address_of(descriptor_);
}

raw_listener::~raw_listener() {
    ::close(descriptor_);
}

address raw_listener::local_address() const {
    return local_address_of(descriptor_);
}

raw_socket raw_listener::accept(loop& events) {
    int accepted = -1;
    const int flags = SOCK_CLOEXEC;
    // The descriptor is blocking, so `select` first checks whether a connection is waiting.
    run_polling(events, [&] {
        timeval no_wait{0, 0};
        fd_set readable_set;
        FD_ZERO(&readable_set);
        FD_SET(descriptor_, &readable_set);
        if (::select(descriptor_ + 1, &readable_set, nullptr, nullptr, &no_wait) > 0) {
            accepted = ::accept4(descriptor_, nullptr, nullptr, flags);
        }
        return accepted >= 0;
    });
    return raw_socket{accepted};
}

address unused_address() {
    const int descriptor = bound_socket();
    address unused = local_address_of(descriptor);
    ::close(descriptor);
    return unused;
}

} // namespace samphiretray::net::testing

#include "soak/fault_proxy.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <deque>
#include <list>
#include <stdexcept>
#include <string>
#include <vector>

namespace samphiretray::soak {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds delay{100};
constexpr int poll_ms = 5;
constexpr std::size_t read_size = 64U << 10U;

sockaddr_in to_native(const net::address& at) {
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(at.port);
    ::inet_pton(AF_INET, at.host.c_str(), &native.sin_addr);
    return native;
}

int open_socket() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return descriptor;
}

/// One direction of a connection.
struct half {
    int from = -1;
    int to = -1;
    bool answers = false;
    bool ended = false;
    bool end_passed = false;
    std::deque<std::pair<clock::time_point, std::string>> held;
};

struct connection {
    std::array<half, 2> halves;
    bool broken = false;
};

void read_some(half& of, connection& in) {
    if (of.ended) {
        return;
    }
    std::string bytes(read_size, '\0');
    const ssize_t size = ::read(of.from, bytes.data(), bytes.size());
    if (size > 0) {
        bytes.resize(static_cast<std::size_t>(size));
        of.held.emplace_back(clock::now(), std::move(bytes));
    } else if (size == 0) {
        of.ended = true;
    } else if (errno != EAGAIN && errno != ENOTCONN) {
        in.broken = true;
    }
}

void write_some(half& of, connection& in, link_fault fault) {
    const bool is_held = fault == link_fault::silent || (fault == link_fault::one_way && of.answers);
    const auto wait = fault == link_fault::delayed ? delay : std::chrono::milliseconds{0};
    while (!is_held && !of.held.empty() && clock::now() - of.held.front().first >= wait) {
        std::string& bytes = of.held.front().second;
        const ssize_t size = ::send(of.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            in.broken = in.broken || (errno != EAGAIN && errno != ENOTCONN);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(size));
        if (!bytes.empty()) {
            return;
        }
        of.held.pop_front();
    }
    if (of.ended && of.held.empty() && !of.end_passed && !is_held) {
        of.end_passed = true;
        ::shutdown(of.to, SHUT_WR);
    }
}

void close_connection(connection& gone, bool reset) {
    for (const half& each : gone.halves) {
        if (reset) {
            const linger now{1, 0};
            ::setsockopt(each.from, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        }
        ::close(each.from);
    }
}

} // namespace

fault_proxy::fault_proxy(const net::address& listen, const net::address& target)
    : target_(target), listener_(open_socket()) {
    const sockaddr_in native = to_native(listen);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 ||
        ::listen(listener_, SOMAXCONN) != 0) {
        throw std::runtime_error("no proxy at " + net::to_string(listen));
    }
    thread_ = std::thread{[this] { run(); }};
}

fault_proxy::~fault_proxy() {
    stopped_ = true;
    thread_.join();
    ::close(listener_);
}

void fault_proxy::run() {
    std::list<connection> connections;
    while (!stopped_) {
        std::vector<pollfd> waits{{listener_, POLLIN, 0}};
        for (const connection& each : connections) {
            for (const half& direction : each.halves) {
                waits.push_back({direction.from, static_cast<short>(direction.ended ? 0 : POLLIN), 0});
            }
        }
        ::poll(waits.data(), waits.size(), poll_ms);
        const link_fault fault = fault_;
        for (int accepted = 0;
             (accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const int out = open_socket();
            const sockaddr_in native = to_native(target_);
            ::connect(out, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
            connections.push_back(
                {{half{accepted, out, false, false, false, {}}, half{out, accepted, true, false, false, {}}},
                 false});
        }
        for (connection& each : connections) {
            for (half& direction : each.halves) {
                read_some(direction, each);
                write_some(direction, each, fault);
            }
        }
        std::erase_if(connections, [fault](connection& each) {
            const bool done = each.halves[0].end_passed && each.halves[1].end_passed;
            const bool reset = each.broken || fault == link_fault::reset;
            if (done || reset) {
                close_connection(each, reset);
            }
            return done || reset;
        });
    }
    for (connection& each : connections) {
        close_connection(each, true);
    }
}

} // namespace samphiretray::soak

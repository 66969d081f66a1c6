#include "soak/fault_proxy.h"

#include "samphiretray/base/text.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <list>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace samphiretray::soak {

namespace {

using clock = std::chrono::steady_clock;

constexpr std::chrono::milliseconds added_delay{100};
constexpr std::chrono::milliseconds repetition_delay{15};
constexpr int poll_ms = 5;
constexpr std::size_t read_size = 64U << 10U;
/// More connections than a queue of length 0 takes.
constexpr int filler_count = 4;

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

/// One direction of a proxied connection.
struct relay_direction {
    int from = -1;
    int to = -1;
    /// Whether it carries the bytes that the target sends.
    bool from_target = false;
    bool eof_received = false;
    bool eof_forwarded = false;
    struct chunk {
        /// Not forwarded before this time.
        clock::time_point since;
        std::string bytes;
    };
    /// Bytes not yet forwarded.
    std::deque<chunk> buffered;
};

struct connection {
    std::array<relay_direction, 2> directions;
    bool failed = false;
};

/// Whether the bytes are one response with all of its body.
bool is_whole_response(std::string_view bytes) {
    constexpr std::string_view length_name = "content-length: ";
    const std::size_t head_end = bytes.find("\r\n\r\n");
    const std::size_t length_at = bytes.find(length_name);
    if (!bytes.starts_with("HTTP/1.1 ") || head_end == std::string_view::npos || length_at > head_end) {
        return false;
    }
    const std::size_t value_at = length_at + length_name.size();
    const auto length =
        parse_number<std::size_t>(bytes.substr(value_at, bytes.find('\r', value_at) - value_at));
    return length && bytes.size() == head_end + 4 + *length;
}

void read_available(relay_direction& direction, connection& parent, link_fault fault) {
    if (direction.eof_received) {
        return;
    }
    std::string bytes(read_size, '\0');
    const ssize_t size = ::read(direction.from, bytes.data(), bytes.size());
    if (size > 0) {
        bytes.resize(static_cast<std::size_t>(size));
        const clock::time_point now = clock::now();
        const bool is_repeated =
            direction.from_target && (fault == link_fault::repeated ||
                                      (fault == link_fault::repeated_responses && is_whole_response(bytes)));
        if (is_repeated) {
            direction.buffered.push_back({now, bytes});
            direction.buffered.push_back({now + repetition_delay, std::move(bytes)});
        } else {
            direction.buffered.push_back({now, std::move(bytes)});
        }
    } else if (size == 0) {
        direction.eof_received = true;
    } else if (errno != EAGAIN && errno != ENOTCONN) {
        parent.failed = true;
    }
}

void forward_buffered(relay_direction& direction, connection& parent, link_fault fault) {
    const bool is_blocked = fault == link_fault::silent || fault == link_fault::unreachable ||
                            (fault == link_fault::one_way && direction.from_target);
    const auto min_age = fault == link_fault::delayed ? added_delay : std::chrono::milliseconds{0};
    while (!is_blocked && !direction.buffered.empty() &&
           clock::now() - direction.buffered.front().since >= min_age) {
        std::string& bytes = direction.buffered.front().bytes;
        const ssize_t size = ::send(direction.to, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size < 0) {
            parent.failed = parent.failed || (errno != EAGAIN && errno != ENOTCONN);
            return;
        }
        bytes.erase(0, static_cast<std::size_t>(size));
        if (!bytes.empty()) {
            return;
        }
        direction.buffered.pop_front();
    }
    if (direction.eof_received && direction.buffered.empty() && !direction.eof_forwarded && !is_blocked) {
        direction.eof_forwarded = true;
        ::shutdown(direction.to, SHUT_WR);
    }
}

void close_connection(connection& closed, bool reset) {
    for (const relay_direction& direction : closed.directions) {
        if (reset) {
            const linger reset_on_close{1, 0};
            ::setsockopt(direction.from, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        }
        ::close(direction.from);
    }
}

} // namespace

fault_proxy::fault_proxy(const net::address& listen, const net::address& target)
    : listen_(listen), target_(target), listener_(open_socket()) {
    const sockaddr_in native = to_native(listen);
    if (::bind(listener_, reinterpret_cast<const sockaddr*>(&native), sizeof(native)) != 0 ||
        ::listen(listener_, SOMAXCONN) != 0) {
        throw std::runtime_error("fault proxy cannot listen at " + net::to_string(listen));
    }
    thread_ = std::thread{[this] { run(); }};
}

fault_proxy::~fault_proxy() {
    stopped_ = true;
    thread_.join();
    set_unreachable(false);
    ::close(listener_);
}

void fault_proxy::set_unreachable(bool unreachable) {
    if (unreachable == !fillers_.empty()) {
        return;
    }
    ::listen(listener_, unreachable ? 0 : SOMAXCONN);
    std::ranges::for_each(std::exchange(fillers_, {}), ::close);
    const sockaddr_in native = to_native(listen_);
    for (int i = 0; unreachable && i < filler_count; ++i) {
        fillers_.push_back(open_socket());
        ::connect(fillers_.back(), reinterpret_cast<const sockaddr*>(&native), sizeof(native));
    }
}

void fault_proxy::run() {
    std::list<connection> connections;
    while (!stopped_) {
        set_unreachable(fault_ == link_fault::unreachable);
        std::vector<pollfd> poll_set{{fillers_.empty() ? listener_ : -1, POLLIN, 0}};
        for (const connection& each : connections) {
            for (const relay_direction& direction : each.directions) {
                poll_set.push_back(
                    {direction.from, static_cast<short>(direction.eof_received ? 0 : POLLIN), 0});
            }
        }
        ::poll(poll_set.data(), poll_set.size(), poll_ms);
        const link_fault fault = fault_;
        for (int accepted = 0;
             fillers_.empty() &&
             (accepted = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            const int upstream = open_socket();
            const sockaddr_in native = to_native(target_);
            ::connect(upstream, reinterpret_cast<const sockaddr*>(&native), sizeof(native));
            connections.push_back({{relay_direction{accepted, upstream, false, false, false, {}},
                                    relay_direction{upstream, accepted, true, false, false, {}}},
                                   false});
        }
        for (connection& each : connections) {
            for (relay_direction& direction : each.directions) {
                read_available(direction, each, fault);
                forward_buffered(direction, each, fault);
            }
        }
        std::erase_if(connections, [fault](connection& each) {
            const bool done = each.directions[0].eof_forwarded && each.directions[1].eof_forwarded;
            const bool reset = each.failed || fault == link_fault::reset;
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

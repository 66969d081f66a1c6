#include "tests/overload/crowd.h"

#include "src/net/socket_address.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace samphiretray::tests {

namespace {

/// Small, so that answers stay with their sender.
constexpr int receive_buffer = 4096;
constexpr duration patience = 1s;

std::string numbered(std::string text, std::size_t number) {
    for (auto at = text.find('@'); at != std::string::npos; at = text.find('@')) {
        text.replace(at, 1, std::to_string(number));
    }
    return text;
}

int connect_to(const net::address& peer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
    const auto target = net::to_socket_address(peer);
    if (::connect(descriptor, target->get(), target->length) != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
}

} // namespace

crowd::crowd(net::loop& events, const net::address& peer, std::size_t size, std::size_t piece)
    : events_(events), piece_(piece), connections_(size) {
    for (connection& each : connections_) {
        each.descriptor = connect_to(peer);
        each.closed = each.descriptor < 0;
    }
}

crowd::~crowd() {
    for (const connection& each : connections_) {
        if (each.descriptor >= 0) {
            ::close(each.descriptor);
        }
    }
}

bool crowd::send_piece(connection& from) const {
    const bool is_head = from.sent < from.head.size();
    const std::string_view rest = is_head ? std::string_view{from.head}.substr(from.sent)
                                          : std::string_view{body_}.substr(from.sent - from.head.size());
    if (from.closed || rest.empty()) {
        return false;
    }
    const auto sent =
        ::send(from.descriptor, rest.data(), std::min(rest.size(), piece_), MSG_DONTWAIT | MSG_NOSIGNAL);
    from.closed = sent < 0 && errno != EAGAIN;
    from.sent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    return sent > 0;
}

void crowd::begin(const std::string& head, std::string body) {
    body_ = std::move(body);
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        connections_[i].head = numbered(head, i);
        connections_[i].sent = 0;
    }
}

bool crowd::push() {
    std::size_t taken = 0;
    for (connection& each : connections_) {
        taken += send_piece(each) ? 1 : 0;
    }
    return taken > 0;
}

void crowd::send(const std::string& head, std::string body) {
    begin(head, std::move(body));
    const auto is_done = [&](const connection& each) {
        return each.closed || each.sent == each.head.size() + body_.size();
    };
    time_point last_sent = events_.now();
    const net::timer_handle tick = events_.every(1ms, [] {});
    events_.run_until(
        [&] {
            last_sent = push() ? events_.now() : last_sent;
            return std::ranges::all_of(connections_, is_done) || events_.now() - last_sent > patience;
        },
        120s);
}

} // namespace samphiretray::tests

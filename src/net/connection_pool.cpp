#include "connection_pool.h"

#include <algorithm>
#include <utility>

namespace samphiretray::net {

namespace {

// Shorter than the idle time of common servers (60 s), so that it is mostly the client that closes. A request
// that crosses a server's close would fail without an answer.
constexpr duration idle_limit = 20s;
constexpr duration cleaning_interval = 5s;
// Part of the idle time announced by the peer in which a connection is still used; the rest covers the way of
// a request that would cross the peer's close.
constexpr double announced_part = 0.5;
// For each peer; bounds the descriptors that a burst leaves behind.
constexpr std::size_t max_idle_connections = 256;

} // namespace

connection_pool::~connection_pool() {
    for (const auto& [peer, connections] : idle_) {
        for (const auto& connection : connections) {
            h2o_socket_close(connection->socket);
        }
    }
}

h2o_socket_t* connection_pool::take(const address& peer, duration max_idle) {
    const auto found = idle_.find(peer);
    if (found == idle_.end() || found->second.empty()) {
        return nullptr;
    }
    const time_point now = events_.now();
    // The one used last is the least likely to be closed by the peer.
    const idle_connection& latest = *found->second.back();
    if (latest.expires <= now || now - latest.idle_since > max_idle) {
        return nullptr;
    }
    h2o_socket_t* socket = found->second.back()->socket;
    found->second.pop_back();
    h2o_socket_read_stop(socket);
    return socket;
}

void connection_pool::put(const address& peer, h2o_socket_t* socket, std::optional<duration> peer_limit) {
    auto& connections = idle_[peer];
    if (connections.size() >= max_idle_connections) {
        h2o_socket_close(socket);
        return;
    }
    const time_point now = events_.now();
    const duration usable =
        std::chrono::duration_cast<duration>(peer_limit.value_or(idle_limit * 2) * announced_part);
    connections.push_back(std::make_unique<idle_connection>(
        idle_connection{this, peer, socket, now, now + std::min(usable, idle_limit)}));
    socket->data = connections.back().get();
    h2o_socket_read_start(socket, on_idle_read);
    if (!cleaner_) {
        cleaner_ = events_.every(cleaning_interval, [this] { close_expired(); });
    }
}

void connection_pool::on_idle_read(h2o_socket_t* socket, const char*) {
    // The peer has closed, or has sent bytes that no request asked for.
    auto* connection = static_cast<idle_connection*>(socket->data);
    h2o_socket_close(socket);
    connection->pool->remove(connection);
}

void connection_pool::remove(idle_connection* connection) {
    auto& connections = idle_[connection->peer];
    std::erase_if(connections, [connection](const auto& each) { return each.get() == connection; });
}

void connection_pool::close_expired() {
    const time_point now = events_.now();
    for (auto& [peer, connections] : idle_) {
        std::erase_if(connections, [now](const auto& connection) {
            if (connection->expires > now) {
                return false;
            }
            h2o_socket_close(connection->socket);
            return true;
        });
    }
    std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
    if (idle_.empty()) {
        cleaner_.reset();
    }
}

} // namespace samphiretray::net

#include "connection_pool.h"

#include <algorithm>
#include <utility>

namespace samphiretray::net {

namespace {

// Shorter than the idle timeout of common servers (60 s), so that usually the client closes first. A request
// sent while the server is closing the connection would fail without a response.
constexpr duration max_pooled_idle_time = 20s;
constexpr duration expiry_check_interval = 5s;
// A connection is reused only during this fraction of the idle timeout that the peer announced. The rest is a
// margin for the time a request takes to reach the peer, which could close the connection meanwhile.
constexpr double announced_timeout_fraction = 0.5;
// Per peer; bounds the file descriptors that stay open after a burst.
constexpr std::size_t max_idle_connections = 256;

} // namespace

connection_pool::~connection_pool() {
    for (const auto& [peer, connections] : idle_connections_) {
        for (const auto& connection : connections) {
            h2o_socket_close(connection->socket);
        }
    }
}

h2o_socket_t* connection_pool::take(const address& peer, duration max_idle) {
    const auto found = idle_connections_.find(peer);
    if (found == idle_connections_.end() || found->second.empty()) {
        return nullptr;
    }
    const time_point now = events_.now();
    // The most recently used connection is the least likely to have been closed by the peer.
    const idle_connection& most_recent = *found->second.back();
    if (most_recent.expires_at <= now || now - most_recent.idle_since > max_idle) {
        return nullptr;
    }
    h2o_socket_t* socket = found->second.back()->socket;
    found->second.pop_back();
    h2o_socket_read_stop(socket);
    return socket;
}

void connection_pool::put(const address& peer, h2o_socket_t* socket,
                          std::optional<duration> announced_idle_timeout) {
    auto& connections = idle_connections_[peer];
    if (connections.size() >= max_idle_connections) {
        h2o_socket_close(socket);
        return;
    }
    const time_point now = events_.now();
    const duration usable_time = std::chrono::duration_cast<duration>(
        announced_idle_timeout.value_or(max_pooled_idle_time * 2) * announced_timeout_fraction);
    connections.push_back(std::make_unique<idle_connection>(
        idle_connection{this, peer, socket, now, now + std::min(usable_time, max_pooled_idle_time)}));
    socket->data = connections.back().get();
    h2o_socket_read_start(socket, on_idle_read);
    if (!expiry_timer_) {
        expiry_timer_ = events_.every(expiry_check_interval, [this] { close_expired(); });
    }
}

void connection_pool::on_idle_read(h2o_socket_t* socket, const char*) {
    // The peer has closed the connection or has sent bytes without a request.
    auto* connection = static_cast<idle_connection*>(socket->data);
    h2o_socket_close(socket);
    connection->pool->remove(connection);
}

void connection_pool::remove(idle_connection* connection) {
    auto& connections = idle_connections_[connection->peer];
    std::erase_if(connections, [connection](const auto& each) { return each.get() == connection; });
}

void connection_pool::close_expired() {
    const time_point now = events_.now();
    for (auto& [peer, connections] : idle_connections_) {
        std::erase_if(connections, [now](const auto& connection) {
            if (connection->expires_at > now) {
                return false;
            }
            h2o_socket_close(connection->socket);
            return true;
        });
    }
    std::erase_if(idle_connections_, [](const auto& entry) { return entry.second.empty(); });
    if (idle_connections_.empty()) {
        expiry_timer_.reset();
    }
}

} // namespace samphiretray::net

#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <h2o.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace samphiretray::net {

/// The idle keep-alive connections of an HTTP client, by peer.
class connection_pool {
public:
    explicit connection_pool(loop& events) : events_(events) {}
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// Removes and returns a connection to `peer` that has been idle for at most `max_idle`, or null. The
    /// caller owns the socket.
    [[nodiscard]] h2o_socket_t* take(const address& peer, duration max_idle);
    /// Takes ownership of `socket` and keeps it for later calls, or closes it if the peer has the maximum
    /// number of idle connections. `announced_idle_timeout` is the idle timeout that the peer announced, if
    /// any.
    void put(const address& peer, h2o_socket_t* socket, std::optional<duration> announced_idle_timeout);

private:
    struct idle_connection {
        connection_pool* pool = nullptr;
        address peer;
        h2o_socket_t* socket = nullptr;
        time_point idle_since;
        time_point expires_at;
    };

    static void on_idle_read(h2o_socket_t* socket, const char* failure);
    void remove(idle_connection* connection);
    void close_expired();

    loop& events_;
    std::map<address, std::vector<std::unique_ptr<idle_connection>>> idle_connections_;
    timer_handle expiry_timer_;
};

} // namespace samphiretray::net

#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <h2o.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace samphiretray::net {

/// Idle keep-alive connections of a client.
class connection_pool {
public:
    explicit connection_pool(loop& events) : events_(events) {}
    ~connection_pool();
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;

    /// A connection to `peer` that has been idle for at most `max_idle`, or null. The caller owns it.
    [[nodiscard]] h2o_socket_t* take(const address& peer, duration max_idle);
    /// Keeps `socket` for the next call, or closes it if enough are idle. `peer_limit` is the idle time that
    /// the peer has announced, if it did.
    void put(const address& peer, h2o_socket_t* socket, std::optional<duration> peer_limit);

private:
    struct idle_connection {
        connection_pool* pool = nullptr;
        address peer;
        h2o_socket_t* socket = nullptr;
        time_point idle_since;
        time_point expires;
    };

    static void on_idle_read(h2o_socket_t* socket, const char* failure);
    void remove(idle_connection* connection);
    void close_expired();

    loop& events_;
    std::map<address, std::vector<std::unique_ptr<idle_connection>>> idle_;
    timer_handle cleaner_;
};

} // namespace samphiretray::net

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphiretray::net {

/// A WebSocket connection between two processes of the system; carries binary messages in order. Releasing
/// the last reference closes the connection without events, unless `close` was called before.
class peer_link {
public:
    virtual ~peer_link() = default;

    /// Queues a message; messages of one loop iteration are written together. Ignored after the link has
    /// closed. A message of more than `max_message_bytes` closes the link with `errc::too_large`.
    virtual void send(std::string_view message) = 0;
    /// Closes the link after the queued messages have been written.
    virtual void close() = 0;

    virtual void on_message(std::function<void(std::string_view)> action) = 0;
    /// Calls `action` once, from the loop, when the link has closed for any reason. Codes:
    /// `connection_closed`, `timeout` (nothing was received from the peer), `too_large`, `protocol_error`.
    virtual void on_closed(std::function<void(const error&)> action) = 0;

    [[nodiscard]] virtual bool is_open() const noexcept = 0;
    /// Bytes queued but not yet written to the socket.
    [[nodiscard]] virtual std::size_t buffered_bytes() const noexcept = 0;
    /// IP address of the peer, without the port.
    [[nodiscard]] virtual std::string peer() const = 0;
};

struct peer_link_options {
    /// Sending or receiving a larger message closes the link with `errc::too_large`.
    std::size_t max_message_bytes = 8U << 20U;
    /// Limit for the TCP connection and the opening handshake together.
    duration connect_timeout = 2s;
    /// Interval of the keep-alive check, which sends a ping if nothing was received during the last half of
    /// the interval.
    duration ping_interval = 5s;
    /// The link is closed with `errc::timeout` if nothing, not even a pong, was received for this long.
    duration receive_timeout = 15s;
};

/// Handle of a connection attempt. Destroying it cancels the attempt.
class peer_connect_attempt {
public:
    virtual ~peer_connect_attempt() = default;
};

/// Connects to a peer. `done` runs from the loop, with the open link or with `connection_failed`, `timeout`
/// or `protocol_error` (step `connect`).
[[nodiscard]] std::unique_ptr<peer_connect_attempt>
connect_peer(loop& events, const address& peer, peer_link_options options,
             std::function<void(result<std::shared_ptr<peer_link>>)> done);

/// Accepts links from peers.
class peer_listener {
public:
    /// Port 0 selects a free port. `on_link` runs for each link whose opening handshake has succeeded. Fails
    /// with `errc::connection_failed` (step `connect`) if the address cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<peer_listener>>
    create(loop& events, const address& listen, peer_link_options options,
           std::function<void(std::shared_ptr<peer_link>)> on_link);
    virtual ~peer_listener() = default;

    [[nodiscard]] virtual address local_address() const = 0;
    virtual void stop_accepting() = 0;
};

} // namespace samphiretray::net

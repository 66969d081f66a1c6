#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace samphiretray::net {

/// Why a WebSocket session ended.
enum class session_end_reason { closed, too_large, protocol_error };

/// Callbacks of a session, run inside the calls to its functions.
struct session_events {
    /// Bytes to be sent to the peer.
    std::function<void(std::string_view)> write;
    std::function<void()> on_open;
    std::function<void(std::string_view)> on_message;
    /// The session has ended; no other callback runs after this one.
    std::function<void(session_end_reason, const std::string& detail)> on_end;
};

/// One end of a WebSocket connection (RFC 6455), without the I/O. This header is compiled as C++17 together
/// with websocketpp and as C++20 by its users, so it must not use types of websocketpp.
class websocket_session {
public:
    virtual ~websocket_session() = default;

    /// Sends the opening handshake; clients only.
    virtual void open() = 0;
    /// Processes bytes received from the peer.
    virtual void receive(std::string_view bytes) = 0;
    virtual void send_binary(std::string_view message) = 0;
    virtual void ping() = 0;
    /// Starts the closing handshake.
    virtual void close() = 0;
};

/// `host` is the value of the Host header in the handshake, such as "10.0.0.1:80".
[[nodiscard]] std::unique_ptr<websocket_session>
make_client_session(const std::string& host, std::size_t max_message_bytes, session_events events);
[[nodiscard]] std::unique_ptr<websocket_session> make_server_session(std::size_t max_message_bytes,
                                                                     session_events events);

} // namespace samphiretray::net

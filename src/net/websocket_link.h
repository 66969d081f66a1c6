#pragma once

#include "samphiretray/net/peer_link.h"

#include "websocket/websocket_session.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

struct st_h2o_socket_t;

namespace samphiretray::net {

/// A `peer_link` that runs a WebSocket session over an h2o socket and checks by pings that the peer is alive.
class websocket_link final : public peer_link, public std::enable_shared_from_this<websocket_link> {
public:
    enum class side { client, server };

    /// Takes ownership of the connected `socket`.
    websocket_link(loop& events, st_h2o_socket_t* socket, address peer, peer_link_options options);
    ~websocket_link() override;
    websocket_link(const websocket_link&) = delete;
    websocket_link& operator=(const websocket_link&) = delete;

    /// Starts the opening handshake. `done` runs once, without an error if the link is open. It is not called
    /// if the link is destroyed first.
    void start(side role, std::function<void(std::optional<error>)> done);

    /// Closes the socket at once without calling `done` or any other callback.
    void close_silently();

    void send(std::string_view message) override;
    void close() override;
    void on_message(std::function<void(std::string_view)> action) override {
        on_message_ = std::move(action);
    }
    void on_closed(std::function<void(const error&)> action) override { on_closed_ = std::move(action); }
    [[nodiscard]] bool is_open() const noexcept override { return open_ && !closing_ && socket_ != nullptr; }
    [[nodiscard]] std::size_t buffered_bytes() const noexcept override;
    [[nodiscard]] std::string peer() const override { return peer_.host; }

private:
    static void on_read(st_h2o_socket_t* socket, const char* failure);
    static void on_written(st_h2o_socket_t* socket, const char* failure);

    [[nodiscard]] session_events handlers();
    void on_open();
    void on_end(session_end_reason reason, const std::string& detail);
    void enqueue(std::string_view bytes);
    void flush();
    void start_close_timer(const std::string& detail);
    void check_keepalive();
    void fail(errc code, std::string detail);
    void notify_closed(const error& failure);
    void close_socket();

    loop& events_;
    st_h2o_socket_t* socket_;
    address peer_;
    peer_link_options options_;
    std::unique_ptr<websocket_session> session_;
    std::function<void(std::optional<error>)> on_opened_;
    std::function<void(std::string_view)> on_message_;
    std::function<void(const error&)> on_closed_;
    timer_handle keepalive_timer_;
    timer_handle timeout_timer_;
    time_point last_receive_time_;
    std::string pending_;
    std::string sending_;
    bool open_ = false;
    bool closing_ = false;
    // The session has ended; the socket is closed once its last bytes have been written.
    bool draining_ = false;
    bool in_flight_ = false;
    bool flush_posted_ = false;
    std::optional<error> end_error_;
};

} // namespace samphiretray::net

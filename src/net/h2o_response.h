#pragma once

#include "samphiretray/net/http_server.h"

#include "http_server_core.h"

#include <h2o.h>

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace samphiretray::net {

/// The response to one h2o request. The memory pool of the h2o request holds a reference until the request
/// ends.
class h2o_response final : public http_response, public std::enable_shared_from_this<h2o_response> {
public:
    h2o_response(server_connection& connection, h2o_req_t* request);

    /// Ties the response to the lifetime of the request and starts to watch for a disconnect of the client.
    void attach();
    /// Whether the client has closed or reset the connection, as far as the operating system knows. Always
    /// false for HTTP/2.
    [[nodiscard]] bool has_peer_disconnected() const;
    /// Closes the connection at once and calls the `on_closed` action as if the client had disconnected.
    void terminate_connection();
    /// Passes the pending bytes to h2o.
    void flush();
    /// Charges the connection with copies of the request's body until the request ends.
    void charge_request(std::size_t bytes);

    void start(int status, const http_headers& headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;

    [[nodiscard]] bool is_open() const noexcept override { return request_ != nullptr && !ended_; }
    [[nodiscard]] bool is_started() const noexcept override { return started_; }
    [[nodiscard]] std::size_t buffered_bytes() const noexcept override;
    void on_closed(std::function<void()> action) override { on_closed_ = std::move(action); }
    void on_drained(std::function<void()> action) override { on_drained_ = std::move(action); }

private:
    struct generator {
        h2o_generator_t base;
        h2o_response* owner;
    };

    void on_proceed();
    void on_disposed();
    void on_readable();
    void watch_for_disconnect();
    void stop_watching();
    void notify_closed();
    void add_header(const http_header& header);
    void begin_h2o_response();
    void send_buffers(h2o_send_state_t state);
    void end(h2o_send_state_t state);
    void schedule_flush();
    /// Charges the connection with the bytes that have not been sent.
    void charge_unsent();

    server_connection* connection_;
    std::shared_ptr<http_server_core> core_;
    // Null once h2o has disposed of the request.
    h2o_req_t* request_;
    // HTTP/1 only, where the connection serves one request at a time.
    h2o_socket_t* socket_ = nullptr;
    generator generator_{};
    std::function<void()> on_closed_;
    std::function<void()> on_drained_;
    timer_handle disconnect_check_timer_;
    timer_handle abort_timer_;
    std::string pending_;
    std::string sending_;
    std::size_t charged_unsent_ = 0;
    std::size_t charged_request_ = 0;
    std::uint64_t body_bytes_written_ = 0;
    std::optional<std::uint64_t> content_length_;
    /// The chunk-size line for the data in `sending_`.
    std::array<char, 24> chunk_size_{};
    bool is_head_request_ = false;
    bool is_chunked_ = false;
    bool started_ = false;
    bool h2o_started_ = false;
    bool in_flight_ = false;
    bool flush_scheduled_ = false;
    bool ended_ = false;
    bool final_sent_ = false;
    h2o_send_state_t end_state_ = H2O_SEND_STATE_FINAL;
};

} // namespace samphiretray::net

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

/// The answer to one h2o request. h2o's memory pool of the request holds a reference until the request ends.
class h2o_response final : public http_response, public std::enable_shared_from_this<h2o_response> {
public:
    h2o_response(server_connection& connection, h2o_req_t* request);

    /// Links the response to the request's lifetime and begins to watch for a caller that leaves.
    void attach();
    /// Breaks the connection at once; the caller is told as if it had left.
    void break_connection();
    /// Hands what has been written to h2o.
    void flush();

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
    void watch();
    void unwatch();
    void notify_closed();
    void add_header(const http_header& header);
    void begin_h2o_response();
    void send_parts(h2o_send_state_t state);
    void end(h2o_send_state_t state);
    void schedule_flush();

    server_connection* connection_;
    std::shared_ptr<http_server_core> core_;
    // Null once h2o has disposed of the request.
    h2o_req_t* request_;
    // HTTP/1 only: the connection belongs to this request alone.
    h2o_socket_t* socket_ = nullptr;
    generator generator_{};
    std::function<void()> on_closed_;
    std::function<void()> on_drained_;
    timer_handle recheck_;
    timer_handle abort_limit_;
    std::string pending_;
    std::string sending_;
    std::uint64_t written_ = 0;
    std::optional<std::uint64_t> length_;
    /// Size line of the chunk in `sending_`.
    std::array<char, 24> chunk_size_{};
    bool is_head_ = false;
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

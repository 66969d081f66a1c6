#pragma once

#include "samphiretray/net/http_server.h"

#include "listener.h"
#include "tls.h"

#include <h2o.h>

#include <cstdint>
#include <memory>
#include <set>
#include <vector>

namespace samphiretray::net {

class h2o_response;
class http_server_core;

/// An accepted connection; deleted by the close callback of its socket.
struct server_connection {
    std::shared_ptr<http_server_core> core;
    h2o_socket_t* socket = nullptr;
    /// Requests that have been given a response object and have not ended.
    std::size_t active_requests = 0;
    /// HTTP/1 only: the response in progress.
    h2o_response* current_response = nullptr;
    time_point idle_since;
};

/// The part of the server that outlives its handle: the h2o context is needed until the last connection has
/// closed.
class http_server_core : public std::enable_shared_from_this<http_server_core> {
public:
    http_server_core(loop& events, http_server_options options, http_handler handler);
    ~http_server_core();
    http_server_core(const http_server_core&) = delete;
    http_server_core& operator=(const http_server_core&) = delete;

    void add_connection(h2o_socket_t* socket);
    void begin_graceful_shutdown();
    void set_limits(std::size_t max_body_bytes, duration idle_timeout);
    /// Drops the handler and closes all connections at once.
    void close();
    /// Runs `h2o_response::flush` at the end of this loop iteration, so that the writes of one iteration are
    /// sent together.
    void flush_later(std::shared_ptr<h2o_response> response);

    [[nodiscard]] loop& events() noexcept { return events_; }
    [[nodiscard]] std::size_t open_connections() const noexcept { return connections_.size(); }
    [[nodiscard]] std::uint64_t refused_requests() const noexcept { return refused_requests_; }
    [[nodiscard]] bool is_shutting_down() const noexcept { return context_.shutdown_requested != 0; }
    /// Loads the certificate files, if any are set; on an error the old certificate stays in use.
    [[nodiscard]] status load_certificates();

private:
    struct request_handler {
        h2o_handler_t base;
        http_server_core* core;
    };
    struct request_logger {
        h2o_logger_t base;
        http_server_core* core;
    };

    void configure();
    void remove_connection(server_connection* connection);
    void on_request(h2o_req_t* request);
    void on_request_disposed(h2o_req_t* request);
    void close_idle_connections();
    void flush_pending();

    std::uint64_t refused_requests_ = 0;
    loop& events_;
    http_server_options options_;
    http_handler handler_;
    h2o_globalconf_t config_{};
    h2o_context_t context_{};
    h2o_accept_ctx_t accept_context_{};
    // Open connections hold their own references to the TLS context they were accepted with.
    tls_context tls_;
    std::set<server_connection*> connections_;
    std::vector<std::shared_ptr<h2o_response>> unflushed_;
    timer_handle idle_check_timer_;
};

} // namespace samphiretray::net

#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/intake_pacer.h"

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
    server_connection(std::shared_ptr<http_server_core> accepting_core, h2o_socket_t* accepted,
                      const std::shared_ptr<buffer_budget>& buffers, time_point now)
        : core(std::move(accepting_core)), socket(accepted), idle_since(now), account(buffers, this, now) {}

    /// Charges the connection with what is held for it now.
    void update_account() noexcept;

    std::shared_ptr<http_server_core> core;
    h2o_socket_t* socket = nullptr;
    /// Requests that have been given a response object and have not ended.
    std::size_t active_requests = 0;
    /// HTTP/1 only: the response in progress.
    h2o_response* current_response = nullptr;
    time_point idle_since;
    buffer_account account;
    /// Copies of the bodies of its requests.
    std::size_t request_bytes = 0;
    /// Bytes of its responses that have not been handed to the operating system.
    std::size_t unsent_bytes = 0;
    /// The read callback of h2o, while that of the server stands in its place.
    h2o_socket_cb read_callback = nullptr;
    /// The client has been told, by a response or the end of the connection, that what it still sends is not
    /// handled.
    bool is_refused = false;
    /// Set by the close callback, for a caller that may have closed the connection.
    bool* was_closed = nullptr;
};

/// The part of the server that outlives its handle: the h2o context is needed until the last connection has
/// closed.
class http_server_core : public std::enable_shared_from_this<http_server_core> {
public:
    http_server_core(loop& events, http_server_options options, http_handler handler);
    ~http_server_core();
    http_server_core(const http_server_core&) = delete;
    http_server_core& operator=(const http_server_core&) = delete;

    /// Time until a connection may be accepted.
    [[nodiscard]] duration wait_before_accept();
    [[nodiscard]] int backlog() const { return pacer_.backlog(); }
    void add_connection(h2o_socket_t* socket);
    void begin_graceful_shutdown();
    void set_limits(std::size_t max_body_bytes, duration idle_timeout);
    /// Drops the handler and closes all connections at once.
    void close();
    /// Runs `h2o_response::flush` at the end of this loop iteration, so that the writes of one iteration are
    /// sent together.
    void flush_later(std::shared_ptr<h2o_response> response);
    /// Watches the reads of a connection, again after each request, from the end of this loop iteration on.
    void meter_later(server_connection* connection);
    /// Closes connections at the end of this loop iteration if the budget is exceeded.
    void relieve_later();

    [[nodiscard]] loop& events() noexcept { return events_; }
    [[nodiscard]] std::size_t open_connections() const noexcept { return connections_.size(); }
    [[nodiscard]] std::uint64_t refused_requests() const noexcept { return refused_requests_; }
    [[nodiscard]] std::uint64_t displaced_connections() const noexcept { return displaced_connections_; }
    [[nodiscard]] std::uint64_t abandoned_requests() const noexcept { return abandoned_requests_; }
    [[nodiscard]] std::uint64_t accept_pauses() const noexcept { return accept_pauses_; }
    [[nodiscard]] double link_use() {
        pacer_.on_received(events_.received_bytes(), events_.now());
        return pacer_.link_use();
    }
    /// Whether the connection of a refused caller should end with the response; see
    /// `intake_pacer::should_close`.
    [[nodiscard]] bool should_close() {
        pacer_.on_received(events_.received_bytes(), events_.now());
        return pacer_.should_close(connections_.size(), events_.now());
    }
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
    /// Charges what h2o reads, and enforces the budget before more is read.
    static void on_read(h2o_socket_t* socket, const char* failure);
    void meter(server_connection& connection) const;
    void meter_pending();
    /// Closes the connections that hold most and move least, so that `needed` more bytes fit.
    void relieve(std::size_t needed);
    void close_victim(server_connection& connection);
    void close_connection(server_connection& connection);
    /// Closes a connection at once that has no request in progress.
    void close_receiving(server_connection& connection);
    /// Closes the connection that a new one displaces; returns false if all are needed.
    [[nodiscard]] bool displace_connection();
    [[nodiscard]] bool admit(server_connection& connection, h2o_response& response, std::size_t body_bytes);

    std::uint64_t refused_requests_ = 0;
    std::uint64_t displaced_connections_ = 0;
    std::uint64_t abandoned_requests_ = 0;
    std::uint64_t accept_pauses_ = 0;
    loop& events_;
    http_server_options options_;
    intake_pacer pacer_{options_.link_bytes_per_s};
    http_handler handler_;
    h2o_globalconf_t config_{};
    h2o_context_t context_{};
    h2o_accept_ctx_t accept_context_{};
    // Open connections hold their own references to the TLS context they were accepted with.
    tls_context tls_;
    std::set<server_connection*> connections_;
    std::vector<std::shared_ptr<h2o_response>> unflushed_;
    std::vector<server_connection*> unmetered_;
    timer_handle meter_timer_;
    bool relief_scheduled_ = false;
    timer_handle idle_check_timer_;
};

} // namespace samphiretray::net

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/buffer_budget.h"
#include "samphiretray/net/http.h"
#include "samphiretray/net/loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace samphiretray::net {

/// The response to one request. Calls after the client has disconnected are ignored.
class http_response {
public:
    virtual ~http_response() = default;

    /// Sends the status line and headers. Call once, first.
    virtual void start(int status, const http_headers& headers) = 0;
    /// Sends a part of the body.
    virtual void write(std::string_view bytes) = 0;
    /// Ends the body, which completes the response.
    virtual void finish() = 0;
    /// Closes the connection (HTTP/1.1) or resets the stream (HTTP/2), so that a truncated response never
    /// looks complete.
    virtual void abort() = 0;

    /// False once the client has disconnected or the response has ended.
    [[nodiscard]] virtual bool is_open() const noexcept = 0;
    [[nodiscard]] virtual bool is_started() const noexcept = 0;
    /// Bytes written but not yet handed to the operating system.
    [[nodiscard]] virtual std::size_t buffered_bytes() const noexcept = 0;
    /// Calls `action` once if the client disconnects before `finish`.
    virtual void on_closed(std::function<void()> action) = 0;
    /// Calls `action` each time all written bytes have been handed to the operating system.
    virtual void on_drained(std::function<void()> action) = 0;

    /// `start`, `write` and `finish` in one call, with Content-Length. A response that has been started is
    /// aborted instead, since `body` would become a part of it.
    void send(int status, const http_headers& headers, std::string_view body);
};

using http_handler = std::function<void(http_request request, std::shared_ptr<http_response> response)>;

struct http_server_options {
    address listen;
    /// Requests with a larger body are rejected with 413 before the handler runs.
    std::size_t max_body_bytes = 4U << 20U;
    /// Keep-alive connections are closed after being idle for this long.
    duration idle_timeout = 60s;
    /// PEM files; both empty for plain HTTP.
    std::string certificate_file = {};
    std::string private_key_file = {};
    /// After a graceful shutdown has begun, connections are closed once they have been idle for this long. A
    /// client that uses its connection within this time learns of the shutdown from "Connection: close"; an
    /// immediate close could lose a request that is already on its way.
    duration shutdown_idle_timeout = 1s;
    /// Bounds what the connections of this server hold together with everything else that shares the budget.
    /// A server without one gets a budget of its own with the default limits.
    std::shared_ptr<buffer_budget> buffers = {};
    /// Open connections; 0 for any number. At the limit, a new one takes the place of the one that
    /// `choose_displaced` names, or is closed if there is none.
    std::size_t max_connections = 0;
    /// What the link of this process carries in one direction. New connections are accepted only as fast as
    /// their requests fit (`intake_pacer`); 0 accepts all.
    double link_bytes_per_s = 0;
    /// Headers of the 503 for requests that have not run because the budget is used up.
    http_headers overload_headers = {};
};

/// An HTTP/1.1 and HTTP/2 server on h2o.
class http_server {
public:
    /// Listens on `options.listen`; port 0 selects a free port. Fails with `errc::connection_failed` (step
    /// `connect`) if the address is in use and with `errc::invalid_argument` if the certificate files cannot
    /// be loaded.
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    create(loop& events, http_server_options options, http_handler handler);
    virtual ~http_server() = default;

    [[nodiscard]] virtual address local_address() const = 0;
    /// Closes the listening socket; established connections stay open.
    virtual void stop_accepting() = 0;
    /// Tells clients to stop using their connections ("Connection: close" or GOAWAY); requests in progress
    /// are finished.
    virtual void begin_graceful_shutdown() = 0;
    /// Reloads the certificate files for new connections. On an error the old certificate stays in use.
    [[nodiscard]] virtual status reload_certificates() = 0;
    /// Replaces the limits of `http_server_options`, also for open connections.
    virtual void set_limits(std::size_t max_body_bytes, duration idle_timeout) = 0;
    [[nodiscard]] virtual std::size_t open_connections() const noexcept = 0;
    /// Number of malformed and oversized requests that were rejected before the handler ran.
    [[nodiscard]] virtual std::uint64_t refused_requests() const noexcept = 0;
    /// Number of connections that were closed because of `max_connections`.
    [[nodiscard]] virtual std::uint64_t displaced_connections() const noexcept = 0;
    /// Number of requests whose client had disconnected before they were read; the handler does not run.
    [[nodiscard]] virtual std::uint64_t abandoned_requests() const noexcept = 0;
    /// How often accepting has paused because of `link_bytes_per_s`.
    [[nodiscard]] virtual std::uint64_t accept_pauses() const noexcept = 0;
    /// Part of the link that received bytes have filled in the last second; 0 without `link_bytes_per_s`.
    [[nodiscard]] virtual double link_use() const = 0;
};

} // namespace samphiretray::net

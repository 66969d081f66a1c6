#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"
#include "samphiretray/net/loop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

namespace samphiretray::net {

/// The answer to one request. Calls after the caller has gone are ignored.
class http_response {
public:
    virtual ~http_response() = default;

    /// Sends the status line and headers. Call once, first.
    virtual void start(int status, const http_headers& headers) = 0;
    /// Sends a part of the body.
    virtual void write(std::string_view bytes) = 0;
    /// Ends the body; the caller sees a whole answer.
    virtual void finish() = 0;
    /// Breaks the connection (HTTP/1.1) or resets the stream, so that a cut answer never looks whole.
    virtual void abort() = 0;

    /// False once the caller has gone or the answer has ended.
    [[nodiscard]] virtual bool is_open() const noexcept = 0;
    [[nodiscard]] virtual bool is_started() const noexcept = 0;
    /// Bytes written but not yet handed to the operating system.
    [[nodiscard]] virtual std::size_t buffered_bytes() const noexcept = 0;
    /// Calls `action` once if the caller goes before `finish`.
    virtual void on_closed(std::function<void()> action) = 0;
    /// Calls `action` each time when all that was written has been handed to the operating system.
    virtual void on_drained(std::function<void()> action) = 0;

    /// `start`, `write` and `finish` in one call, with Content-Length.
    void send(int status, const http_headers& headers, std::string_view body);
};

using http_handler = std::function<void(http_request request, std::shared_ptr<http_response> response)>;

struct http_server_options {
    address listen;
    /// Larger request bodies are refused with 413 before the handler runs.
    std::size_t max_body_bytes = 4U << 20U;
    /// Idle keep-alive time.
    duration idle_timeout = 60s;
    /// PEM files; both empty for plain HTTP.
    std::string certificate_file = {};
    std::string private_key_file = {};
    /// After a graceful shutdown has begun, connections are closed once they have been idle this long. A
    /// client that uses its connection within this time learns of the shutdown by "Connection: close" instead
    /// of losing a request that crosses the close.
    duration idle_before_close = 1s;
};

/// An HTTP/1.1 and HTTP/2 server on h2o.
class http_server {
public:
    /// Listens at `options.listen`; port 0 takes a free port. Fails with `errc::connection_failed` (step
    /// `connect`) if the address is in use and `errc::invalid_argument` for unusable certificates.
    [[nodiscard]] static result<std::unique_ptr<http_server>>
    create(loop& events, http_server_options options, http_handler handler);
    virtual ~http_server() = default;

    [[nodiscard]] virtual address local_address() const = 0;
    /// Closes the listening socket; connections stay.
    virtual void stop_accepting() = 0;
    /// Asks clients of idle and busy connections to go elsewhere ("Connection: close", GOAWAY); running
    /// requests are finished.
    virtual void begin_graceful_shutdown() = 0;
    /// Reads the certificate files again for new connections. On an error the old certificate stays.
    [[nodiscard]] virtual status reload_certificates() = 0;
    /// Replaces the limits of `http_server_options`, for open connections too.
    virtual void set_limits(std::size_t max_body_bytes, duration idle_timeout) = 0;
    [[nodiscard]] virtual std::size_t open_connections() const noexcept = 0;
    /// Malformed and oversized requests that the server has refused before the handler.
    [[nodiscard]] virtual std::uint64_t refused_requests() const noexcept = 0;
};

} // namespace samphiretray::net

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"
#include "samphiretray/net/loop.h"

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace samphiretray::net {

/// A request to send and its time limits.
/// A tenth of the thinnest link that operators use. Callers' requests fill most of it at times.
inline constexpr double min_transfer_rate = 125'000;

struct http_call {
    address peer;
    std::string method = "GET";
    /// Path with query string.
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// Limit for the whole exchange, from `send` to the last byte of the response.
    duration timeout = 5s;
    /// If it is not zero, an answer that arrives at this rate at least may take longer than `timeout`.
    double min_bytes_per_s = 0;
    /// Limit for establishing a new connection; zero means that only `timeout` applies.
    duration connect_timeout = 0s;
    /// A pooled connection that has been idle for longer is not used for this call.
    duration max_idle = 1h;
    /// Opens a connection of its own, on which no answer to an earlier call can arrive.
    bool fresh_connection = false;
};

/// Callbacks of one call, run from the event loop.
struct http_call_events {
    /// The final status line and headers; interim (1xx) responses are skipped.
    std::function<void(int status, const http_headers& headers)> on_head;
    /// Decoded body bytes.
    std::function<void(std::string_view bytes)> on_data;
    /// Called exactly once, unless the exchange is cancelled. `failure` is empty after a complete response;
    /// otherwise its code is `timeout`, `connection_failed`, `connection_closed` or `protocol_error`.
    std::function<void(std::optional<error> failure)> on_end;
};

/// Handle of a call in progress. Destroying it cancels the call without further events.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    /// False only while it is certain that no byte of the request has been written to the peer.
    [[nodiscard]] virtual bool may_have_been_sent() const noexcept = 0;
    /// True once the head of a response has come whose body ends with the connection. A close by the peer
    /// then does not prove that the body is complete.
    [[nodiscard]] virtual bool ends_at_close() const noexcept = 0;
    /// Pauses or resumes reading the response. While reading is paused, TCP flow control slows the peer down,
    /// a close by the peer is not detected, and the timeout of the call keeps running.
    virtual void set_read_enabled(bool wanted) = 0;
};

/// A complete response, as collected by `http_client::fetch`.
struct fetched_response {
    int status = 0;
    http_headers headers;
    std::string body;
};

/// An HTTP/1.1 client with a pool of keep-alive connections per peer.
///
/// A call on a pooled connection that the peer has closed in the meantime is not retried silently: it fails
/// with `connection_closed`, and the caller decides whether the request may be repeated.
class http_client {
public:
    [[nodiscard]] static std::unique_ptr<http_client> create(loop& events);
    virtual ~http_client() = default;

    /// Starts a call. Its callbacks run from the event loop, never inside this function.
    [[nodiscard]] virtual std::unique_ptr<http_exchange> send(http_call call, http_call_events events) = 0;

    /// Sends a request and passes the complete response to `done`. A body of more than `max_bytes` fails with
    /// `too_large`. The returned handle works as for `send`.
    [[nodiscard]] std::unique_ptr<http_exchange> fetch(http_call call,
                                                       std::function<void(result<fetched_response>)> done,
                                                       std::size_t max_bytes = 4U << 20U);
};

} // namespace samphiretray::net

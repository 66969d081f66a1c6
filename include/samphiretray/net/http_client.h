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

struct http_call {
    address peer;
    std::string method = "GET";
    /// Path with query string.
    std::string target = "/";
    http_headers headers;
    std::string body;
    /// From the call to the last byte of the answer.
    duration timeout = 5s;
    /// For a new connection to be established; `timeout` alone bounds it if this is zero.
    duration connect_timeout = 0s;
    /// A pooled connection that was idle for longer is not used for this call.
    duration max_idle = 1h;
};

struct http_call_events {
    std::function<void(int status, const http_headers& headers)> on_head;
    std::function<void(std::string_view bytes)> on_data;
    /// Called exactly once, unless the exchange is cancelled. `failure` is empty after a whole answer. Codes:
    /// `timeout`, `connection_failed`, `connection_closed`, `protocol_error`.
    std::function<void(std::optional<error> failure)> on_end;
};

/// A call in progress. Destroying the handle cancels it without further events.
class http_exchange {
public:
    virtual ~http_exchange() = default;
    /// False only while it is certain that no byte of the request has been written to the peer.
    [[nodiscard]] virtual bool may_have_been_sent() const noexcept = 0;
    /// Suspends or resumes reading the answer. While it is suspended the peer is slowed down by its
    /// connection, and a close by the peer is not noticed; the timeout of the call runs on.
    virtual void set_reading(bool wanted) = 0;
};

struct http_answer {
    int status = 0;
    http_headers headers;
    std::string body;
};

/// An HTTP/1.1 client with pooled keep-alive connections for each peer.
///
/// A pooled connection that the peer has closed meanwhile is not retried silently: the call fails with
/// `connection_closed`, and the caller decides whether the request may be repeated.
class http_client {
public:
    [[nodiscard]] static std::unique_ptr<http_client> create(loop& events);
    virtual ~http_client() = default;

    /// Starts a call. The events run from the loop, never inside this function.
    [[nodiscard]] virtual std::unique_ptr<http_exchange> send(http_call call, http_call_events events) = 0;

    /// Collects the whole answer, at most `max_bytes` (else `too_large`); the handle works as for `send`.
    [[nodiscard]] std::unique_ptr<http_exchange>
    fetch(http_call call, std::function<void(result<http_answer>)> done, std::size_t max_bytes = 4U << 20U);
};

} // namespace samphiretray::net

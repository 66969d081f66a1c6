#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/gateway/model.h"
#include "samphiretray/net/http.h"

#include <concepts>

namespace samphiretray::gateway {

/// Names of headers and paths as callers and endpoints of one platform use them.
template <typename Binding>
concept request_binding = requires(const net::http_request& request, const net::http_headers& headers,
                                   const forward_fields& fields, int status, duration wait) {
    /// Fails with `invalid_argument` if a header cannot be read.
    { Binding::decode_request(request) } -> std::same_as<result<caller_request>>;
    { Binding::decode_forwarded(request) } -> std::same_as<result<forwarded_request>>;
    /// The headers of a request to an endpoint: those of the caller, without those of one connection, the
    /// caller's key and whatever only the system may set, and with `fields`.
    { Binding::forward_headers(headers, fields) } -> std::same_as<net::http_headers>;
    { Binding::decode_answer(status, headers) } -> std::same_as<answer_summary>;
    /// The headers of an answer to the caller.
    { Binding::answer_headers(headers) } -> std::same_as<net::http_headers>;
};

} // namespace samphiretray::gateway

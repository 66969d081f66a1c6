#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/gateway/model.h"
#include "samphiretray/net/http.h"

#include <concepts>

namespace samphiretray::gateway {

/// Maps the HTTP headers that callers and endpoints of one platform use to the types of this library.
template <typename Binding>
concept request_binding = requires(const net::http_request& request, const net::http_headers& headers,
                                   const forward_fields& fields, int status, duration wait) {
    /// Fails with `invalid_argument` if a header is malformed.
    { Binding::decode_request(request) } -> std::same_as<result<caller_request>>;
    { Binding::decode_forwarded(request) } -> std::same_as<result<forwarded_request>>;
    /// The headers of a request to an endpoint: the caller's headers and `fields`, without hop-by-hop
    /// headers, the caller's API key and headers that only the system may set.
    { Binding::forward_headers(headers, fields) } -> std::same_as<net::http_headers>;
    { Binding::decode_answer(status, headers) } -> std::same_as<answer_summary>;
    /// The headers of a response to the caller, from those of the endpoint's response.
    { Binding::answer_headers(headers) } -> std::same_as<net::http_headers>;
};

} // namespace samphiretray::gateway

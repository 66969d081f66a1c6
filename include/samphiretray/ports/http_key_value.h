#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/key_value.h"

namespace samphiretray::ports {

struct http_key_value_options {
    net::address service;
    /// Timeout of each call; for a watch, the wait that it asks for is added.
    duration timeout = 2s;
};

/// HTTP client of the key-value service. If the response leaves the outcome of a write unknown (it is lost,
/// malformed or has an unexpected status), the error is `connection_closed`, never `connection_failed`.
/// Destroying the client cancels its calls; their completions do not run.
class http_key_value_service {
public:
    http_key_value_service(net::http_client& client, http_key_value_options options);

    void read(const std::string& key, completion<versioned_value> done);
    void compare_and_swap(const swap_request& swap, completion<std::uint64_t> done);
    void watch(const std::string& key, std::uint64_t after_revision, duration max_wait,
               completion<versioned_value> done);

private:
    [[nodiscard]] net::http_call make_call(std::string method, std::string target) const;
    void fetch_value(net::http_call call, completion<versioned_value> done);

    net::http_client& client_;
    http_key_value_options options_;
    call_set calls_;
};

} // namespace samphiretray::ports

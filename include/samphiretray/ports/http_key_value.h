#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/key_value.h"

namespace samphiretray::ports {

struct http_key_value_options {
    net::address service;
    /// For each call; a watch takes its own limit in addition.
    duration timeout = 2s;
};

/// The key-value service over HTTP. A response that leaves the outcome of a write open (lost, malformed, or
/// an unexpected status) is `connection_closed`, never `connection_failed`. Destroying the service cancels
/// its calls without completions.
class http_key_value_service {
public:
    http_key_value_service(net::http_client& client, http_key_value_options options);

    void read(const std::string& key, completion<versioned_value> done);
    void compare_and_swap(const swap_request& swap, completion<std::uint64_t> done);
    void watch(const std::string& key, std::uint64_t after, duration limit, completion<versioned_value> done);

private:
    [[nodiscard]] net::http_call call_to(std::string method, std::string target) const;
    void fetch_value(net::http_call call, completion<versioned_value> done);

    net::http_client& client_;
    http_key_value_options options_;
    call_set calls_;
};

} // namespace samphiretray::ports

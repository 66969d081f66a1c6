#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include <functional>
#include <memory>
#include <string>

namespace samphiretray::node {

/// Callbacks through which the admin server reads and controls the process.
struct admin_callbacks {
    /// Whether the load balancer should send new requests.
    std::function<bool()> ready;
    /// JSON object with at least "vm" and "revision".
    std::function<std::string()> status;
    /// Prometheus text format.
    std::function<std::string()> metrics;
    /// Error budget burn rates as JSON or, if `text`, as a table. Without it `/burn` is not served.
    std::function<std::string(bool text)> burn_rates;
    /// Starts a graceful shutdown.
    std::function<void()> drain;
};

/// Serves `GET` on `/ready`, `/live`, `/status`, `/metrics` and `/burn`, and `POST /drain`.
[[nodiscard]] result<std::unique_ptr<net::http_server>>
create_admin_server(net::loop& events, const net::address& listen, admin_callbacks sources);

} // namespace samphiretray::node

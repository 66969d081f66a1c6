#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include <functional>
#include <memory>
#include <string>

namespace samphiretray::node {

/// What the admin server asks the process.
struct admin_sources {
    /// Whether the balancer should send new requests.
    std::function<bool()> ready;
    /// JSON object with at least "vm" and "revision".
    std::function<std::string()> status;
    /// Prometheus text format.
    std::function<std::string()> metrics;
    /// JSON or, with text = true, a table.
    std::function<std::string(bool text)> burn;
    /// Starts a planned stop.
    std::function<void()> drain;
};

/// Serves `/ready`, `/live`, `/status`, `/metrics`, `/burn`, and `POST /drain`.
[[nodiscard]] result<std::unique_ptr<net::http_server>>
create_admin_server(net::loop& events, const net::address& listen, admin_sources sources);

} // namespace samphiretray::node

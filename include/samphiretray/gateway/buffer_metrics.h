#pragma once

#include "samphiretray/net/buffer_budget.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/observe/metrics.h"

namespace samphiretray::gateway {

/// Metrics of what peers make a process hold, and of who was turned away for it.
class buffer_metrics {
public:
    explicit buffer_metrics(observe::metrics& metrics);

    /// Sets the metrics to the current state of the budget and of the server for callers or entries.
    void update(const net::buffer_budget& buffers, const net::http_server& server);

private:
    observe::gauge_family& held_bytes_;
    observe::gauge_family& closed_connections_;
    observe::gauge_family& refused_requests_;
    observe::gauge_family& abandoned_requests_;
};

} // namespace samphiretray::gateway

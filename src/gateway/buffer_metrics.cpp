#include "samphiretray/gateway/buffer_metrics.h"

namespace samphiretray::gateway {

buffer_metrics::buffer_metrics(observe::metrics& metrics)
    : held_bytes_(metrics.gauge({"samphiretray_buffered_bytes",
                                 "Bytes held for peers, and the limit above which connections are closed",
                                 {"kind"}})),
      closed_connections_(metrics.gauge({"samphiretray_overload_closed_requests",
                                         "Connections closed because of the limit of bytes or connections",
                                         {"use"}})),
      refused_requests_(metrics.gauge(
          {"samphiretray_overload_refused_requests", "Requests refused because of the limit of bytes", {}})),
      abandoned_requests_(metrics.gauge(
          {"samphiretray_abandoned_requests", "Requests whose caller had left before they were read", {}})) {}

void buffer_metrics::update(const net::buffer_budget& buffers, const net::http_server& server) {
    held_bytes_.set({"held"}, static_cast<double>(buffers.held()));
    held_bytes_.set({"limit"}, static_cast<double>(buffers.limits().max_bytes));
    for (const net::buffer_use use : {net::buffer_use::receiving, net::buffer_use::sending}) {
        closed_connections_.set({name_of(use)}, static_cast<double>(buffers.closed(use)));
    }
    closed_connections_.set({"displaced"}, static_cast<double>(server.displaced_connections()));
    refused_requests_.set({}, static_cast<double>(buffers.refused()));
    abandoned_requests_.set({}, static_cast<double>(server.abandoned_requests()));
}

} // namespace samphiretray::gateway

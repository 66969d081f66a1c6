#include "samphiretray/node/admin_server.h"

#include <utility>

namespace samphiretray::node {

namespace {

void send_text(net::http_response& response, int status, const char* type, std::string_view body) {
    response.send(status, {{"content-type", type}}, body);
}

void answer(const admin_callbacks& sources, const net::http_request& request, net::http_response& response) {
    const bool is_get = request.method == "GET";
    if (is_get && request.path == "/live") {
        send_text(response, 200, "text/plain", "live\n");
    } else if (is_get && request.path == "/ready") {
        const bool ready = sources.ready();
        send_text(response, ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
    } else if (is_get && request.path == "/status") {
        send_text(response, 200, "application/json", sources.status());
    } else if (is_get && request.path == "/metrics") {
        send_text(response, 200, "text/plain; version=0.0.4", sources.metrics());
    } else if (is_get && request.path == "/burn" && sources.burn_rates) {
        const bool text = net::find_query_parameter(request.query, "format") == "text";
        send_text(response, 200, text ? "text/plain" : "application/json", sources.burn_rates(text));
    } else if (request.method == "POST" && request.path == "/drain") {
        sources.drain();
        send_text(response, 202, "text/plain", "draining\n");
    } else {
        send_text(response, 404, "text/plain", "no such page\n");
    }
}

} // namespace

result<std::unique_ptr<net::http_server>> create_admin_server(net::loop& events, const net::address& listen,
                                                              admin_callbacks sources) {
    net::http_server_options options;
    options.listen = listen;
    return net::http_server::create(
        events, std::move(options),
        [sources = std::move(sources)](const net::http_request& request, const auto& response) {
            answer(sources, request, *response);
        });
}

} // namespace samphiretray::node

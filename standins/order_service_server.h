#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "standins/order_service_model.h"
#include "standins/request_log.h"
#include "standins/server_host.h"

#include <map>
#include <string>

namespace samphiretray::standins {

/// HTTP server of the plain-service stand-in: a `POST` to a path that ends in `/orders` runs an order, other
/// calls are echoed.
class order_service_server {
public:
    order_service_server(net::loop& events, std::string name, const order_service_options& options);

    [[nodiscard]] net::http_handler handler();

private:
    void handle(const net::http_request& request, const response_handle& response);
    [[nodiscard]] bool handle_admin(const net::http_request& request, const response_handle& response);
    void begin_order(const net::http_request& request, const response_handle& response);
    void echo(const net::http_request& request, const response_handle& response) const;
    void finish(const finished_order& finished);
    void advance();

    net::loop* events_;
    std::string name_;
    std::uint32_t workers_;
    std::string incarnation_;
    order_service_model model_;
    request_log seen_;
    model_timer timer_;
    std::map<std::uint64_t, response_handle> waiting_;
};

} // namespace samphiretray::standins

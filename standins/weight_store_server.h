#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "standins/server_host.h"
#include "standins/weight_store_model.h"

#include <map>

namespace samphiretray::standins {

/// HTTP server of the weight store stand-in.
class weight_store_server {
public:
    weight_store_server(net::loop& events, const weight_store_options& options);

    [[nodiscard]] net::http_handler handler();

private:
    void handle(const net::http_request& request, const response_handle& response);
    void load(const response_handle& response);
    void advance();

    net::loop* events_;
    weight_store_model model_;
    model_timer timer_;
    std::map<std::uint64_t, response_handle> waiting_;
};

} // namespace samphiretray::standins

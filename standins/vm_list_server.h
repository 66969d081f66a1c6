#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "standins/lagging_text.h"
#include "standins/server_host.h"

#include <string>

namespace samphiretray::standins {

/// HTTP server of the VM list stand-in: serves a file whose changes become visible after a delay.
class vm_list_server {
public:
    vm_list_server(net::loop& events, std::string file, duration lag);

    /// Fails if the file cannot be read or is not a JSON object with `vms`.
    [[nodiscard]] status start();
    [[nodiscard]] net::http_handler handler();

private:
    [[nodiscard]] bool read_file();

    net::loop* events_;
    std::string file_;
    lagging_text list_;
    net::timer_handle timer_;
};

} // namespace samphiretray::standins

#pragma once

#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "standins/call_gate.h"
#include "standins/kv_store.h"
#include "standins/server_host.h"

#include <list>
#include <map>
#include <string>

namespace samphiretray::standins {

/// HTTP server of the key-value stand-in. Faults can cut off single listeners, so a test that gives each
/// region its own listener can cut off single regions.
class kv_server {
public:
    kv_server(net::loop& events, call_limits limits, std::uint64_t seed);

    [[nodiscard]] net::http_handler handler(const std::string& listener);

private:
    void handle(const std::string& listener, const net::http_request& request,
                const response_handle& response);
    void handle_admin(const net::http_request& request, const response_handle& response);
    void handle_call(call_kind kind, const std::string& listener, const net::http_request& request,
                     const response_handle& response);
    void read(const std::string& key, const response_handle& response);
    void watch(const std::string& key, const std::string& listener, const net::http_request& request,
               const response_handle& response);
    void write(const std::string& key, const net::http_request& request, const response_handle& response);
    void erase(const std::string& key, const net::http_request& request, const response_handle& response);
    void list(const net::http_request& request, const response_handle& response);

    void answer_write(const kv_write_result& result, const response_handle& response);
    /// Sends the response after the delay that the faults set.
    void answer(const response_handle& response, int status, const nlohmann::json& body);
    /// Applies changed faults to pending watches: those that are cut off get 503 or no response.
    void apply_faults_to_watches();
    /// Leaves a call without a response until the caller closes the connection.
    void hold(const response_handle& response);
    /// Answers the watches that are due and sets the timer for the next event of the store.
    void advance();

    net::loop* events_;
    kv_store store_;
    call_gate gate_;
    model_timer timer_;
    struct watcher {
        std::string listener;
        response_handle response;
    };

    std::map<std::uint64_t, watcher> watchers_;
    std::list<response_handle> held_;
    std::list<net::timer_handle> delays_;
    lifetime lifetime_;
};

} // namespace samphiretray::standins

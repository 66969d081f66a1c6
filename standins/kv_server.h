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

/// The key-value stand-in on HTTP. Faults can cut off single listeners, so a test gives each region its own.
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
    /// Answers after the delay that is set at present.
    void answer(const response_handle& response, int status, const nlohmann::json& body);
    /// Ends or silences waiting watches that the faults cut off.
    void apply_faults_to_watches();
    /// Keeps a call without an answer until its caller gives up.
    void hold(const response_handle& response);
    /// Answers watches that are due and waits for the next event of the store.
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

#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include "standins/completion_form.h"
#include "standins/engine_model.h"
#include "standins/request_log.h"
#include "standins/server_host.h"

#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::standins {

/// HTTP server of the engine stand-in.
class engine_server {
public:
    /// Without `weight_store`, every load takes `local_load_time`.
    engine_server(net::loop& events, const engine_options& options, std::optional<net::address> weight_store);

    [[nodiscard]] net::http_handler handler();

private:
    static constexpr duration local_load_time = 250ms;

    struct running_completion {
        response_handle response;
        completion_writer writer;
        bool stream = false;
        /// Text so far of an answer that is not streamed.
        std::string text{};
    };
    /// A load in progress of one adapter version, with the callers that wait for it.
    struct running_load {
        std::vector<response_handle> callers;
        std::string incarnation;
        std::unique_ptr<net::http_exchange> call{};
        net::timer_handle timer{};
    };

    void handle(const net::http_request& request, const response_handle& response);
    [[nodiscard]] bool handle_admin(const net::http_request& request, const response_handle& response);
    void serve(const net::http_request& request, const response_handle& response);
    void complete(completion_kind kind, const net::http_request& request, const response_handle& response);
    void load(const net::http_request& request, const response_handle& response);
    void unload(const net::http_request& request, const response_handle& response);
    void start_load(const std::string& name, const response_handle& response);
    void finish_load(const std::string& name, bool succeeded);
    void change_faults(const nlohmann::json& change);
    void pause(duration length);
    void resume();

    void reply(net::http_response& response, int status, const nlohmann::json& body) const;
    void on_event(const batch_event& event);
    void send_token(running_completion& running, const std::string& text) const;
    void send_last(running_completion& running, const completion_usage& usage) const;
    void advance();
    [[nodiscard]] net::http_headers headers(std::string_view content_type) const;

    net::loop* events_;
    engine_model model_;
    std::optional<net::address> weight_store_;
    std::unique_ptr<net::http_client> client_;
    model_timer timer_;
    request_log seen_;
    std::map<std::uint64_t, running_completion> running_;
    std::map<std::string, running_load> loads_;
    /// Number of next completions whose connection is aborted before the end of the answer.
    std::uint32_t cut_next_ = 0;
    /// Set while the engine is paused; requests that arrive meanwhile are queued in `paused_requests_`.
    net::timer_handle pause_timer_;
    std::list<std::pair<net::http_request, response_handle>> paused_requests_;
    lifetime lifetime_;
};

} // namespace samphiretray::standins

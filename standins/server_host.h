#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/loop.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::standins {

using response_handle = std::shared_ptr<net::http_response>;

void send_json(net::http_response& response, int status, const nlohmann::json& body,
               net::http_headers headers = {});
void send_error(net::http_response& response, int status, std::string_view message);

/// Calls `handler` and answers 400 if it throws `nlohmann::json::exception`, as it does for bad bodies.
[[nodiscard]] net::http_handler answer_bad_json(net::http_handler handler);

/// Decodes "%41". A malformed escape stays as it is.
[[nodiscard]] std::string percent_decode(std::string_view text);

/// Ties callbacks that the loop or a response keeps to the life of their owner.
class lifetime {
public:
    /// The action does nothing after this object has gone.
    [[nodiscard]] std::function<void()> guard(std::function<void()> action) const {
        return [alive = std::weak_ptr<int>{token_}, action = std::move(action)] {
            if (!alive.expired()) {
                action();
            }
        };
    }

private:
    std::shared_ptr<int> token_ = std::make_shared<int>(0);
};

/// Re-arms one timer for a model's next event.
class model_timer {
public:
    model_timer(net::loop& events, std::function<void()> action)
        : events_(&events), action_(std::move(action)) {}

    void arm(std::optional<time_point> when);

private:
    net::loop* events_;
    std::function<void()> action_;
    net::timer_handle timer_;
};

/// Runs the HTTP servers of one stand-in until the process is told to stop.
class server_host {
public:
    explicit server_host(net::loop& events) : events_(&events) {}

    /// Listens at `listen` and prints "listening <name> <address>", so that scripts can use port 0.
    [[nodiscard]] status listen(const std::string& name, const std::string& listen,
                                net::http_handler handler);
    /// Returns after SIGTERM or SIGINT.
    void run();

private:
    net::loop* events_;
    std::vector<std::unique_ptr<net::http_server>> servers_;
};

} // namespace samphiretray::standins

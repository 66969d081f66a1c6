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

/// Wraps `handler` so that a `nlohmann::json::exception`, which an invalid body causes, is answered with 400.
[[nodiscard]] net::http_handler reject_invalid_json(net::http_handler handler);

/// Decodes percent escapes such as "%41". A malformed escape stays as it is.
[[nodiscard]] std::string percent_decode(std::string_view text);

/// Disables callbacks that the event loop or a response still holds after their owner was destroyed.
class lifetime {
public:
    /// Returns a function that calls `action`, or does nothing if this object has been destroyed.
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

/// A timer for the next event of a model.
class model_timer {
public:
    model_timer(net::loop& events, std::function<void()> action)
        : events_(&events), action_(std::move(action)) {}

    /// Replaces the pending timer; only cancels it if `when` is empty.
    void arm(std::optional<time_point> when);

private:
    net::loop* events_;
    std::function<void()> action_;
    net::timer_handle timer_;
};

/// Runs the HTTP servers of one stand-in until the process gets a termination signal.
class server_host {
public:
    explicit server_host(net::loop& events) : events_(&events) {}

    /// Listens at `listen` and prints "listening <name> <address>", so that scripts can pass port 0 and read
    /// the port that was chosen.
    [[nodiscard]] status listen(const std::string& name, const std::string& listen,
                                net::http_handler handler);
    /// Returns after SIGTERM or SIGINT.
    void run();

private:
    net::loop* events_;
    std::vector<std::unique_ptr<net::http_server>> servers_;
};

} // namespace samphiretray::standins

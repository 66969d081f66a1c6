#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

namespace samphiretray::ports::testing {

/// Fails a test that hangs; otherwise no result depends on it.
inline constexpr duration hang_limit = 30s;

/// A loopback HTTP server that replies to each request with the next queued response. Status 0 closes the
/// connection instead, after the request has arrived. With an empty queue the request stays pending.
struct fake_service {
    net::loop events;
    std::vector<net::http_request> requests;
    std::vector<net::fetched_response> queued_responses;
    std::vector<std::shared_ptr<net::http_response>> pending_responses;
    std::unique_ptr<net::http_server> server = start();
    std::unique_ptr<net::http_client> client = net::http_client::create(events);

    std::unique_ptr<net::http_server> start() {
        auto created = net::http_server::create(
            events, {{"127.0.0.1", 0}},
            [this](net::http_request request, const std::shared_ptr<net::http_response>& response) {
                requests.push_back(std::move(request));
                answer(response);
            });
        REQUIRE(created);
        return std::move(created).value();
    }

    void answer(const std::shared_ptr<net::http_response>& response) {
        if (queued_responses.empty()) {
            pending_responses.push_back(response);
            return;
        }
        const net::fetched_response next = queued_responses.front();
        queued_responses.erase(queued_responses.begin());
        if (next.status == 0) {
            response->abort();
        } else {
            response->send(next.status, next.headers, next.body);
        }
    }

    /// An address at which no server listens.
    net::address closed_address() { return start()->local_address(); }
    [[nodiscard]] net::address address() const { return server->local_address(); }

    /// Runs the loop until `outcome` has a value.
    template <typename T>
    T& wait_for(std::optional<T>& outcome) {
        REQUIRE(events.run_until([&] { return outcome.has_value(); }, hang_limit));
        return *outcome;
    }
};

/// A completion that stores its result in `outcome`.
template <typename T>
auto store(std::optional<result<T>>& outcome) {
    return [&outcome](result<T> given) { outcome.emplace(std::move(given)); };
}

} // namespace samphiretray::ports::testing

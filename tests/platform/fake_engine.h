#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace samphiretray::platform::testing {

/// Bounds a hanging test; no verdict depends on it otherwise.
inline constexpr duration hang_limit = 20s;

/// The system chooses the port when the server binds it: a port that was looked up before can be taken by
/// another process in between.
inline const net::address any_port{"127.0.0.1", 0};

enum class order_fate {
    carried_out,
    /// Carried out without an answer.
    answer_lost,
    /// No answer; carried out when `run_late_orders` is called, if its condition still holds then.
    late,
};

/// A model server on loopback with the platform's rules for orders: conditions, fencing numbers, places.
struct fake_engine {
    explicit fake_engine(net::loop& loop) : events(loop) {
        auto created = net::http_server::create(
            events, {{"127.0.0.1", 0}},
            [this](net::http_request request, std::shared_ptr<net::http_response> response) {
                answer(request, std::move(response));
            });
        REQUIRE(created);
        server = std::move(*created);
    }

    [[nodiscard]] net::address address() const { return server->local_address(); }

    void restart() {
        ++born;
        seq = 0;
        fence = 0;
        models.clear();
        adapters.clear();
    }

    /// The next `count` orders get no answer and are carried out by `run_late_orders` only.
    void delay_orders(std::size_t count) { fates.insert(fates.end(), count, order_fate::late); }

    void run_late_orders() {
        for (const auto& order : std::exchange(late_orders, {})) {
            carry_out(order);
        }
    }

    /// The status of an order, as the server would answer it.
    int carry_out(const nlohmann::json& order) {
        const std::uint64_t token = order["fencingToken"];
        if (token < fence) {
            return 412;
        }
        fence = token;
        if (order.contains("precondition") && order["precondition"] != seq) {
            return 409;
        }
        const std::string model = order["model"];
        const bool loads = order["operation"] == "load";
        if (!order.contains("adapter")) {
            ++seq;
            models = loads ? std::vector{model} : std::vector<std::string>{};
            return 202;
        }
        if (models.empty()) {
            return 400;
        }
        ++seq;
        const std::string name = order["adapter"];
        std::erase_if(adapters, [&name](const std::string& each) { return each.starts_with(name + "@"); });
        if (loads) {
            adapters.push_back(name + "@" + std::to_string(order.value("version", 1)));
        }
        overloaded = overloaded || adapters.size() > places;
        return loads ? 202 : 200;
    }

    void answer(const net::http_request& request, std::shared_ptr<net::http_response> response) {
        if (request.path == "/v1/report") {
            ++reports;
            nlohmann::json list = nlohmann::json::array();
            for (const std::string& model : models) {
                list.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
            }
            const nlohmann::json report{
                {"models", list}, {"busy", false}, {"seq", seq}, {"born", born}, {"state", state}};
            response->send(200, {}, report.dump());
            return;
        }
        if (request.path == "/v1/order") {
            const auto order = nlohmann::json::parse(request.body);
            orders.push_back(order);
            const order_fate fate = fates.empty() ? order_fate::carried_out : fates.front();
            if (!fates.empty()) {
                fates.pop_front();
            }
            if (fate == order_fate::late) {
                late_orders.push_back(order);
                silent.push_back(std::move(response));
                return;
            }
            const int status = carry_out(order);
            if (fate == order_fate::answer_lost) {
                silent.push_back(std::move(response));
                return;
            }
            response->send(status, {}, "");
            return;
        }
        requests.push_back(request);
        on_request(request, std::move(response));
    }

    /// Answers a request for work; a whole signed answer unless a test replaces it.
    std::function<void(const net::http_request&, std::shared_ptr<net::http_response>)> on_request =
        [](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
            response->send(200,
                           {{"x-samphiretray-attempt-id",
                             std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
                            {"x-samphiretray-server-seal", "seal"}},
                           "id: 1\n\n");
        };

    net::loop& events;
    std::unique_ptr<net::http_server> server;
    std::uint64_t born = 1;
    std::uint64_t seq = 0;
    std::uint64_t fence = 0;
    std::string state = "ready";
    std::size_t places = 8;
    /// Set when the engine was made to hold more adapters than it has places; a real one crashes.
    bool overloaded = false;
    std::vector<std::string> models{"m0"};
    std::vector<std::string> adapters;
    std::vector<nlohmann::json> orders;
    std::vector<net::http_request> requests;
    std::deque<order_fate> fates;
    std::vector<nlohmann::json> late_orders;
    std::vector<std::shared_ptr<net::http_response>> silent;
    int reports = 0;
};

} // namespace samphiretray::platform::testing

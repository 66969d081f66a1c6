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

/// Time limit for waiting, after which a test fails instead of hanging.
inline constexpr duration hang_limit = 20s;

/// Port 0 lets the system choose the port when the server binds. A free port that was determined earlier
/// could be taken by another process in between.
inline const net::address any_port{"127.0.0.1", 0};

enum class order_fate {
    takes_effect,
    /// The order takes effect, but no response is sent.
    answer_lost,
    /// No response is sent. The order takes effect in `apply_late_orders`, if its precondition still holds
    /// then.
    late,
};

/// A model server on the loopback interface that enforces the platform's rules for orders: preconditions,
/// fencing numbers and adapter slots.
struct fake_engine {
    explicit fake_engine(net::loop& loop, const std::string& host = "127.0.0.1") : events(loop) {
        auto created = net::http_server::create(
            events, {{host, 0}},
            [this](net::http_request request, std::shared_ptr<net::http_response> response) {
                answer(request, std::move(response));
            });
        REQUIRE(created);
        server = std::move(*created);
    }

    [[nodiscard]] net::address address() const { return server->local_address(); }

    /// Restarts under another id unless one is given.
    void restart(const std::string& new_id = "") {
        ++born;
        id = new_id.empty() ? id + "-again" : new_id;
        seq = 0;
        highest_fencing_number = 0;
        models.clear();
        adapters.clear();
    }

    /// The next `count` orders get no response and take effect only in `apply_late_orders`.
    void delay_orders(std::size_t count) { order_fates.insert(order_fates.end(), count, order_fate::late); }

    void apply_late_orders() {
        for (const auto& order : std::exchange(late_orders, {})) {
            apply_order(order);
        }
    }

    /// Applies the order and returns the status of the response.
    int apply_order(const nlohmann::json& order) {
        if (order.contains("meant_for") && order["meant_for"] != id) {
            return 421;
        }
        const std::uint64_t token = order["fencingToken"];
        if (token < highest_fencing_number) {
            return 412;
        }
        highest_fencing_number = token;
        if (order.contains("precondition") && order["precondition"] != seq) {
            return 409;
        }
        const std::string model = order["model"];
        const bool is_load = order["operation"] == "load";
        if (!order.contains("adapter")) {
            ++seq;
            models = is_load ? std::vector{model} : std::vector<std::string>{};
            note_load();
            return 202;
        }
        if (models.empty()) {
            return 400;
        }
        ++seq;
        const std::string name = order["adapter"];
        std::erase_if(adapters, [&name](const std::string& each) { return each.starts_with(name + "@"); });
        if (is_load) {
            adapters.push_back(name + "@" + std::to_string(order.value("version", 1)));
        }
        note_load();
        return is_load ? 202 : 200;
    }

    void note_load() {
        const double used_mb =
            static_cast<double>(models.size()) * model_mb + static_cast<double>(adapters.size()) * adapter_mb;
        overloaded = overloaded || adapters.size() > adapter_slots || used_mb > weights_mb;
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
            auto order = nlohmann::json::parse(request.body);
            if (const auto meant_for = net::find_header(request.headers, "x-samphiretray-expect-instance");
                !meant_for.empty()) {
                order["meant_for"] = meant_for;
            }
            orders.push_back(order);
            const order_fate fate = order_fates.empty() ? order_fate::takes_effect : order_fates.front();
            if (!order_fates.empty()) {
                order_fates.pop_front();
            }
            if (fate == order_fate::late) {
                late_orders.push_back(order);
                unanswered.push_back(std::move(response));
                return;
            }
            const int status = apply_order(order);
            if (fate == order_fate::answer_lost) {
                unanswered.push_back(std::move(response));
                return;
            }
            response->send(status, {}, "");
            return;
        }
        requests.push_back(request);
        on_request(request, std::move(response));
    }

    /// Handles a forwarded request. Sends a complete, signed response unless a test replaces it.
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
    std::string id = "i-1";
    std::uint64_t seq = 0;
    std::uint64_t highest_fencing_number = 0;
    std::string state = "ready";
    std::size_t adapter_slots = 8;
    double weights_mb = 35'000;
    double model_mb = 0;
    double adapter_mb = 0;
    /// Set once the engine has had more than its slots or its memory hold, which would crash a real one.
    bool overloaded = false;
    std::vector<std::string> models{"m0"};
    std::vector<std::string> adapters;
    std::vector<nlohmann::json> orders;
    std::vector<net::http_request> requests;
    std::deque<order_fate> order_fates;
    std::vector<nlohmann::json> late_orders;
    std::vector<std::shared_ptr<net::http_response>> unanswered;
    int reports = 0;
};

} // namespace samphiretray::platform::testing

#include "samphiretray/gateway/engine_agent-inl.h"

#include "platform/engine_client.h"
#include "platform/request_binding.h"
#include "tests/platform/fake_engine.h"
#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::platform;
using platform::testing::any_port;
using platform::testing::fake_engine;
using platform::testing::hang_limit;

namespace {

std::string with_length(const std::string& head, const std::string& body) {
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against an unload that counts as done although the engine has not answered it: a second copy of the
// report before it arrives on the connection on which the order is sent.
TEST_CASE("a copy of an engine's report is not taken for its answer to an order") {
    net::loop events;
    net::testing::raw_listener engine;
    const auto http = net::http_client::create(events);
    engine_client client{events,
                         *http,
                         {.engine = engine.local_address(),
                          .owner = "side-1",
                          .order_timeout = 200ms,
                          .recheck_interval = 2ms,
                          .completion_timeout = 500ms}};
    std::vector<result<std::string>> outcomes;
    client.unload({{"m0/a1", "1"}, 5, 8},
                  [&](result<std::string> outcome) { outcomes.push_back(std::move(outcome)); });
    auto connection = engine.accept(events);
    REQUIRE(connection.receive_until(events, "/v1/report"));
    const std::string report = with_length(
        "HTTP/1.1 200 OK\r\n",
        R"({"models":[{"name":"m0","version":1,"adapters":["a1@1"]}],"busy":false,"seq":3,"born":1})");
    connection.send(events, report);
    REQUIRE(connection.receive_until(events, "/v1/order"));
    connection.send(events, report);
    REQUIRE(events.run_until([&] { return !outcomes.empty(); }, hang_limit));
    CHECK_FALSE(outcomes[0]);
}

// Guards against a request that runs twice (TWICE): the link between entry and agent repeats the bytes of the
// request, which names its sending.
TEST_CASE("an agent passes a request that arrives a second time with the same sending on only once") {
    net::loop events;
    fake_engine engine{events};
    const auto http = net::http_client::create(events);
    engine_client api{
        events,
        *http,
        {.engine = engine.address(), .owner = "side-1", .order_timeout = 30ms, .recheck_interval = 2ms}};
    gateway::engine_agent_settings settings;
    settings.node.vm = "side-1";
    settings.listen = any_port;
    settings.control_listen = any_port;
    settings.engine = engine.address();
    settings.service = "engines";
    settings.poll_interval = 10ms;
    gateway::engine_agent<request_binding, engine_client> agent{events, settings, api};
    REQUIRE(agent.start());
    gateway::routing_state state;
    state.version = 1;
    state.services = {{"engines", gateway::engine_capacity{8, 100'000, 2, {"m0"}}}};
    agent.apply(state);
    agent.set_fencing_number(5);
    const int before = engine.reports;
    REQUIRE(events.run_until([&] { return engine.reports > before + 2; }, hang_limit));
    const std::string request =
        with_length("POST /u/1 HTTP/1.1\r\nHost: h\r\nX-Samphiretray-Attempt-Id: a1\r\n"
                    "X-Samphiretray-Model: m0\r\nX-Samphiretray-Token-Count: 100,5\r\n"
                    "X-Samphiretray-Deadline-Ms: 5000\r\nsamphiretray-sending: 7-1\r\n",
                    "order");
    auto entry = net::testing::raw_socket::connect(agent.listen_address());
    entry.send(events, request + request);
    REQUIRE(events.run_until([&] { return !engine.requests.empty(); }, hang_limit));
    events.run_until([] { return false; }, 200ms);
    CHECK(engine.requests.size() == 1);
}

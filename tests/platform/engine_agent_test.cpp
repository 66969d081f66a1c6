#include "samphiretray/gateway/engine_agent-inl.h"

#include "platform/engine_port.h"
#include "platform/request_binding.h"
#include "tests/platform/fake_engine.h"
#include "tests/support/raw_socket.h"

#include <algorithm>
#include <functional>

using namespace samphiretray;
using namespace samphiretray::platform;
using platform::testing::any_port;
using platform::testing::fake_engine;
using platform::testing::hang_limit;
using platform::testing::order_fate;

namespace {

/// An agent and its engine as one process, with a client in the place of an entry.
struct agent_beside_engine {
    net::loop events;
    net::address listen;
    fake_engine engine{events};
    std::unique_ptr<net::http_client> client = net::http_client::create(events);
    engine_port port{
        events,
        *client,
        {.engine = engine.address(), .owner = "side-1", .order_timeout = 30ms, .look_interval = 2ms}};
    gateway::engine_agent<request_binding, engine_port> agent{events, settings(), port};
    std::vector<result<net::http_answer>> answers;
    std::vector<std::unique_ptr<net::http_exchange>> calls;

    gateway::engine_agent_settings settings() {
        gateway::engine_agent_settings values;
        values.node.vm = "side-1";
        values.listen = any_port;
        values.control_listen = any_port;
        values.engine = engine.address();
        values.service = "engines";
        values.poll_interval = 10ms;
        return values;
    }

    void start() {
        REQUIRE(agent.start());
        listen = agent.listen_address();
        gateway::routing_state state;
        state.version = 1;
        state.services = {{"engines", gateway::engine_capacity{8, 100'000, 2, {"m0"}}}};
        agent.apply(state);
        agent.set_fencing_number(5);
        const int before = engine.reports;
        REQUIRE(events.run_until([&] { return engine.reports > before + 2; }, hang_limit));
    }

    /// The engine restarts, and `orders` orders for its base model stay unanswered.
    void restart_with_slow_model(std::size_t orders) {
        engine.delay_orders(orders);
        engine.restart();
        REQUIRE(events.run_until([&] { return !engine.late_orders.empty(); }, hang_limit));
    }

    void ask(const std::string& attempt, const std::string& adapter, const std::string& version = "",
             duration time = 5s, const std::function<void(net::http_headers&)>& add_headers = {}) {
        net::http_call call;
        call.peer = listen;
        call.method = "POST";
        call.target = "/x/1";
        call.headers = request_binding::forward_headers(
            {{"x-samphiretray-attempt-id", attempt},
             {"x-samphiretray-model", adapter.empty() ? "m0" : "m0/" + adapter},
             {"x-samphiretray-token-count", "1000,50"}},
            {.time_left = time, .endpoint = "i-1", .organisation = "coop", .version = version});
        if (add_headers) {
            add_headers(call.headers);
        }
        calls.push_back(client->fetch(std::move(call), [this](result<net::http_answer> answer) {
            answers.push_back(std::move(answer));
        }));
    }

    void wait_for(std::size_t count) {
        REQUIRE(events.run_until([&] { return answers.size() == count; }, hang_limit));
    }

    void run_for(duration time) {
        events.run_until([] { return false; }, time);
    }
};

} // namespace

TEST_CASE("a request waits for the load of its adapter and its answer tells the engine's load") {
    agent_beside_engine all;
    all.start();
    all.ask("1", "a1");
    all.wait_for(1);
    REQUIRE(all.answers[0]);
    CHECK(all.answers[0]->status == 200);
    const auto load = gateway::read_engine_load(all.answers[0]->headers);
    REQUIRE(load);
    CHECK(load->resident == std::vector<std::string>{"m0/a1@1"});
    CHECK(all.engine.requests.size() == 1);
    CHECK(net::find_header(all.engine.requests[0].headers, "samphiretray-max-wait-ms").empty());
}

TEST_CASE("adapters take turns at the engine's places without ever being one too many") {
    agent_beside_engine all;
    all.engine.places = 2;
    all.start();
    for (int i = 0; i < 12; ++i) {
        all.ask(std::to_string(i), "a" + std::to_string(i % 5));
    }
    all.wait_for(12);
    for (const auto& answer : all.answers) {
        REQUIRE(answer);
        CHECK(answer->status == 200);
    }
    CHECK_FALSE(all.engine.overloaded);
}

TEST_CASE("an engine that restarts empty gets its base model back and serves again") {
    agent_beside_engine all;
    all.start();
    all.engine.restart();
    all.run_for(200ms);
    CHECK(all.engine.models == std::vector<std::string>{"m0"});
    all.ask("1", "a1");
    all.wait_for(1);
    CHECK(all.answers[0]->status == 200);
}

TEST_CASE("an order from before the engine's restart is fenced off although its condition holds again") {
    // Seen as LIMIT on scale-1: a late load made an adapter one too many for a restarted engine.
    agent_beside_engine all;
    all.engine.places = 2;
    all.start();
    all.engine.fates = {order_fate::late};
    all.ask("1", "a1");
    REQUIRE(all.events.run_until([&] { return all.engine.late_orders.size() == 1; }, hang_limit));
    all.wait_for(1);
    all.engine.restart();
    all.run_for(200ms);
    REQUIRE(all.engine.models.size() == 1);
    // The late order was given on the condition that none had been accepted.
    all.engine.seq = 0;
    CHECK(all.engine.carry_out(all.engine.late_orders[0]) == 412);
}

TEST_CASE("requests that wait at an agent whose engine is lost go back to their entries at once") {
    // Seen on scale-1: thirteen requests were held for three seconds beside a crashed engine.
    agent_beside_engine all;
    all.start();
    all.engine.delay_orders(400);
    all.ask("1", "a1");
    all.run_for(50ms);
    CHECK(all.answers.empty());
    all.engine.server.reset();
    all.wait_for(1);
    REQUIRE(all.answers[0]);
    CHECK(gateway::read_refusal(all.answers[0]->headers) == gateway::agent_refusal::engine_down);
    CHECK(all.engine.requests.empty());
}

TEST_CASE("a request with nowhere else to go waits for the base model, another one is sent on at once") {
    // Pattern: power lost everywhere. For a second all engines load their base model, and all that came was
    // refused, came back 400 ms later and was refused again.
    agent_beside_engine all;
    all.start();
    all.restart_with_slow_model(8);
    all.ask("1", "a1", "", 5s, [](net::http_headers& headers) {
        gateway::add_waiting_budget(headers, {500ms, 1s, 4s});
    });
    all.wait_for(1);
    CHECK(gateway::read_refusal(all.answers[0]->headers) == gateway::agent_refusal::engine_down);
    REQUIRE(all.engine.models.empty());
    all.ask("2", "a1", "", 5s, [](net::http_headers& headers) {
        gateway::add_waiting_budget(headers, {4s, 1s, 4s});
    });
    all.wait_for(2);
    CHECK(all.answers[1]->status == 200);
    CHECK(all.engine.requests.size() == 1);
}

TEST_CASE("a request that needs no adapter waits for the base model too") {
    agent_beside_engine all;
    all.start();
    all.restart_with_slow_model(4);
    all.ask("1", "");
    all.run_for(10ms);
    CHECK(all.engine.requests.empty());
    all.wait_for(1);
    CHECK(all.answers[0]->status == 200);
    CHECK(all.engine.models == std::vector<std::string>{"m0"});
}

TEST_CASE("what waits beside a leaving engine is sent on before the engine may get no new work") {
    // A request that waited for its adapter would have reached the engine up to four seconds after its
    // notice.
    agent_beside_engine all;
    all.start();
    all.engine.delay_orders(400);
    all.ask("1", "a1");
    all.run_for(50ms);
    all.engine.state = "draining";
    const time_point told = all.events.now();
    all.run_for(50ms);
    all.ask("2", "a1");
    all.wait_for(1);
    CHECK(gateway::read_refusal(all.answers[0]->headers) == gateway::agent_refusal::draining);
    CHECK(all.events.now() - told < 1s);
    all.wait_for(2);
    CHECK(gateway::read_refusal(all.answers[1]->headers) == gateway::agent_refusal::draining);
    CHECK(all.events.now() - told < 2s);
    CHECK(all.engine.requests.empty());
}

TEST_CASE("a request for the engine's earlier incarnation does not reach the engine") {
    // Pattern: power lost everywhere. Entries know the engines of before for another second; the engines
    // turned their requests away, the budget for repeats was used up by it, and 93 requests were refused.
    agent_beside_engine all;
    all.start();
    const auto start_of = [](std::uint64_t started_at) {
        return [started_at](net::http_headers& headers) { gateway::add_engine_start(headers, started_at); };
    };
    all.ask("1", "a1", "", 5s, start_of(all.engine.born - 1));
    all.wait_for(1);
    CHECK(gateway::read_refusal(all.answers[0]->headers) == gateway::agent_refusal::engine_restarted);
    CHECK(all.engine.requests.empty());
    all.ask("2", "a1", "", 5s, start_of(all.engine.born));
    all.wait_for(2);
    CHECK(all.answers[1]->status == 200);
    CHECK(net::find_header(all.engine.requests[0].headers, "samphiretray-engine-start").empty());
}

TEST_CASE("an announced version replaces the one that is loaded before the next request") {
    agent_beside_engine all;
    all.start();
    all.ask("1", "a1");
    all.wait_for(1);
    all.agent.apply(gateway::adapter_release{"m0/a1", 2});
    all.ask("2", "a1");
    all.wait_for(2);
    CHECK(all.answers[1]->status == 200);
    CHECK(all.engine.adapters == std::vector<std::string>{"a1@2"});
    CHECK(net::find_header(all.engine.requests[1].headers, "x-samphiretray-expect-version") == "2");
}

TEST_CASE("an agent that has not heard of a version takes it from the entry's request") {
    // The agent is cut off from the store while a version is announced.
    agent_beside_engine all;
    all.start();
    all.ask("1", "a1", "3");
    all.wait_for(1);
    CHECK(all.answers[0]->status == 200);
    CHECK(all.engine.adapters == std::vector<std::string>{"a1@3"});
}

TEST_CASE("a request that the engine broke off is unknown to the entry, never refused as not run") {
    agent_beside_engine all;
    all.engine.on_request = [](const net::http_request&,
                               const std::shared_ptr<net::http_response>& response) { response->abort(); };
    all.start();
    all.ask("1", "");
    all.wait_for(1);
    REQUIRE(all.answers[0]);
    CHECK(all.answers[0]->status == 502);
    CHECK(gateway::read_refusal(all.answers[0]->headers) == gateway::agent_refusal::outcome_unknown);
}

TEST_CASE("a stopping agent refuses new requests as not run and finishes the running ones") {
    agent_beside_engine all;
    std::shared_ptr<net::http_response> running;
    all.engine.on_request = [&](const net::http_request&, std::shared_ptr<net::http_response> response) {
        running = std::move(response);
    };
    all.start();
    all.ask("1", "");
    REQUIRE(all.events.run_until([&] { return running != nullptr; }, hang_limit));
    all.agent.drain();
    all.ask("2", "");
    all.wait_for(1);
    CHECK(gateway::read_refusal(all.answers[0]->headers) == gateway::agent_refusal::draining);
    running->send(200, {{"x-samphiretray-attempt-id", "1"}, {"x-samphiretray-server-seal", "s"}}, "whole");
    all.wait_for(2);
    CHECK(all.answers[1]->body == "whole");
}

TEST_CASE("a stopping agent answers on connections that entries still use, until they have left them") {
    // Pattern: a planned stop under load. A request that had just been sent on a kept connection was cut off
    // when the agent, idle for a moment, ended.
    agent_beside_engine all;
    all.start();
    all.ask("1", "");
    all.wait_for(1);
    REQUIRE(all.answers[0]);
    all.agent.drain();
    const net::timer_handle next = all.events.after(300ms, [&] { all.ask("2", ""); });
    // The loop ends with the stop.
    all.events.run_until([&] { return all.answers.size() == 2; }, hang_limit);
    REQUIRE(all.answers.size() == 2);
    REQUIRE(all.answers[1]);
    CHECK(gateway::read_refusal(all.answers[1]->headers) == gateway::agent_refusal::draining);
    CHECK(net::find_header(all.answers[1]->headers, "connection") == "close");
}

TEST_CASE("a late copy of an earlier answer of the engine reaches nobody and ends its connection") {
    agent_beside_engine all;
    std::size_t closed = 0;
    std::vector<std::shared_ptr<net::http_response>> kept;
    all.engine.on_request = [&](const net::http_request& request,
                                std::shared_ptr<net::http_response> response) {
        const std::string attempt{net::find_header(request.headers, "x-samphiretray-attempt-id")};
        response->on_closed([&closed] { ++closed; });
        // The answer to the second request is the first one's, and goes on after it.
        response->start(200, {{"x-samphiretray-attempt-id", attempt == "2" ? "1" : attempt},
                              {"x-samphiretray-server-seal", "s"}});
        response->write("id: 1\n\n");
        if (attempt == "2") {
            kept.push_back(std::move(response));
        } else {
            response->finish();
        }
    };
    all.start();
    all.ask("1", "");
    all.wait_for(1);
    all.ask("2", "");
    all.wait_for(2);
    REQUIRE(all.answers[1]);
    CHECK(all.answers[1]->body.empty());
    CHECK(gateway::read_refusal(all.answers[1]->headers) == gateway::agent_refusal::outcome_unknown);
    CHECK(all.events.run_until([&] { return closed == 1; }, hang_limit));
    all.ask("3", "");
    all.wait_for(3);
    CHECK(all.answers[2]->status == 200);
}

TEST_CASE("an engine that is faster than its entry reads is slowed down") {
    agent_beside_engine all;
    std::size_t written = 0;
    net::timer_handle writer;
    all.engine.on_request = [&](const net::http_request& request,
                                const std::shared_ptr<net::http_response>& response) {
        response->start(200, {{"x-samphiretray-attempt-id",
                               std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
                              {"x-samphiretray-server-seal", "s"}});
        writer = all.events.every(1ms, [&written, response] {
            while (response->is_open() && response->buffered_bytes() < (1U << 20U)) {
                response->write(std::string(10'000, 'x'));
                written += 10'000;
            }
        });
    };
    all.start();
    auto entry = net::testing::raw_socket::connect(all.listen);
    entry.send(all.events, "POST /x/1 HTTP/1.1\r\nHost: h\r\nX-Samphiretray-Attempt-Id: a\r\n"
                           "X-Samphiretray-Model: m0\r\nContent-Length: 0\r\n\r\n");
    all.events.run_until([] { return false; }, 1s);
    CHECK(written > 0);
    // What the kernel's buffers of two connections on loopback take, and the megabyte of the engine itself.
    CHECK(written < 24U << 20U);
}

TEST_CASE("an entry that leaves takes its request from the engine") {
    agent_beside_engine all;
    std::shared_ptr<net::http_response> running;
    bool cancelled = false;
    all.engine.on_request = [&](const net::http_request&, std::shared_ptr<net::http_response> response) {
        running = std::move(response);
        running->on_closed([&] { cancelled = true; });
    };
    all.start();
    all.ask("1", "");
    REQUIRE(all.events.run_until([&] { return running != nullptr; }, hang_limit));
    all.calls.clear();
    CHECK(all.events.run_until([&] { return cancelled; }, hang_limit));
}

#include "tests/platform/entry_with_servers.h"
#include "tests/support/raw_socket.h"

#include <thread>

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;

namespace {

std::string with_length(const std::string& head, const std::string& body) {
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

// Guards against "not run" for a request that runs later (REFUSED): the loop stood still beyond the deadline
// of a request and the time limit of its connection attempt. The deadline refused it, and then the failed
// attempt sent it to the next server.
TEST_CASE(
    "a request that has been refused at its deadline is not sent on when its connection attempt fails") {
    entry_with_servers fixture;
    net::testing::unanswering_listener cut_off;
    fixture.entry->apply(entry_with_servers::make_state(3));
    fixture.register_server(1);
    fixture.entry->set_endpoints_complete();
    // Leaves a connection to the second server, on which a request is written at once.
    REQUIRE(status_of(fixture.send_and_wait("/u/1")) == 200);
    fixture.entry->update_endpoint({"i-0", "orders", cut_off.local_address(), "north-a", 6, false, 1, {}});
    fixture.send_request("/u/1", {{"x-samphiretray-deadline-ms", "150"}}, "key", "order", "late");
    const auto stall = fixture.events.after(100ms, [] { std::this_thread::sleep_for(300ms); });
    CHECK(status_of(fixture.wait_for_outcome()) == 503);
    fixture.events.run_until([] { return false; }, 50ms);
    CHECK(fixture.received[1].size() == 1);
}

// The same for a call that fails before it connects, which is reported by an action that was posted before
// the deadline came.
TEST_CASE("a request that has been refused at its deadline is not sent on when its call cannot be made") {
    entry_with_servers fixture;
    fixture.entry->apply(entry_with_servers::make_state(3));
    fixture.register_server(1);
    fixture.entry->set_endpoints_complete();
    REQUIRE(status_of(fixture.send_and_wait("/u/1")) == 200);
    fixture.entry->update_endpoint({"i-0", "orders", {"no address", 1}, "north-a", 6, false, 1, {}});
    CHECK(status_of(fixture.send_and_wait("/u/1", {{"x-samphiretray-deadline-ms", "0"}})) == 503);
    fixture.events.run_until([] { return false; }, 50ms);
    CHECK(fixture.received[1].size() == 1);
}

// Guards against "not run" for a request that an engine has begun (REFUSED): on the link between entry and
// agent the refusal of an earlier request arrives once more, when the agent is running the next one.
TEST_CASE("a copy of an agent's earlier refusal is not taken as a refusal of the next request") {
    entry_with_servers fixture;
    net::testing::raw_listener agent{{"127.0.0.2", fixture.agent_port()}};
    auto state = entry_with_servers::make_state(3);
    state.services = {{"orders", gateway::engine_capacity{8, 100'000, 2, {"m0"}}}};
    fixture.entry->apply(state);
    fixture.entry->update_endpoint({"i-0", "orders", {"127.0.0.2", 9}, "north-a", 6, false, 1, {}});
    fixture.entry->set_endpoints_complete();
    fixture.send_request("/e/1", {}, "key", "one", "a1");
    auto connection = agent.accept(fixture.events);
    REQUIRE(connection.receive_until(fixture.events, "one"));
    const std::string refusal = "HTTP/1.1 503 Busy\r\nsamphiretray-refusal: busy\r\n" +
                                sending_line(connection.received) + "Content-Length: 0\r\n\r\n";
    connection.send(fixture.events, refusal);
    CHECK(fixture.wait_for_outcome()->status == 503);
    fixture.send_request("/e/1", {}, "key", "two", "a2");
    REQUIRE(connection.receive_until(fixture.events, "two"));
    connection.send(fixture.events, refusal);
    CHECK(fixture.wait_for_outcome()->status == 502);
}

// Guards against "not run" for a request that has run (REFUSED): one attempt goes to one agent twice, since
// an engine's old and new records have the same address, and the first refusal arrives once more.
TEST_CASE("a copy of an agent's refusal is not taken as that of the same attempt sent again") {
    entry_with_servers fixture;
    net::testing::raw_listener agent{{"127.0.0.2", fixture.agent_port()}};
    auto state = entry_with_servers::make_state(3);
    state.services = {{"orders", gateway::engine_capacity{8, 100'000, 2, {"m0"}}}};
    fixture.entry->apply(state);
    for (const std::string id : {"i-before", "i-now"}) {
        fixture.entry->update_endpoint({id, "orders", {"127.0.0.2", 9}, "north-a", 6, false, 1, {}});
    }
    fixture.entry->set_endpoints_complete();
    fixture.send_request("/e/1", {}, "key", "one", "a1");
    auto connection = agent.accept(fixture.events);
    REQUIRE(connection.receive_until(fixture.events, "one"));
    const std::string refusal = "HTTP/1.1 503 Stale\r\nsamphiretray-refusal: engine_restarted\r\n" +
                                sending_line(connection.received) + "Content-Length: 0\r\n\r\n";
    connection.received.clear();
    connection.send(fixture.events, refusal);
    REQUIRE(connection.receive_until(fixture.events, "one"));
    connection.send(fixture.events, refusal);
    CHECK(fixture.wait_for_outcome()->status == 502);
}

// Guards against "not run" for a request that a server has begun (REFUSED): only X-Samphiretray-Not-Executed
// and 421 tell that it has not, but to the caller these statuses promise so.
TEST_CASE("a server's own 503, 429 or 408 without a promise reaches no caller of a call that may run once") {
    entry_with_servers fixture;
    fixture.register_all();
    const auto answer_with = [&fixture](int status) {
        fixture.responders[0] = fixture.responders[1] = [status](const auto& request, const auto& response) {
            send_signed(request, response, status, "broken");
        };
    };
    for (const int status : {408, 429, 503}) {
        answer_with(status);
        for (const std::string path : {"/u/1", "/e/1"}) {
            INFO(status << " " << path);
            const std::size_t before = fixture.received_count();
            CHECK(status_of(fixture.send_and_wait(path)) == 502);
            CHECK(net::find_header((*fixture.outcome)->headers, "x-samphiretray-server-seal").empty());
            CHECK(fixture.received_count() == before + 1);
        }
    }
    answer_with(503);
    CHECK(status_of(fixture.send_and_wait("/s/1")) == 503);
    answer_with(500);
    CHECK(status_of(fixture.send_and_wait("/u/1")) == 500);
    CHECK(status_of(fixture.send_and_wait("/e/1")) == 500);
}

// Guards against callers that set how long their request may wait at an agent, or which sending an agent
// answers.
TEST_CASE("headers between entries and agents are not taken from callers") {
    entry_with_servers fixture;
    fixture.register_all();
    REQUIRE(status_of(fixture.send_and_wait("/u/1", {{"samphiretray-sending", "1-1"},
                                                     {"samphiretray-waiting-budget-ms", "1,2,3"}})) == 200);
    CHECK(gateway::read_sending(fixture.received[0][0].headers).empty());
    CHECK_FALSE(gateway::read_waiting_budget(fixture.received[0][0].headers));
}

// Guards against "not run" for a request that is then handled (REFUSED): the connection is closed for too
// many bytes while the interim response to its head is being sent. The final 503 is sent too, and then the
// body is taken up behind the interim response.
TEST_CASE("a request that is refused with 503 behind its interim response reaches no handler") {
    net::loop events;
    net::http_server_options options;
    options.listen = {"127.0.0.1", 0};
    options.buffers = std::make_shared<net::buffer_budget>(
        net::buffer_limits{.max_bytes = 2000, .reserved_bytes = 0, .small_bytes = 1000});
    std::size_t handled = 0;
    auto server = net::http_server::create(
        events, options, [&](const net::http_request&, const std::shared_ptr<net::http_response>& response) {
            ++handled;
            response->send(200, {}, "done");
        });
    REQUIRE(server);
    auto caller = net::testing::raw_socket::connect((*server)->local_address());
    caller.send(events, with_length("POST /u/1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n",
                                    std::string(3000, 'x')));
    (void)caller.receive_all(events);
    INFO(caller.received);
    CHECK(caller.received.find(" 503 ") != std::string::npos);
    CHECK(handled == 0);
}

// The same at an entry, with the limits of a process of 1 MB: small unfinished uploads hold nearly all bytes,
// so that the large one is the only connection that may be closed.
TEST_CASE("an order that is refused with 503 behind its interim response reaches no server") {
    entry_with_servers fixture;
    fixture.start_entry([](gateway::gateway_settings& settings) { settings.node.memory_mb = 1; });
    fixture.entry->apply(entry_with_servers::make_state(3));
    fixture.register_server(0);
    fixture.entry->set_endpoints_complete();
    // Leaves a connection to the server, on which an order is written at once.
    REQUIRE(fixture.send_and_wait("/u/1")->status == 200);
    const auto head = [](const std::string& attempt, const std::string& more, std::size_t length) {
        return "POST /u/1 HTTP/1.1\r\nHost: a.example\r\nX-Samphiretray-Attempt-Id: " + attempt +
               "\r\nX-Samphiretray-Credential: key\r\n" + more + "Content-Length: " + std::to_string(length) +
               "\r\n\r\n";
    };
    std::vector<net::testing::raw_socket> uploads;
    for (int i = 0; i < 24; ++i) {
        uploads.push_back(net::testing::raw_socket::connect(fixture.listen));
        uploads.back().send(fixture.events,
                            head("u" + std::to_string(i), "", 50'000) + std::string(15'000, 'x'));
    }
    fixture.events.run_until([] { return false; }, 100ms);
    auto caller = net::testing::raw_socket::connect(fixture.listen);
    caller.send(fixture.events,
                head("refused", "Expect: 100-continue\r\n", 60'000) + std::string(60'000, 'x'));
    (void)caller.receive_all(fixture.events);
    fixture.events.run_until([] { return false; }, 100ms);
    INFO(caller.received);
    CHECK(caller.received.find(" 503 ") != std::string::npos);
    CHECK(fixture.received[0].size() == 1);
}

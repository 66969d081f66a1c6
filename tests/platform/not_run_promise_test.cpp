#include "tests/platform/entry_with_servers.h"
#include "tests/support/raw_socket.h"

#include <thread>

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;

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

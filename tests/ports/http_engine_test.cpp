#include "samphiretray/ports/http_engine.h"

#include "tests/ports/fake_service.h"

#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::ports;
using namespace samphiretray::ports::testing;

namespace {

constexpr std::string_view idle_state =
    R"({"incarnation": "i1", "base_model": "m", "slots": 4, "batch": 8, "loaded": ["a@1", "b@2"], "running": 3})";

struct engine_fixture : fake_service {
    http_engine engine{*client, {address()}};
    std::optional<result<engine_state>> state;
    std::optional<result<std::string>> order_result;
};

struct recorded_call {
    int status = 0;
    std::string content_type;
    std::string incarnation;
    std::string body;
    std::optional<std::optional<error>> end;

    engine_call_events handlers() {
        return {[this](int code, std::string type, std::string engine_incarnation) {
                    status = code;
                    content_type = std::move(type);
                    incarnation = std::move(engine_incarnation);
                },
                [this](std::string_view bytes) { body += bytes; },
                [this](std::optional<error> failure) { end = std::move(failure); }};
    }
};

} // namespace

TEST_CASE("adapter version names are parsed back to the same version") {
    CHECK(rc::check("adapter version names", [](const std::string& adapter, const std::string& version) {
        RC_PRE(!adapter.empty() && !version.empty() && version.find('@') == std::string::npos);
        RC_ASSERT(parse_adapter_version(adapter + "@" + version) == (adapter_version{adapter, version}));
    }));
    CHECK_FALSE(parse_adapter_version("a@"));
    CHECK_FALSE(parse_adapter_version("@1"));
    CHECK_FALSE(parse_adapter_version("a"));
}

TEST_CASE("the engine state response is parsed") {
    engine_fixture fixture;
    fixture.queued_responses = {{200, {}, std::string{idle_state}}};
    fixture.engine.state(store(fixture.state));
    const auto& state = fixture.wait_for(fixture.state);
    REQUIRE(state);
    CHECK(state->incarnation == "i1");
    CHECK(state->max_batch_size == 8);
    CHECK(state->loaded_adapters == std::vector<adapter_version>{{"a", "1"}, {"b", "2"}});
}

TEST_CASE("a malformed engine state is a protocol error, not an engine without adapters") {
    engine_fixture fixture;
    std::string body{idle_state};
    body.replace(body.find("a@1"), 3, "a-1");
    fixture.queued_responses = {{200, {}, body}};
    fixture.engine.state(store(fixture.state));
    CHECK(fixture.wait_for(fixture.state).error().code == errc::protocol_error);
}

TEST_CASE("an order sends the adapter name and fencing number and returns the incarnation") {
    engine_fixture fixture;
    fixture.queued_responses = {{200, {{"X-Engine-Incarnation", "i1"}}, "{}"}};
    fixture.engine.load({{"a", "1"}, 5}, store(fixture.order_result));
    CHECK(*fixture.wait_for(fixture.order_result) == "i1");
    CHECK(fixture.requests[0].path == "/v1/load_lora_adapter");
    CHECK(nlohmann::json::parse(fixture.requests[0].body) ==
          nlohmann::json{{"lora_name", "a@1"}, {"fencing", 5}});
}

TEST_CASE("the HTTP status of an order is mapped to an error code") {
    const auto [status, code] = GENERATE(table<int, errc>({
        {409, errc::fenced},
        {507, errc::overloaded},
        {502, errc::load_failed},
        {404, errc::not_found},
        {503, errc::unavailable},
        {200, errc::protocol_error},
    }));
    CAPTURE(status);
    engine_fixture fixture;
    fixture.queued_responses = {{status, {}, "{}"}};
    fixture.engine.unload({{"a", "1"}, 5}, store(fixture.order_result));
    CHECK(fixture.wait_for(fixture.order_result).error().code == code);
    CHECK(fixture.requests[0].path == "/v1/unload_lora_adapter");
}

TEST_CASE("a call forwards its headers and streams the response") {
    engine_fixture fixture;
    recorded_call call;
    const auto exchange =
        fixture.engine.call({"/x?y=1", "text/plain", "body", 60s, "PATCH", "r1"}, call.handlers());
    REQUIRE(fixture.events.run_until([&] { return !fixture.pending_responses.empty(); }, hang_limit));
    const net::http_request& request = fixture.requests[0];
    CHECK(request.method == "PATCH");
    CHECK(request.path + "?" + request.query == "/x?y=1");
    CHECK(request.body == "body");
    CHECK(net::find_header(request.headers, "content-type") == "text/plain");
    CHECK(net::find_header(request.headers, "x-request-id") == "r1");
    CHECK(net::find_header(request.headers, "authorization").empty());
    const auto& response = fixture.pending_responses[0];
    response->start(200, {{"content-type", "text/event-stream"}, {"x-engine-incarnation", "i1"}});
    response->write("one");
    REQUIRE(fixture.events.run_until([&] { return call.body == "one"; }, hang_limit));
    CHECK(call.status == 200);
    CHECK(call.content_type == "text/event-stream");
    CHECK(call.incarnation == "i1");
    response->finish();
    CHECK_FALSE(fixture.wait_for(call.end));
    CHECK(exchange->may_have_been_sent());
}

TEST_CASE("a call whose connection closes in mid-response ends with an error") {
    engine_fixture fixture;
    recorded_call call;
    const auto exchange = fixture.engine.call({"/x", "", "", 60s}, call.handlers());
    REQUIRE(fixture.events.run_until([&] { return !fixture.pending_responses.empty(); }, hang_limit));
    fixture.pending_responses[0]->start(200, {});
    fixture.pending_responses[0]->write("part");
    fixture.pending_responses[0]->abort();
    REQUIRE(fixture.wait_for(call.end));
    CHECK((*call.end)->code == errc::connection_closed);
}

TEST_CASE("a cancelled call closes its connection to the engine") {
    engine_fixture fixture;
    recorded_call call;
    auto exchange = fixture.engine.call({"/x", "", "", 60s}, call.handlers());
    REQUIRE(fixture.events.run_until([&] { return !fixture.pending_responses.empty(); }, hang_limit));
    exchange.reset();
    CHECK(fixture.events.run_until([&] { return !fixture.pending_responses[0]->is_open(); }, hang_limit));
    CHECK_FALSE(call.end);
}

#include "samphiretray/net/http_client.h"

#include "standins/answer_reader.h"
#include "standins/answer_text.h"
#include "standins/engine_server.h"
#include "standins/kv_server.h"
#include "standins/order_service_server.h"
#include "standins/weight_store_server.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::standins;
using nlohmann::json;

namespace {

/// Limit of every wait; reached only if a test fails.
constexpr duration wait_limit = 30s;

/// A stand-in on a free port and a client for it.
class http_fixture {
public:
    net::loop events;

    net::address serve(net::http_handler handler) {
        net::http_server_options options;
        options.listen = {"127.0.0.1", 0};
        auto server = net::http_server::create(events, options, reject_invalid_json(std::move(handler)));
        REQUIRE(server);
        servers_.push_back(std::move(*server));
        return servers_.back()->local_address();
    }

    struct pending {
        std::optional<result<net::http_answer>> answer;
        std::unique_ptr<net::http_exchange> exchange;
    };

    std::shared_ptr<pending> start(const net::address& peer, const std::string& method,
                                   const std::string& path, const json& body = nullptr) {
        net::http_call call;
        call.peer = peer;
        call.method = method;
        call.target = path;
        call.body = body.is_null() ? "" : body.dump();
        call.timeout = wait_limit;
        auto waiting = std::make_shared<pending>();
        // The exchange belongs to `waiting`, so its callback must not own `waiting`.
        waiting->exchange =
            client_->fetch(std::move(call), [unowned = waiting.get()](result<net::http_answer> got) {
                unowned->answer = std::move(got);
            });
        return waiting;
    }

    result<net::http_answer> wait(const std::shared_ptr<pending>& waiting) {
        REQUIRE(events.run_until([&] { return waiting->answer.has_value(); }, wait_limit));
        return *waiting->answer;
    }

    /// Status and body of the response to one call; status 0 if there is none.
    std::pair<int, json> call(const net::address& peer, const std::string& method, const std::string& target,
                              const json& body = nullptr) {
        const auto answer = wait(start(peer, method, target, body));
        return answer ? std::pair{answer->status, json::parse(answer->body, nullptr, false)}
                      : std::pair{0, json{}};
    }

private:
    std::vector<std::unique_ptr<net::http_server>> servers_;
    std::unique_ptr<net::http_client> client_ = net::http_client::create(events);
};

json completion(const std::string& model, std::uint32_t tokens, bool stream) {
    return {{"model", model}, {"prompt", "p"}, {"max_tokens", tokens}, {"stream", stream}};
}

} // namespace

TEST_CASE_METHOD(http_fixture,
                 "the key-value stand-in implements reads, conditional writes, listing and watches") {
    kv_server server{events, {}, 1};
    const auto peer = serve(server.handler("luzon"));
    CHECK(call(peer, "GET", "/v1/keys/a%2Fb").first == 404);
    CHECK(call(peer, "PUT", "/v1/keys/a%2Fb", {{"value", "x"}, {"expected", 0}}).second["revision"] == 1);
    CHECK(call(peer, "PUT", "/v1/keys/a%2Fb", {{"value", "y"}, {"expected", 0}}).first == 409);
    CHECK(call(peer, "GET", "/v1/keys/a%2Fb").second == json{{"value", "x"}, {"revision", 1}});
    CHECK(call(peer, "GET", "/v1/keys?prefix=a%2F").second["keys"] == json{"a/b"});
    CHECK(call(peer, "PUT", "/v1/keys/big", {{"value", std::string(1'000'001, 'x')}}).first == 413);
    CHECK(call(peer, "PUT", "/v1/keys/bad", {{"value", 1}}).first == 400);

    const auto watch = start(peer, "GET", "/v1/keys/a%2Fb?after=1&wait_ms=20000");
    REQUIRE(events.run_until(
        [&] { return call(peer, "GET", "/admin/counters").second["pending_watches"] == 1; }, wait_limit));
    CHECK(call(peer, "DELETE", "/v1/keys/a%2Fb?expected=1").first == 200);
    CHECK(wait(watch)->status == 404);
}

// A write whose response is lost must still take effect, because tests of clients rely on that case.
TEST_CASE_METHOD(http_fixture,
                 "the key-value stand-in loses responses, cuts off listeners and refuses calls") {
    kv_server server{events, {}, 1};
    const auto luzon = serve(server.handler("luzon"));
    const auto visayas = serve(server.handler("visayas"));
    CHECK(call(luzon, "POST", "/admin/faults", {{"lose_next_writes", 1}}).first == 200);
    CHECK(call(luzon, "PUT", "/v1/keys/a", {{"value", "x"}}).first == 0);
    CHECK(call(luzon, "GET", "/v1/keys/a").second["value"] == "x");

    CHECK(call(luzon, "POST", "/admin/faults", {{"cut_listeners", {"luzon"}}}).first == 200);
    const auto cut = start(luzon, "GET", "/v1/keys/a");
    CHECK(call(visayas, "GET", "/v1/keys/a").first == 200);
    CHECK_FALSE(cut->answer);

    const auto watch = start(visayas, "GET", "/v1/keys/a?after=1&wait_ms=20000");
    REQUIRE(events.run_until(
        [&] { return call(visayas, "GET", "/admin/counters").second["pending_watches"] == 1; }, wait_limit));
    CHECK(call(visayas, "POST", "/admin/faults", {{"down", "refusing"}}).first == 200);
    CHECK(wait(watch)->status == 503);
}

TEST_CASE_METHOD(http_fixture, "the engine stand-in loads through the weight store and answers") {
    weight_store_server store{events, {.loads_per_second = 1}};
    const auto store_address = serve(store.handler());
    engine_server engine{events, {.slots = 1}, store_address};
    const auto peer = serve(engine.handler());
    CHECK(call(peer, "POST", "/v1/completions", completion("a@1", 4, false)).first == 404);
    CHECK(call(peer, "POST", "/v1/load_lora_adapter", {{"lora_name", "a@1"}, {"fencing", 1}}).first == 200);
    CHECK(call(peer, "POST", "/v1/load_lora_adapter", {{"lora_name", "b@1"}, {"fencing", 1}}).first == 507);
    const auto [status, body] = call(peer, "POST", "/v1/completions", completion("a@1", 4, false));
    CHECK(status == 200);
    CHECK(body["choices"][0]["text"] == answer_generator{"a@1", "p"}.text(4));

    const auto streamed = wait(start(peer, "POST", "/v1/completions", completion("a@1", 4, true)));
    REQUIRE(streamed);
    answer_reader reader;
    reader.on_head(streamed->status, streamed->headers);
    reader.on_data(streamed->body);
    CHECK(reader.is_done());
    CHECK(reader.streamed_text() == answer_generator{"a@1", "p"}.text(4));
    CHECK_FALSE(net::find_header(streamed->headers, "x-engine-incarnation").empty());
}

TEST_CASE_METHOD(http_fixture, "closing the connection cancels a completion") {
    engine_server engine{events, {.batch = {.step_base = 1h}}, {}};
    const auto peer = serve(engine.handler());
    auto running = start(peer, "POST", "/v1/completions", completion("base", 100, true));
    const auto counter = [&](const char* name) { return call(peer, "GET", "/admin/counters").second[name]; };
    REQUIRE(events.run_until([&] { return counter("running") == 1; }, wait_limit));
    running->exchange.reset();
    CHECK(events.run_until([&] { return counter("cancelled") == 1; }, wait_limit));
}

TEST_CASE_METHOD(http_fixture, "engine faults abort completions and fail loads") {
    engine_server engine{events, {}, {}};
    const auto peer = serve(engine.handler());
    CHECK(call(peer, "POST", "/admin/faults", {{"cut_next", 1}}).first == 200);
    CHECK(call(peer, "POST", "/v1/completions", completion("base", 4, true)).first == 0);
    CHECK(call(peer, "POST", "/v1/completions", completion("base", 4, true)).first == 200);
    CHECK(call(peer, "POST", "/admin/faults", {{"fail_loads", 1}}).first == 200);
    CHECK(call(peer, "POST", "/v1/load_lora_adapter", {{"lora_name", "a@1"}}).first == 502);
}

TEST_CASE_METHOD(http_fixture, "an order whose response is lost has run, and request headers are logged") {
    order_service_server service{events, "orders-1", {.order_time = 1ms}};
    const auto peer = serve(service.handler());
    CHECK(call(peer, "POST", "/admin/faults", {{"lose_next", 1}}).first == 200);
    CHECK(call(peer, "POST", "/orders", {{"order", "o1"}}).first == 0);
    CHECK(call(peer, "POST", "/orders", {{"order", "o2"}}).second["runs"] == 1);
    CHECK(call(peer, "GET", "/admin/orders").second == json{{"o1", 1}, {"o2", 1}});
    const json seen = call(peer, "GET", "/admin/seen").second["requests"];
    REQUIRE(seen.size() == 2);
    CHECK(seen[0]["headers"][0][0] == "host");
}

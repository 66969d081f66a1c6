#include "samphiretray/base/hash.h"
#include "samphiretray/config/configuration.h"
#include "samphiretray/entry/filters.h"

#include "tests/entry/recorded_response.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace samphiretray;
using tests::recorded_response;

namespace {

const std::string member_key = "key-of-the-members-0001";
const std::string other_key = "key-of-the-others-00002";

config::configuration sample() {
    config::configuration value;
    value.rules.organisations = {{"members", 100, 1000, true}, {"others", 100, 1000, false}};
    value.rules.services = {{"desk", config::service_kind::engine, "base", false, true},
                            {"advice", config::service_kind::engine, "base", true, true},
                            {"orders", config::service_kind::plain, "", false, false}};
    value.rules.keys = {{sha256_hex(member_key), "members", "m"}, {sha256_hex(other_key), "others", "o"}};
    value.inventory = {{"splint", "2", "members", "desk", false},
                       {"splint", "3", "members", "desk", true},
                       {"public", "1", "others", "advice", true}};
    return value;
}

struct fake_source {
    std::shared_ptr<const config::snapshot> current =
        std::make_shared<config::snapshot>(config::snapshot::build(1, sample()));
    control::contact_state contact = control::contact_state::fresh;

    [[nodiscard]] std::shared_ptr<const config::snapshot> configuration() const { return current; }
    [[nodiscard]] control::contact_state state() const { return contact; }
};

struct filter_fixture {
    fake_source source;
    std::shared_ptr<recorded_response> response = std::make_shared<recorded_response>();
    entry::request_pointer request;
    bool passed = false;

    void run(const std::string& key, const std::string& path, const std::string& body) {
        net::http_request http;
        http.method = "POST";
        http.path = path;
        http.body = body;
        if (!key.empty()) {
            http.headers = {{"Authorization", "Bearer " + key}, {"Cookie", key}};
        }
        request = std::make_shared<entry::request_context>(1, http, response, time_point{});
        const entry::authenticate_filter<fake_source> authenticate{source};
        const entry::route_filter<fake_source> route{source};
        authenticate.handle(request, [&] { route.handle(request, [&] { passed = true; }); });
    }

    void complete(const std::string& key, const std::string& model) {
        run(key, "/v1/completions", R"({"prompt":"x","model":")" + model + "\"}");
    }
};

} // namespace

TEST_CASE("route_filter: resolves the version that a request names, or else the current one") {
    filter_fixture named;
    named.complete(member_key, "splint@2");
    CHECK(named.passed);
    CHECK(named.request->adapter.version == "2");
    filter_fixture current;
    current.complete(member_key, "splint");
    CHECK(current.passed);
    CHECK(current.request->adapter.version == "3");
    CHECK(current.request->priority);
}

// Guards against running an adapter of one organisation for another one.
TEST_CASE("route_filter: refuses adapters of other organisations") {
    filter_fixture foreign;
    foreign.complete(other_key, "splint@3");
    CHECK_FALSE(foreign.passed);
    CHECK(foreign.response->status == 403);
}

TEST_CASE("authenticate_filter: requests without a valid key get 401 and the outcome not_run") {
    filter_fixture unknown;
    unknown.complete("some-key-never-granted", "splint");
    CHECK(unknown.response->status == 401);
    CHECK(net::find_header(unknown.response->headers, "x-outcome") == "not_run");
    filter_fixture absent;
    absent.complete("", "splint");
    CHECK(absent.response->status == 401);
    // A caller without a key must not learn which adapters exist.
    filter_fixture probe;
    probe.complete("", "no-such-adapter");
    CHECK(probe.response->status == 401);
}

TEST_CASE("route_filter: an open service requires no key") {
    filter_fixture open;
    open.complete("", "public");
    CHECK(open.passed);
    CHECK(open.request->organisation == "others");
}

// Guards against accepting a key that may have been revoked during a network partition.
TEST_CASE("authenticate_filter: requests with a key are refused while cut off, but served while the service "
          "is down") {
    filter_fixture cut_off;
    cut_off.source.contact = control::contact_state::cut_off;
    cut_off.complete(member_key, "splint");
    CHECK(cut_off.response->status == 503);
    filter_fixture outage;
    outage.source.contact = control::contact_state::service_down;
    outage.complete(member_key, "splint");
    CHECK(outage.passed);
}

// Guards against forwarding a key to an endpoint.
TEST_CASE(
    "authenticate_filter: removes the key from the headers, and refuses it anywhere else in a request") {
    filter_fixture clean;
    clean.complete(member_key, "splint");
    CHECK(clean.request->http.headers.empty());
    filter_fixture in_body;
    in_body.run(member_key, "/services/orders/x", "{\"note\":\"" + member_key + "\"}");
    CHECK(in_body.response->status == 400);
    CHECK(in_body.response->body.find(member_key) == std::string::npos);
    CHECK(entry::without_key_parameters("a=1&api_key=secret&b=2&Token=z") == "a=1&b=2");
}

TEST_CASE("route_filter: resolves a plain service with its path and idempotency") {
    filter_fixture order;
    order.run(member_key, "/services/orders/new/one", "{}");
    CHECK(order.passed);
    CHECK(order.request->target == "/new/one");
    CHECK_FALSE(order.request->idempotent);
    CHECK(order.request->token_bound == 0);
    filter_fixture engine_as_plain;
    engine_as_plain.run(member_key, "/services/desk/x", "{}");
    CHECK(engine_as_plain.response->status == 404);
    filter_fixture elsewhere;
    elsewhere.run(member_key, "/nowhere", "{}");
    CHECK(elsewhere.response->status == 404);
}

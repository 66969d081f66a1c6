#include "samphiretray/base/hash.h"

#include "platform/decode.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace samphiretray;
using namespace samphiretray::platform;

namespace {

constexpr const char* configuration_text = R"({"version":7,"unknown":{"x":1},
  "routes":[
    {"name":"r1","hostname":"a.example","prefix":"/x/","kind":"streaming","timeoutMs":8000,"targetLatencyMs":1000,
     "priority":1,"service":"engines","maxAttempts":2,"public":false,"sticky":true,"resumable":true,"targetGapMs":300},
    {"name":"r2","hostname":"a.example","prefix":"/y/","kind":"unsafe","timeoutMs":800,"targetLatencyMs":300,
     "priority":2,"weightedServices":[{"service":"orders","weight":90},{"service":"new","weight":10}],"maxAttempts":1},
    {"name":"r3","hostname":"a.example","prefix":"/z/","kind":"something-new","service":"orders","public":true}],
  "services":[
    {"name":"engines","engine":{"slots":96,"kvCapacityTokens":191783,"adapterSlots":8,
       "models":[{"name":"m0","weightsMb":34300.0}]}},
    {"name":"orders","healthPath":"/healthz","maxConnections":110}],
  "limits":{"maxBodyBytes":4194304,"idleTimeoutMs":15000},
  "tenants":[{"name":"coop","apiKeys":["k1","k2"],"priority":1,"unit":"token_metered","plainTokens":200,
              "ratePerS":83540,"burst":90000}]})";

std::string replaced(std::string text, std::string_view from, std::string_view to) {
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a configuration is decoded into routes, services and organisations") {
    const auto state = decode_configuration(configuration_text);
    REQUIRE(state);
    CHECK(state->version == 7);
    REQUIRE(state->routes.size() == 3);
    CHECK(state->routes[0].kind == gateway::call_kind::streaming);
    CHECK(state->routes[0].timeout == 8s);
    CHECK(state->routes[0].max_attempts == 2);
    CHECK(state->routes[0].resumable);
    // The maximum of 2 s, four times targetLatencyMs and eight times targetGapMs.
    CHECK(state->routes[0].silence_timeout == 4s);
    CHECK(state->routes[1].kind == gateway::call_kind::at_most_once);
    CHECK(state->routes[1].services[1].service == "new");
    CHECK(state->routes[1].services[1].weight == 10);
    CHECK(state->services[0].engine->kv_tokens == 191783);
    CHECK(state->services[0].engine->models == std::vector<std::string>{"m0"});
    CHECK_FALSE(state->services[1].engine);
    CHECK(state->organisations[0].burst == 90000);
}

TEST_CASE("a route of unknown kind is decoded as at-most-once") {
    CHECK(decode_configuration(configuration_text)->routes[2].kind == gateway::call_kind::at_most_once);
}

// Guards against a configuration without its last organisation that opened all routes to everybody.
TEST_CASE("a configuration lists organisations if the field is there, even if it names none") {
    CHECK(decode_configuration(configuration_text)->lists_organisations);
    CHECK(decode_configuration(R"({"version":1,"tenants":[]})")->lists_organisations);
    CHECK(decode_configuration(R"({"version":1,"tenants":null})")->lists_organisations);
    CHECK_FALSE(decode_configuration(R"({"version":1})")->lists_organisations);
}

TEST_CASE("API keys are stored only as digests") {
    const auto state = decode_configuration(configuration_text);
    CHECK(state->organisations[0].key_digests == std::vector{sha256_hex("k1"), sha256_hex("k2")});
}

TEST_CASE("a configuration with one invalid field is rejected with an error that names the field") {
    const auto check = [](std::string_view from, std::string_view to, std::string_view field) {
        const auto state = decode_configuration(replaced(configuration_text, from, to));
        REQUIRE_FALSE(state);
        CHECK(state.error().code == errc::protocol_error);
        CHECK(state.error().detail.find(field) != std::string::npos);
    };
    check(R"("timeoutMs":8000)", R"("timeoutMs":"8000")", "routes[0].timeoutMs");
    check(R"("version":7)", R"("version":-7)", "version");
    check(R"("service":"engines",)", "", "routes[0].service");
    check(R"("apiKeys":["k1","k2"])", R"("apiKeys":["k1",2])", "apiKeys");
    check(R"("tenants":[)", R"("tenants":[7,)", "tenants[0]");
    CHECK_FALSE(decode_configuration("{"));
    CHECK_FALSE(decode_configuration("[]"));
}

TEST_CASE("a number that is too large for its field does not refuse a whole configuration") {
    // Guards against processes that are never ready after a start (FAULT): one field refused all routes.
    const auto decode_with = [](std::string_view from, std::string_view to) {
        INFO(to);
        const auto state = decode_configuration(replaced(configuration_text, from, to));
        REQUIRE(state);
        CHECK(state->routes.size() == decode_configuration(configuration_text)->routes.size());
        return *state;
    };
    for (const std::string_view version : {R"("version":18446744073709551616)", R"("version":1e300)"}) {
        CHECK(decode_with(R"("version":7)", version).version == 0);
    }
    CHECK(decode_with(R"("version":7)", R"("version":1e16)").version == 10'000'000'000'000'000);
    CHECK(decode_with(R"("version":7)", R"("version":18446744073709551615)").version ==
          std::numeric_limits<std::uint64_t>::max());
    CHECK(decode_with(R"("timeoutMs":8000)", R"("timeoutMs":1e12)").routes[0].timeout == 1'000'000s);
    for (const std::string_view priority :
         {R"("priority":4294967296,"service")", R"("priority":1e30,"service")"}) {
        CHECK(decode_with(R"("priority":1,"service")", priority).routes[0].priority ==
              std::numeric_limits<std::uint32_t>::max());
    }
    CHECK(decode_with(R"("adapterSlots":8)", R"("adapterSlots":1e9)").services[0].engine->adapter_slots ==
          4096);
    CHECK(decode_with(R"("maxBodyBytes":4194304)", R"("maxBodyBytes":1e300)").limits.max_body_bytes ==
          std::size_t{1} << 40U);
}

TEST_CASE("a long software version of a server stands for itself, in a form that fits a header") {
    // Guards against a version of megabytes that is kept for each stream and sent with each request.
    const auto version_of = [](std::size_t length) {
        return decode_endpoint("i-1", R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":6,)"
                                      R"("state":"ready","version":")" +
                                          std::string(length, 'v') + R"("})")
            ->software_version;
    };
    CHECK(version_of(128).size() == 128);
    CHECK(version_of(50'000).size() == 64);
    CHECK(version_of(50'000) == version_of(50'000));
    CHECK(version_of(50'000) != version_of(50'001));
}

TEST_CASE("a server record is decoded into an endpoint with its adapter versions") {
    const auto endpoint = decode_endpoint(
        "i-1", R"({"service":"engines","address":"10.0.0.9:8080","zone":"north-a","version":"v1","slots":96,
                   "state":"ready","coldMs":0,"seq":4,"born":1790000000000,
                   "models":[{"name":"m0","version":1,"adapters":["a1@1","a7@3"]}]})");
    REQUIRE(endpoint);
    CHECK(endpoint->id == "i-1");
    CHECK(net::to_string(endpoint->address) == "10.0.0.9:8080");
    CHECK(endpoint->started_at == 1790000000000);
    CHECK_FALSE(endpoint->draining);
    CHECK(endpoint->adapters == std::vector<ports::adapter_version>{{"m0/a1", "1"}, {"m0/a7", "3"}});
}

TEST_CASE("a malformed server record, as of another writer, is rejected") {
    const std::string good =
        R"({"service":"orders","address":"10.0.0.9:80","zone":"a","slots":6,"state":"draining","seq":1})";
    REQUIRE(decode_endpoint("i-1", good));
    CHECK(decode_endpoint("i-1", good)->draining);
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{R"("draining")", R"("asleep")"},
                                                          {R"("10.0.0.9:80")", R"("somewhere:80")"},
                                                          {R"("slots":6)", R"("slots":"6")"},
                                                          {R"("service":"orders",)", ""},
                                                          {R"("zone":"a")", R"("zone":null)"}}) {
        CHECK_FALSE(decode_endpoint("i-1", replaced(good, from, to)));
    }
    CHECK_FALSE(decode_endpoint("i-1", "\xff\xfe"));
    CHECK_FALSE(decode_endpoint("i-1", "7"));
}

TEST_CASE("an engine report distinguishes loaded adapters from loading ones") {
    const auto report = decode_report(
        R"({"stage":"both","models":[{"name":"m0","version":1,"adapters":["a1@2"]}],"busy":false,"seq":2,"queued":1,
            "running":12,"kvUsed":41000,"kvTotal":90000,"handles":0,"born":5,"pending":["m0/a9@1"]})");
    REQUIRE(report);
    CHECK(report->order_sequence == 2);
    CHECK(report->models == std::vector<std::string>{"m0"});
    CHECK(report->loaded == std::vector<ports::adapter_version>{{"m0/a1", "2"}});
    CHECK(report->loading == std::vector<ports::adapter_version>{{"m0/a9", "1"}});
    CHECK_FALSE(decode_report(R"({"models":[]})"));
}

TEST_CASE("a release is decoded, with an empty adapter if it is of a whole model") {
    const auto release = decode_release(R"({"model":"m0","adapter":"a3","version":4})");
    REQUIRE(release);
    CHECK(release->adapter == "m0/a3");
    CHECK(release->version == 4);
    CHECK(decode_release(R"({"model":"m0","version":4})")->adapter.empty());
    CHECK_FALSE(decode_release(R"({"model":"m0","adapter":"a3","version":"4"})"));
}

// Guards against processes that end, or stop following the list, because of one odd record of another writer.
TEST_CASE("odd records of servers are refused, and none ends the process") {
    const auto record = [](const std::string& fields) {
        return R"({"service":"s","zone":"z","state":"ready",)" + fields + "}";
    };
    const std::string valid = R"("address":"10.0.0.1:80","slots":4,"born":7,"seq":3)";
    REQUIRE(decode_endpoint("i-1", record(valid)));
    const std::string digits(400, '9');
    const std::string deep = std::string(400'000, '[') + std::string(400'000, ']');
    std::string deep_object;
    for (int i = 0; i < 100'000; ++i) {
        deep_object += R"({"a":)";
    }
    for (const std::string& odd : {
             record(R"("address":"10.0.0.1:80","slots":)" + digits),
             record(R"("address":"10.0.0.1:80","slots":1e300)"),
             record(R"("address":"10.0.0.1:80","slots":-4)"),
             record(R"("address":"10.0.0.1:80","slots":4,"born":1e19)"),
             record(R"("address":"10.0.0.1:80","slots":4,"born":18446744073709551616)"),
             record(R"("address":"10.0.0.1:80","slots":4,"seq":)" + digits),
             record(R"("address":"10.0.0.1:99999","slots":4)"),
             record(R"("address":"10.0.0.1:-1","slots":4)"),
             record(R"("address":"10.0.0.1:)" + digits + R"(","slots":4)"),
             record(R"("address":[],"slots":4)"),
             record(R"("address":"10.0.0.1:80","slots":)" + deep),
             record(R"("address":"10.0.0.1:80","slots":4,"models":)" + deep),
             deep,
             deep_object,
             std::string{"\xff\xfe{}"},
             std::string{},
             std::string{"null"},
         }) {
        CHECK_FALSE(decode_endpoint("i-1", odd));
    }
    CHECK(decode_endpoint("i-1", record(valid + R"(,"remarks":)" + deep)));
}

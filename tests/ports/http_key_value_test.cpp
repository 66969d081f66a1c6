#include "samphiretray/ports/http_key_value.h"

#include "tests/ports/fake_service.h"

#include <nlohmann/json.hpp>

using namespace samphiretray;
using namespace samphiretray::ports;
using namespace samphiretray::ports::testing;

namespace {

struct key_value_fixture : fake_service {
    http_key_value_service service{*client, {address()}};
    std::optional<result<versioned_value>> value;
    std::optional<result<std::uint64_t>> revision;

    result<versioned_value>& read(const std::string& key) {
        service.read(key, store(value));
        return wait_for(value);
    }
    result<std::uint64_t>& swap(const swap_request& request) {
        service.compare_and_swap(request, store(revision));
        return wait_for(revision);
    }
};

} // namespace

TEST_CASE("a value is read with its revision, and its key is percent-encoded") {
    key_value_fixture fixture;
    fixture.queued_responses = {{200, {}, R"({"value": "a\nb", "revision": 7})"}};
    const auto& read = fixture.read("config/a b");
    REQUIRE(read);
    CHECK(read->value == "a\nb");
    CHECK(read->revision == 7);
    CHECK(fixture.requests[0].method == "GET");
    CHECK(fixture.requests[0].path == "/v1/keys/config%2Fa%20b");
}

TEST_CASE("an absent key has revision 0") {
    key_value_fixture fixture;
    fixture.queued_responses = {{404, {}, "{}"}};
    const auto& read = fixture.read("a");
    REQUIRE(read);
    CHECK(read->revision == 0);
}

TEST_CASE("a write sends the value, expected revision and lease") {
    key_value_fixture fixture;
    fixture.queued_responses = {{200, {}, R"({"revision": 8})"}};
    const auto& written = fixture.swap({"a", "\"v\"", 7, 10s});
    REQUIRE(written);
    CHECK(*written == 8);
    CHECK(fixture.requests[0].method == "PUT");
    const auto body = nlohmann::json::parse(fixture.requests[0].body);
    CHECK(body == nlohmann::json{{"value", "\"v\""}, {"expected", 7}, {"lease_ms", 10'000}});
}

TEST_CASE("the HTTP status of a write is mapped to conflict, rejected or unknown outcome") {
    const auto [status, code] = GENERATE(table<int, errc>({
        {409, errc::conflict},
        {429, errc::unavailable},
        {503, errc::unavailable},
        {413, errc::unavailable},
        {400, errc::unavailable},
        {500, errc::connection_closed},
        {504, errc::connection_closed},
    }));
    CAPTURE(status);
    key_value_fixture fixture;
    fixture.queued_responses = {{status, {}, R"({"revision": 9})"}};
    const auto& written = fixture.swap({"a", "v", 7, std::nullopt});
    REQUIRE_FALSE(written);
    CHECK(written.error().code == code);
    CHECK(written.error().peer == to_string(fixture.address()));
}

TEST_CASE("a write whose response is lost or malformed has an unknown outcome") {
    const net::fetched_response answer = GENERATE(
        net::fetched_response{0, {}, ""}, net::fetched_response{200, {}, "{"},
        net::fetched_response{200, {}, "[]"}, net::fetched_response{200, {}, R"({"revision": "8"})"});
    key_value_fixture fixture;
    fixture.queued_responses = {answer};
    const auto& written = fixture.swap({"a", "v", 7, std::nullopt});
    REQUIRE_FALSE(written);
    CHECK(written.error().code == errc::connection_closed);
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE("a lost response on a reused connection is not reported as a failed connection") {
    key_value_fixture fixture;
    fixture.queued_responses = {{200, {}, R"({"revision": 8})"}, {0, {}, ""}};
    REQUIRE(fixture.swap({"a", "v", 7, std::nullopt}));
    fixture.revision.reset();
    const auto& written = fixture.swap({"a", "v", 8, std::nullopt});
    REQUIRE_FALSE(written);
    CHECK(written.error().code == errc::connection_closed);
    CHECK(fixture.requests.size() == 2);
}

TEST_CASE("a write without a response times out") {
    key_value_fixture fixture;
    http_key_value_service with_short_timeout{*fixture.client, {fixture.address(), 20ms}};
    with_short_timeout.compare_and_swap({"a", "v", 7, std::nullopt}, store(fixture.revision));
    const auto& written = fixture.wait_for(fixture.revision);
    REQUIRE_FALSE(written);
    CHECK(written.error().code == errc::timeout);
}

TEST_CASE("a refused connection means that the write was not sent") {
    key_value_fixture fixture;
    http_key_value_service unreachable{*fixture.client, {fixture.closed_address()}};
    unreachable.compare_and_swap({"a", "v", 7, std::nullopt}, store(fixture.revision));
    const auto& written = fixture.wait_for(fixture.revision);
    REQUIRE_FALSE(written);
    CHECK(written.error().code == errc::connection_failed);
}

TEST_CASE("a watch waits for a change after a revision, beyond the usual call timeout") {
    key_value_fixture fixture;
    http_key_value_service with_short_timeout{*fixture.client, {fixture.address(), 1ms}};
    with_short_timeout.watch("a", 7, 30s, store(fixture.value));
    REQUIRE(fixture.events.run_until([&] { return !fixture.pending_responses.empty(); }, hang_limit));
    CHECK(fixture.requests[0].query == "after=7&wait_ms=30000");
    fixture.events.run_until([] { return false; }, 20ms);
    fixture.pending_responses[0]->send(200, {}, R"({"value": "v", "revision": 8})");
    CHECK(fixture.wait_for(fixture.value)->revision == 8);
}

TEST_CASE("destroying the client cancels its calls without running completions") {
    key_value_fixture fixture;
    {
        http_key_value_service short_lived{*fixture.client, {fixture.address()}};
        short_lived.read("a", store(fixture.value));
    }
    fixture.events.run_until([] { return false; }, 10ms);
    CHECK_FALSE(fixture.value);
}

#include "samphiretray/base/base64.h"

#include "platform/store.h"
#include "tests/ports/fake_service.h"

#include <nlohmann/json.hpp>

using namespace samphiretray;
using namespace samphiretray::platform;
using ports::testing::fake_service;
using ports::testing::store;

namespace {

struct store_fixture : fake_service {
    metadata_store service{*client, {.service = address(), .timeout = 200ms}};
};

/// Lists `op/` twice; both calls fail.
void list_in_vain(store_fixture& fixture) {
    for (int failed = 0; failed < 2; ++failed) {
        std::optional<result<ports::store_listing>> listing;
        fixture.service.list("op/", store(listing));
        CHECK_FALSE(fixture.wait_for(listing));
    }
}

net::fetched_response answer_with(int status, std::string body) {
    return {status, {{"content-type", "application/json"}}, std::move(body)};
}

} // namespace

TEST_CASE("a listing combines all pages and has the revision of the first page") {
    store_fixture fixture;
    fixture.queued_responses = {
        answer_with(200, R"({"items":[{"key":"op/a","value":"eA==","revision":3}],"hasMore":true,"at":10})"),
        answer_with(200, R"({"items":[{"key":"op/b","value":"","revision":4}],"hasMore":false,"at":12})")};
    std::optional<result<ports::store_listing>> listing;
    fixture.service.list("op/", store(listing));
    const auto& done = fixture.wait_for(listing);
    REQUIRE(done);
    CHECK(done->revision == 10);
    REQUIRE(done->items.size() == 2);
    CHECK(done->items[0].value == "x");
    CHECK(done->items[1].key == "op/b");
    CHECK(net::find_query_parameter(fixture.requests[1].query, "after") == "op/a");
    CHECK(net::find_query_parameter(fixture.requests[1].query, "prefix") == "op/");
}

TEST_CASE("a listing goes on with the page that could not be read") {
    // Guards against entries that are never ready (FAULT): each failed page made them read all pages again.
    store_fixture fixture;
    fixture.queued_responses = {
        answer_with(200, R"({"items":[{"key":"op/a","value":"eA==","revision":3}],"hasMore":true,"at":10})"),
        answer_with(503, "{}"), answer_with(503, "{}"),
        answer_with(200, R"({"items":[{"key":"op/b","value":"","revision":4}],"hasMore":false,"at":12})"),
        answer_with(200, R"({"items":[],"hasMore":false,"at":13})")};
    list_in_vain(fixture);
    std::optional<result<ports::store_listing>> listing;
    fixture.service.list("op/", store(listing));
    const auto& done = fixture.wait_for(listing);
    REQUIRE(done);
    CHECK(done->revision == 10);
    CHECK(done->items.size() == 2);
    REQUIRE(fixture.requests.size() == 4);
    CHECK(net::find_query_parameter(fixture.requests[3].query, "after") == "op/a");
    // The next listing begins anew.
    listing.reset();
    fixture.service.list("op/", store(listing));
    REQUIRE(fixture.wait_for(listing));
    CHECK(net::find_query_parameter(fixture.requests[4].query, "after").empty());
}

TEST_CASE("a listing does not go on in a store that has been restored meanwhile") {
    // Guards against keys of two eras in one listing.
    store_fixture fixture;
    const auto with_era = [](net::fetched_response response, const std::string& era) {
        response.headers.push_back({"store-era", era});
        return response;
    };
    const auto first =
        answer_with(200, R"({"items":[{"key":"op/a","value":"eA==","revision":3}],"hasMore":true,"at":10})");
    const auto last = answer_with(200, R"({"items":[],"hasMore":false,"at":12})");
    fixture.queued_responses = {with_era(first, "1"), answer_with(503, "{}"), with_era(last, "2"),
                                with_era(last, "2")};
    list_in_vain(fixture);
    std::optional<result<ports::store_listing>> listing;
    fixture.service.list("op/", store(listing));
    const auto& done = fixture.wait_for(listing);
    REQUIRE(done);
    CHECK(done->era == 2);
    CHECK(done->items.empty());
}

TEST_CASE("records of servers that are far too large are not kept, and large configurations are") {
    // Guards against processes that end for memory, since another writer puts megabytes under `servers/`.
    store_fixture fixture;
    const std::string large = to_base64(std::string(200'000, 'v'));
    const auto item = [&](const std::string& key) {
        return R"({"key":")" + key + R"(","value":")" + large + R"(","revision":3})";
    };
    fixture.queued_responses = {answer_with(200, R"({"items":[)" + item("servers/h1") + "," +
                                                     item("op/config") + R"(],"hasMore":false,"at":10})"),
                                answer_with(200, R"({"events":[)" + item("servers/h1") + R"(],"at":11})")};
    std::optional<result<ports::store_listing>> listing;
    fixture.service.list("", store(listing));
    REQUIRE(fixture.wait_for(listing));
    CHECK((*listing)->items[0].value.empty());
    CHECK((*listing)->items[1].value.size() == 200'000);
    std::optional<result<ports::store_changes>> changes;
    fixture.service.watch("servers/", 4, 50ms, store(changes));
    REQUIRE(fixture.wait_for(changes));
    CHECK((*changes)->changes[0].value == "");
}

TEST_CASE("a watch reports writes and removals") {
    store_fixture fixture;
    fixture.queued_responses = {answer_with(
        200,
        R"({"events":[{"key":"op/a","value":"eHk=","revision":5},{"key":"op/b","revision":6,"removed":true}],"at":6})")};
    std::optional<result<ports::store_changes>> changes;
    fixture.service.watch("op/", 4, 50ms, store(changes));
    const auto& done = fixture.wait_for(changes);
    REQUIRE(done);
    CHECK(done->revision == 6);
    CHECK(done->changes[0].value == "xy");
    CHECK_FALSE(done->changes[1].value);
    CHECK(net::find_query_parameter(fixture.requests[0].query, "after") == "4");
    CHECK(net::find_query_parameter(fixture.requests[0].query, "waitMs") == "50");
}

TEST_CASE("HTTP statuses of the store are mapped to error codes") {
    const auto outcome_of = [](int status) {
        store_fixture fixture;
        fixture.queued_responses = {answer_with(status, "{}")};
        std::optional<result<ports::store_changes>> changes;
        fixture.service.watch("op/", 4, 1ms, store(changes));
        return fixture.wait_for(changes).error().code;
    };
    CHECK(outcome_of(410) == errc::stale_revision);
    CHECK(outcome_of(429) == errc::unavailable);
    CHECK(outcome_of(503) == errc::unavailable);
    CHECK(outcome_of(500) == errc::connection_closed);
    CHECK(outcome_of(200) == errc::connection_closed);
}

TEST_CASE("a watch times out soon after its wait if the store does not respond") {
    // A connection can be lost without notice, in which case no response would ever arrive.
    store_fixture fixture;
    std::optional<result<ports::store_changes>> changes;
    const time_point begun = fixture.events.now();
    fixture.service.watch("op/", 4, 100ms, store(changes));
    CHECK(fixture.wait_for(changes).error().code == errc::timeout);
    CHECK(fixture.events.now() - begun < 5s);
}

TEST_CASE("a write sends its lease and a base64 value, and returns the revision") {
    store_fixture fixture;
    fixture.queued_responses = {answer_with(200, R"({"revision":77})"), answer_with(404, "{}")};
    std::optional<result<std::uint64_t>> first;
    fixture.service.put("entries/e1", "10.0.0.1:80", 9, store(first));
    CHECK(*fixture.wait_for(first) == 77);
    const auto body = nlohmann::json::parse(fixture.requests[0].body);
    CHECK(body["puts"][0]["value"] == "MTAuMC4wLjE6ODA=");
    CHECK(body["puts"][0]["lease"] == 9);
    CHECK(body["precondition"].empty());
    std::optional<result<std::uint64_t>> second;
    fixture.service.put("entries/e1", "x", 9, store(second));
    CHECK(fixture.wait_for(second).error().code == errc::not_found);
}

TEST_CASE("a write without a response has an unknown outcome") {
    store_fixture fixture;
    fixture.queued_responses = {answer_with(0, "")};
    std::optional<result<std::uint64_t>> written;
    fixture.service.put("entries/e1", "x", 0, store(written));
    CHECK(fixture.wait_for(written).error().code == errc::connection_closed);
}

TEST_CASE("listings and watches have the era that the store names, which the store keeps in mind") {
    store_fixture fixture;
    const auto of_era = [](const char* era, std::string body) {
        net::fetched_response made = answer_with(200, std::move(body));
        made.headers.push_back({"Store-Era", era});
        return made;
    };
    fixture.queued_responses = {of_era("3", R"({"items":[],"hasMore":false,"at":10})"),
                                of_era("4", R"({"events":[],"at":12})"),
                                of_era("4", R"({"items":[{"key":"a","value":""}],"hasMore":true,"at":10})"),
                                of_era("5", R"({"items":[],"hasMore":false,"at":9})")};
    std::optional<result<ports::store_listing>> listing;
    fixture.service.list("op/", store(listing));
    CHECK(fixture.wait_for(listing)->era == 3);
    std::optional<result<ports::store_changes>> changes;
    fixture.service.watch("op/", 4, 50ms, store(changes));
    CHECK(fixture.wait_for(changes)->era == 4);
    CHECK(fixture.service.era() == 4);
    std::optional<result<ports::store_listing>> mixed;
    fixture.service.list("op/", store(mixed));
    CHECK_FALSE(fixture.wait_for(mixed));
    CHECK(fixture.service.era() == 5);
}

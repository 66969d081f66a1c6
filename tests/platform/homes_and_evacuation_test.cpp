#include "tests/platform/entry_with_servers.h"

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;

namespace {

/// The entry and its first server are in the north, the second server is in the south.
struct two_regions : entry_with_servers {
    void apply(std::uint64_t version, std::vector<std::string> route_homes,
               std::vector<std::string> organisation_homes = {}) {
        auto state = make_state(version);
        for (gateway::route& each : state.routes) {
            each.allowed_regions = route_homes;
        }
        state.organisations[0].allowed_regions = std::move(organisation_homes);
        entry->apply(std::move(state));
        register_server(0);
        register_server(1);
        entry->set_endpoints_complete();
    }
};

} // namespace

// Guards against the body of a request that reaches a region which is not among its homes.
TEST_CASE("requests go only to servers in their homes, and are refused at once where there are none") {
    two_regions fixture;
    SECTION("the route's") {
        fixture.apply(3, {"south"});
        CHECK(status_of(fixture.send_and_wait("/s/1")) == 200);
        CHECK(fixture.received[0].empty());
    }
    SECTION("the organisation's") {
        fixture.apply(3, {"north", "south"}, {"south"});
        CHECK(status_of(fixture.send_and_wait("/u/1")) == 200);
        CHECK(fixture.received[0].empty());
    }
    SECTION("none") {
        fixture.apply(3, {"north"}, {"south"});
        CHECK(status_of(fixture.send_and_wait("/s/1")) == 503);
        CHECK(fixture.received_count() == 0);
    }
}

// Guards against a retry or a resumed stream that leaves the homes because the only server in them has
// failed.
TEST_CASE("a failed request is not sent again outside its homes") {
    two_regions fixture;
    fixture.apply(3, {"south"});
    fixture.responders[1] = [](const auto&, const auto& response) { response->abort(); };
    CHECK(status_of(fixture.send_and_wait("/s/1")) == 502);
    fixture.responders[1] = [](const auto& request, const auto& response) {
        response->start(200, signed_headers(request));
        response->write("id: 1\ndata: a\n\nid: 2\nda");
        response->abort();
    };
    CHECK_FALSE(fixture.send_and_wait("/r/1"));
    CHECK(fixture.received[0].empty());
}

// Guards against a request that is sent again under homes that have been withdrawn meanwhile.
TEST_CASE("a request that is in flight when its homes change is sent again only in the new ones") {
    two_regions fixture;
    fixture.apply(3, {});
    fixture.responders[0] = [&](const auto&, const auto& response) {
        fixture.apply(4, {"north"});
        response->abort();
    };
    CHECK(status_of(fixture.send_and_wait("/s/1")) == 502);
    CHECK(fixture.received[1].empty());
}

// Guards against requests, retries and resumed streams that reach a data centre after its evacuation.
TEST_CASE("an evacuated data centre gets nothing until the order is taken back") {
    two_regions fixture;
    fixture.apply(3, {});
    fixture.entry->begin_evacuation("north-a");
    for (int i = 0; i < 5; ++i) {
        CHECK(status_of(fixture.send_and_wait("/s/1")) == 200);
    }
    fixture.responders[1] = [](const auto&, const auto& response) { response->abort(); };
    CHECK(status_of(fixture.send_and_wait("/s/1")) == 502);
    CHECK(fixture.received[0].empty());
    fixture.entry->begin_evacuation("south-a");
    CHECK(status_of(fixture.send_and_wait("/s/1")) == 503);
    fixture.entry->end_evacuation("north-a", false);
    CHECK(status_of(fixture.send_and_wait("/s/1")) == 200);
    CHECK(fixture.received[0].size() == 1);
}

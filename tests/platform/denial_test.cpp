#include "tests/fleet/small_fleet.h"
#include "tests/platform/entry_with_servers.h"

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;

TEST_CASE("an entry denies keys and routes unless it has lost the store and all peers") {
    // Guards against a route or key that was added, and is refused for good as an older configuration says.
    using gateway::may_deny;
    CHECK(may_deny({0ms, 5, 0}));
    CHECK(may_deny({10min, 0, 0}));
    CHECK(may_deny({10min, 5, 1}));
    CHECK(may_deny({3s, 5, 0}));
    CHECK_FALSE(may_deny({3001ms, 5, 0}));
}

TEST_CASE("a cut-off entry sends callers of an unknown route or key to another entry") {
    // Guards against a 404 or 401 of an entry that knows that its configuration may be outdated.
    entry_with_servers fixture;
    memory_store store{fixture.events};
    store.values["entries/entry-2"] = net::to_string(net::testing::unused_address()) + " north-a";
    store.changes.emplace_back(++store.revision, "entries/entry-2");
    gateway::gateway_settings settings;
    settings.node.vm = "entry-1";
    settings.node.data_centre = "north-a";
    settings.listen = any_port;
    settings.ready_listen = any_port;
    settings.control_listen = any_port;
    gateway::entry_gateway<request_binding, memory_store> entry{fixture.events, settings, store};
    REQUIRE(entry.start());
    entry.apply(entry_with_servers::make_state(3));
    entry.set_endpoints_complete();
    fixture.listen = entry.listen_address();
    duration age = 0ms;
    entry.set_configuration_age([&age] { return age; });
    // Until the peer that does not answer counts as silent.
    fixture.events.run_until([] { return false; }, 3s);
    CHECK(status_of(fixture.send_and_wait("/nowhere/1")) == 404);
    CHECK(status_of(fixture.send_and_wait("/s/1", {}, "another key")) == 401);
    age = 10s;
    const auto& refused = fixture.send_and_wait("/nowhere/1");
    CHECK(status_of(refused) == 503);
    CHECK_FALSE(net::find_header(refused->headers, "retry-after").empty());
    CHECK(status_of(fixture.send_and_wait("/s/1", {}, "another key")) == 503);
}

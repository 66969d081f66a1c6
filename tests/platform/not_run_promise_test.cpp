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

#include "samphiretray/gateway/drain_promise.h"
#include "samphiretray/gateway/endpoint_directory.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

const time_point start{1000s};
constexpr duration take_up_time = drain_promise::drain_time - drain_promise::take_up_margin;

drain_promise draining_since_start() {
    drain_promise promise;
    promise.on_state(false, std::nullopt, std::nullopt);
    promise.on_state(true, std::nullopt, start);
    return promise;
}

} // namespace

TEST_CASE("a draining server takes up streams until shortly before the end of its promise") {
    // Guards against streams that are lost at servers which still serve (LOST), and against late ones
    // (DRAIN).
    drain_promise promise = draining_since_start();
    CHECK(promise.takes_up(start + take_up_time - 1ms));
    CHECK_FALSE(promise.takes_up(start + take_up_time));
    // A later record of the same state prolongs nothing.
    promise.on_state(true, std::nullopt, start + 1s);
    CHECK_FALSE(promise.takes_up(start + take_up_time));
    promise.on_state(false, std::nullopt, start + 2s);
    CHECK_FALSE(promise.takes_up(start + 2s));
}

TEST_CASE("a server that was never seen before it drained, or for an unknown time, takes up nothing") {
    // Guards against requests to a server whose promise is over (DRAIN): an entry has just started, or was
    // cut off.
    drain_promise unseen;
    unseen.on_state(true, std::nullopt, start);
    CHECK_FALSE(unseen.takes_up(start));
    drain_promise undated;
    undated.on_state(false, std::nullopt, std::nullopt);
    undated.on_state(true, std::nullopt, std::nullopt);
    CHECK_FALSE(undated.takes_up(start));
    CHECK_FALSE(drain_promise{}.takes_up(start));
}

TEST_CASE("what a leaving server says first in an answer, and the time that it names, bound the promise") {
    // Guards against requests later than `drainMs` after an answer that says the server leaves (DRAIN).
    drain_promise said = draining_since_start();
    said.on_said_leaving(start - 1s);
    said.on_said_leaving(start + 1s);
    CHECK(said.takes_up(start + take_up_time - 1s - 1ms));
    CHECK_FALSE(said.takes_up(start + take_up_time - 1s));
    drain_promise named = draining_since_start();
    named.on_state(true, 1200ms, start);
    CHECK(named.takes_up(start + 699ms));
    CHECK_FALSE(named.takes_up(start + 700ms));
    named.on_state(true, 5s, start);
    CHECK_FALSE(named.takes_up(start + 700ms));
}

TEST_CASE(
    "a draining endpoint is offered for streams that are taken up only, and not in a pause or restarted") {
    // Guards against new requests at a draining server, and against a promise of an earlier incarnation.
    endpoint_directory directory;
    endpoint server;
    server.id = "i-1";
    server.service = "desk";
    server.started_at = 1;
    directory.update(server, start - 1s);
    CHECK(directory.taking_up("desk", start).empty());
    server.draining = true;
    directory.update(server, start);
    CHECK(directory.available("desk", start).empty());
    CHECK(directory.taking_up("desk", start).size() == 1);
    CHECK(directory.taking_up("other", start).empty());
    directory.note_pause("i-1", start + 100ms);
    CHECK(directory.taking_up("desk", start).empty());
    CHECK(directory.taking_up("desk", start + 100ms).size() == 1);
    server.started_at = 2;
    directory.update(server, start + 1s);
    CHECK(directory.taking_up("desk", start + 1s).empty());
    directory.remove("i-1", false, start + 1s);
    CHECK(directory.taking_up("desk", start + 1s).empty());
}

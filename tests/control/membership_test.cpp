#include "samphiretray/control/membership.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using control::membership;

namespace {

constexpr time_point start{1000s};

ports::vm agent(const std::string& name, ports::vm_state state = ports::vm_state::live) {
    ports::vm vm;
    vm.name = name;
    vm.kind = wire::role::agent;
    vm.region = "luzon";
    vm.data_centre = "luzon-1";
    vm.service = "assistant";
    vm.state = state;
    return vm;
}

} // namespace

TEST_CASE("live agents of a service are listed without those that leave") {
    membership members;
    members.on_list(start, {agent("a"), agent("b", ports::vm_state::leaving), agent("c")});
    members.on_leaving(start, {"c", "1"});
    const auto live = members.live_agents(start, "assistant");
    REQUIRE(live.size() == 1);
    CHECK(live.front()->name == "a");
    CHECK(live.front()->data_centre == "luzon-1");
    CHECK(members.peers_in(start, "luzon").size() == 1);
    CHECK(members.live_agents(start, "other").empty());
    CHECK(members.find("c") != nullptr);
    CHECK(members.notices(start).size() == 1);
}

// The VM list lags: a list fetched later than the notice may still call the VM live.
TEST_CASE("a notice stands against a lagging list and ends by itself") {
    membership members;
    members.on_leaving(start, {"a", "1"});
    members.on_list(start, {agent("a")});
    members.on_list(start + 30s, {agent("a")});
    CHECK_FALSE(members.is_live(start + 30s, "a"));
    CHECK(members.notices(start + 70s).empty());
    const auto version = members.version();
    members.on_list(start + 200s, {agent("a")});
    CHECK(members.is_live(start + 200s, "a"));
    CHECK(members.version() != version);
    members.on_leaving(start + 200s, {"a", "1"});
    CHECK(members.is_live(start + 200s, "a"));
}

TEST_CASE("a VM that came back under a new incarnation is live") {
    membership members;
    members.on_list(start, {agent("a"), agent("b")});
    members.on_leaving(start, {"a", "1"});
    SECTION("known by a link") {
        members.on_hello(start + 1s, "a", "1");
        CHECK_FALSE(members.is_live(start + 1s, "a"));
        members.on_hello(start + 2s, "a", "2");
    }
    SECTION("known by the list") {
        members.on_list(start + 1s, {agent("b")});
        CHECK(members.find("a") == nullptr);
        members.on_list(start + 2s, {agent("a"), agent("b")});
    }
    CHECK(members.is_live(start + 2s, "a"));
    // A copy of the old notice that arrives late changes nothing; a notice of the new incarnation does.
    members.on_leaving(start + 3s, {"a", "1"});
    CHECK(members.is_live(start + 3s, "a"));
    members.on_leaving(start + 4s, {"a", "2"});
    CHECK_FALSE(members.is_live(start + 4s, "a"));
}

TEST_CASE("an empty VM list is a fault and changes nothing") {
    membership members;
    members.on_list(start, {agent("a")});
    members.on_list(start, {});
    CHECK(members.is_live(start, "a"));
}

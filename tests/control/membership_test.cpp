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

TEST_CASE("leaving agents are not among the live agents of a service") {
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

// The VM list lags, so a list that was fetched after the notice may still contain the VM as live.
TEST_CASE("a leaving notice overrides a lagging list and expires") {
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

TEST_CASE("a VM that returned with a new incarnation is live") {
    membership members;
    members.on_list(start, {agent("a"), agent("b")});
    members.on_leaving(start, {"a", "1"});
    SECTION("known from a link") {
        members.on_hello(start + 1s, "a", "1");
        CHECK_FALSE(members.is_live(start + 1s, "a"));
        members.on_hello(start + 2s, "a", "2");
    }
    SECTION("known from the VM list") {
        members.on_list(start + 1s, {agent("b")});
        CHECK(members.find("a") == nullptr);
        members.on_list(start + 2s, {agent("a"), agent("b")});
    }
    CHECK(members.is_live(start + 2s, "a"));
    // A late copy of the old notice has no effect; a notice of the new incarnation has.
    members.on_leaving(start + 3s, {"a", "1"});
    CHECK(members.is_live(start + 3s, "a"));
    members.on_leaving(start + 4s, {"a", "2"});
    CHECK_FALSE(members.is_live(start + 4s, "a"));
}

TEST_CASE("an empty VM list is ignored") {
    membership members;
    members.on_list(start, {agent("a")});
    members.on_list(start, {});
    CHECK(members.is_live(start, "a"));
}

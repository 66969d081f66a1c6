#include "samphiretray/gateway/placement_rules.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

const time_point start{100s};

endpoint make_endpoint(std::string id, std::string data_centre, std::string service = "engines") {
    endpoint made;
    made.id = std::move(id);
    made.service = std::move(service);
    made.data_centre = std::move(data_centre);
    return made;
}

route make_route(std::vector<std::string> regions) {
    route made;
    made.name = "r";
    made.host = "a.example";
    made.prefix = "/r/";
    made.services = {{"engines", 1}};
    made.allowed_regions = std::move(regions);
    return made;
}

placement_rules make_rules() {
    placement_rules rules{{{"north-a", "north"}, {"south-a", "south"}}};
    service cold{"engines", std::nullopt, {3s, 10}};
    service plain{"plain", std::nullopt, {}};
    rules.set_services({cold, plain});
    return rules;
}

} // namespace

// Guards against a request that leaves the regions which its route or its organisation allows.
TEST_CASE("homes of route and organisation both bind, and an unknown region is in no home") {
    const placement_rules rules = make_rules();
    const organisation owner{"coop", {}, std::nullopt, 0, 0, 1, {"south", "east"}};
    const auto both = placement_rules::homes_of(make_route({"north", "south"}), &owner, nullptr, "", "");
    CHECK(rules.is_at_home(make_endpoint("1", "south-a"), both));
    CHECK_FALSE(rules.is_at_home(make_endpoint("2", "north-a"), both));
    CHECK_FALSE(rules.is_at_home(make_endpoint("3", "elsewhere"), both));
    const auto none = placement_rules::homes_of(make_route({}), nullptr, nullptr, "", "");
    CHECK(rules.is_at_home(make_endpoint("3", "elsewhere"), none));
    const auto apart = placement_rules::homes_of(make_route({"north"}), &owner, nullptr, "", "");
    CHECK_FALSE(rules.is_at_home(make_endpoint("1", "south-a"), apart));
    CHECK_FALSE(rules.is_at_home(make_endpoint("2", "north-a"), apart));
}

// Guards against a retry into a region that a newer configuration has taken out.
TEST_CASE("a request whose homes change while it waits has to fit the old and the new ones") {
    const placement_rules rules = make_rules();
    routing_state changed;
    changed.version = 2;
    changed.routes = {make_route({"south"})};
    const routing_table current{changed};
    const auto homes =
        placement_rules::homes_of(make_route({"north", "south"}), nullptr, &current, "a.example", "/r/1");
    CHECK(rules.is_at_home(make_endpoint("1", "south-a"), homes));
    CHECK_FALSE(rules.is_at_home(make_endpoint("2", "north-a"), homes));
}

// Guards against requests to an evacuated data centre after the store has come back from an older copy.
TEST_CASE("an evacuation that disappears after an outage stays in force until it may have been rewritten") {
    placement_rules rules = make_rules();
    const endpoint inside = make_endpoint("1", "north-a");
    CHECK(rules.begin_evacuation("north-a"));
    CHECK(rules.is_evacuated(inside));
    CHECK_FALSE(rules.is_evacuated(make_endpoint("2", "south-a")));
    CHECK_FALSE(rules.end_evacuation("north-a", true, {&inside}, start));
    CHECK(rules.expire({&inside}, start + 2s).empty());
    CHECK(rules.is_evacuated(inside));
    SECTION("it is written again") {
        CHECK_FALSE(rules.begin_evacuation("north-a"));
        CHECK(rules.expire({&inside}, start + 10s).empty());
        CHECK(rules.is_evacuated(inside));
    }
    SECTION("it is not") {
        CHECK(rules.expire({&inside}, start + 3s) == std::vector<std::string>{"north-a"});
        CHECK_FALSE(rules.is_evacuated(inside));
        CHECK(rules.cold_left("1", start + 3s) == 3s);
    }
}

// Guards against all traffic going back at once to servers that have become cold.
TEST_CASE("servers are cold after an evacuation, after a restart, and as long as their records say") {
    placement_rules rules = make_rules();
    endpoint server = make_endpoint("1", "north-a");
    rules.begin_evacuation("north-a");
    CHECK(rules.end_evacuation("north-a", false, {&server}, start));
    CHECK(rules.cold_left("1", start + 1s) == 2s);
    rules.forget("1");
    rules.on_record(server, true, start);
    CHECK(rules.cold_left("1", start) == 3s);
    server.cold_left = 5s;
    rules.on_record(server, false, start);
    CHECK(rules.cold_left("1", start) == 5s);
    endpoint plain = make_endpoint("2", "north-a", "plain");
    plain.cold_left = 5s;
    rules.on_record(plain, true, start);
    CHECK(rules.cold_left("2", start) == 0s);
}

// Guards against a crash of a cold server that many entries send to, none of which knows what the others
// send.
TEST_CASE("the entries together send a cold server no more than it takes, whatever each of them wants") {
    constexpr std::size_t entries = 21;
    std::vector<std::string> names;
    for (std::size_t i = 0; i < entries; ++i) {
        names.push_back("entry-" + std::to_string(i));
    }
    const endpoint server = make_endpoint("1", "north-a");
    std::vector<placement_rules> fleet;
    for (const std::string& name : names) {
        fleet.push_back(make_rules());
        fleet.back().set_members(name, names);
        fleet.back().on_record(server, true, start);
    }
    std::vector<time_point> sent;
    for (time_point now = start; now < start + 3s; now += 10ms) {
        for (placement_rules& each : fleet) {
            if (each.is_warm_enough(server, false, now)) {
                each.count_direct(server, now);
                sent.push_back(now);
            }
        }
    }
    std::size_t most = 0;
    for (const time_point& from : sent) {
        most = std::max(most, static_cast<std::size_t>(std::ranges::count_if(
                                  sent, [&](time_point at) { return at >= from && at < from + 1s; })));
    }
    CHECK(most <= 15);
    CHECK(sent.size() >= 10);
    CHECK(fleet[0].is_warm_enough(server, false, start + 3s));
    CHECK_FALSE(fleet[0].is_warm_enough(server, true, start));
}

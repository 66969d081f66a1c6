#include "tests/control/simulated_fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using control::contact_state;
using test::simulated_fleet;

namespace {

// Time within which a change must be in force everywhere.
constexpr duration in_force_bound = 14s;

enum class fault {
    publish,
    pause,
    resume,
    isolate,
    rejoin,
    region_link,
    service,
    region_service,
    drops,
    count
};

void inject(simulated_fleet& under_test, unsigned choice) {
    const std::size_t node = (choice / 16) % under_test.size();
    const bool up = (choice / 2048) % 2 == 0;
    switch (static_cast<fault>(choice % static_cast<unsigned>(fault::count))) {
    case fault::publish:
        under_test.publish();
        break;
    case fault::pause:
        under_test.pause(node);
        break;
    case fault::resume:
        under_test.resume(node);
        break;
    case fault::isolate:
        under_test.isolate(node, true);
        break;
    case fault::rejoin:
        under_test.isolate(node, false);
        break;
    case fault::region_link:
        under_test.set_region_link(up);
        break;
    case fault::service:
        under_test.set_service_up(up);
        break;
    case fault::region_service:
        under_test.set_service_reachable(node % 2, up);
        break;
    case fault::drops:
        under_test.set_drop_rate(up ? 0.0 : 0.3);
        break;
    case fault::count:
        break;
    }
    under_test.run_for(std::chrono::milliseconds{(choice / 4096) % 4000});
}

void end_faults(simulated_fleet& under_test) {
    under_test.set_drop_rate(0.05);
    under_test.set_region_link(true);
    under_test.set_service_up(true);
    for (std::size_t i = 0; i < under_test.size(); ++i) {
        under_test.set_service_reachable(i % 2, true);
        under_test.isolate(i, false);
        under_test.resume(i);
    }
}

} // namespace

// Guards invariants 5 and 12 against evidence that looks newer than it is, reverted revisions, and changes
// that do not arrive.
TEST_CASE("under faults, evidence never looks newer than it is and each revision arrives in time") {
    CHECK(rc::check([] {
        const auto faults = *rc::gen::container<std::vector<unsigned>>(20, rc::gen::inRange(0U, 1U << 24U));
        simulated_fleet under_test{{.drop_rate = 0.05, .seed = *rc::gen::inRange<std::uint64_t>(1, 1000)}};
        under_test.publish();
        for (const unsigned choice : faults) {
            inject(under_test, choice);
            RC_ASSERT(under_test.violation() == "");
        }
        end_faults(under_test);
        under_test.run_for(in_force_bound);
        const std::uint64_t revision = under_test.publish();
        under_test.run_for(in_force_bound);
        RC_ASSERT(under_test.violation() == "");
        RC_ASSERT(under_test.count_in_force(revision) == under_test.size());
        RC_ASSERT(under_test.count_in(contact_state::fresh) == under_test.size());
    }));
}

TEST_CASE("an isolated process is cut off after the freshness bound, and fresh after it has rejoined") {
    simulated_fleet under_test{{}};
    under_test.publish();
    under_test.run_for(10s);
    CHECK(under_test.count_in(contact_state::fresh) == under_test.size());
    under_test.isolate(30, true);
    under_test.run_for(11s);
    CHECK(under_test.state(30) == contact_state::cut_off);
    CHECK(under_test.count_in(contact_state::fresh) == under_test.size() - 1);
    under_test.isolate(30, false);
    under_test.run_for(5s);
    CHECK(under_test.state(30) == contact_state::fresh);
}

// Guards against a long outage of the key-value service that stops the serving of requests.
TEST_CASE("when the calls of all watchers fail, every process reports the outage") {
    simulated_fleet under_test{{}};
    under_test.publish();
    under_test.run_for(10s);
    under_test.set_service_up(false);
    for (int second = 0; second < 60; ++second) {
        under_test.run_for(1s);
        CHECK(under_test.count_in(contact_state::cut_off) == 0);
    }
    CHECK(under_test.count_in(contact_state::service_down) == under_test.size());
    under_test.set_service_up(true);
    under_test.run_for(10s);
    CHECK(under_test.count_in(contact_state::fresh) == under_test.size());
}

// Failed neighbours that the lagging VM list still contains must be replaced before the evidence gets too
// old.
TEST_CASE("a process whose neighbours have all failed finds others within the freshness bound") {
    simulated_fleet under_test{{}};
    under_test.publish();
    under_test.run_for(10s);
    for (const std::string& name :
         under_test.at(30).pulls->neighbours(under_test.local_time(under_test.at(30)))) {
        under_test.isolate(std::stoul(name.substr(2)), true);
    }
    const std::uint64_t revision = under_test.publish();
    for (int second = 0; second < 30; ++second) {
        under_test.run_for(1s);
        CHECK(under_test.state(30) == contact_state::fresh);
    }
    CHECK(under_test.at(30).configuration.revision() == revision);
}

// Guards against accepting a key that was revoked in the other region, of which a region without the service
// cannot know.
TEST_CASE("a region that lost both the other region and the service is cut off") {
    simulated_fleet under_test{{}};
    under_test.publish();
    under_test.run_for(10s);
    under_test.set_service_reachable(1, false);
    under_test.run_for(20s);
    CHECK(under_test.count_in(contact_state::fresh) == under_test.size());
    under_test.set_region_link(false);
    under_test.run_for(11s);
    CHECK(under_test.count_in(contact_state::fresh) == under_test.size() / 2);
    CHECK(under_test.count_in(contact_state::cut_off) == under_test.size() / 2);
}

// Evidence that revision 9 is the newest must not make a process with revision 8 look fresh.
TEST_CASE("evidence of a higher revision counts once that revision is in force") {
    control::contact_tracker evidence{{"r", 10s}};
    const time_point start{100s};
    evidence.on_in_force(8);
    wire::state_reply reply;
    reply.revision = 9;
    reply.contact_age_ms = 500;
    evidence.on_reply(start, reply);
    CHECK_FALSE(evidence.age(start));
    evidence.on_in_force(9);
    CHECK(evidence.age(start) == 500ms);
}

// If one watcher of a region fails and another succeeds, there is no outage, even if the newest revision
// could not be fetched.
TEST_CASE("a region in which a watcher got an answer does not report an outage") {
    control::contact_tracker evidence{{"r", 10s}};
    const time_point start{100s};
    wire::state_reply reply;
    reply.revision = 9;
    reply.regions = {{"r", std::nullopt, 100}};
    evidence.on_reply(start, reply);
    CHECK(evidence.state(start) == contact_state::service_down);
    reply.regions = {{"r", 200, 100}};
    evidence.on_reply(start, reply);
    CHECK(evidence.state(start) == contact_state::cut_off);
}

// Guards against a process that starts in an outage and serves with an old revision of the first peer that it
// asks.
TEST_CASE("without the service, a process is ready only after it has tried a peer of each data centre") {
    config::replica configuration;
    control::contact_tracker evidence{{"r", 10s}};
    control::gossip under_test{
        {.vm = "self", .region = "r", .data_centre = "d1"}, 1, evidence, configuration};
    std::vector<ports::vm> vms(3);
    for (std::size_t i = 0; i < vms.size(); ++i) {
        vms[i].name = "vm" + std::to_string(i);
        vms[i].region = "r";
        vms[i].data_centre = "d" + std::to_string(i + 1);
    }
    const std::vector<const ports::vm*> live{&vms[0], &vms[1], &vms[2]};
    time_point now{100s};
    under_test.set_members(now, live);
    auto parts = config::split_into_chunks(test::sample_configuration(1), 1);
    parts.manifest.revision = 1;
    REQUIRE(configuration.offer_manifest(config::to_text(parts.manifest)));
    for (const auto& [digest, text] : parts.chunks) {
        REQUIRE(configuration.offer_chunk(digest, text));
    }
    REQUIRE(configuration.revision() == 1);
    std::set<std::string> asked;
    for (const auto& action : under_test.on_time(now)) {
        const auto& pull = std::get<control::send_pull>(action);
        asked.insert(pull.peer);
        wire::state_reply reply;
        reply.round = pull.message.round;
        reply.revision = 1;
        if (pull.peer != "vm2") {
            static_cast<void>(under_test.on_state_reply(now, pull.peer, reply));
        }
    }
    CHECK(asked == std::set<std::string>{"vm0", "vm1", "vm2"});
    CHECK_FALSE(under_test.is_ready(now));
    for (int i = 0; i < 100; ++i) {
        now += 1s;
        static_cast<void>(under_test.on_time(now));
    }
    CHECK(under_test.is_ready(now));
}

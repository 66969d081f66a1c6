#include "samphiretray/routing/placement.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <set>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

const time_point start{1000s};

endpoint make_endpoint(int number, const std::string& region) {
    return {"e" + std::to_string(number), "base", {region, region + "-1"}, 1.0};
}

std::vector<endpoint> fleet(int regions, int each) {
    std::vector<endpoint> live;
    for (int region = 0; region < regions; ++region) {
        for (int number = 0; number < each; ++number) {
            live.push_back(make_endpoint(region * each + number, "r" + std::to_string(region)));
        }
    }
    return live;
}

placement_request request_for(const std::string& adapter) {
    placement_request request;
    request.pool = "base";
    if (!adapter.empty()) {
        request.adapter = {adapter, "1"};
    }
    return request;
}

wire::load_report report_of(std::uint32_t running, std::uint32_t queued) {
    wire::load_report load;
    load.running = running;
    load.queued = queued;
    load.capacity = 8;
    return load;
}

/// Keeps homes in the own region, so that tests know on which endpoints an adapter is cold.
placement_settings local_homes() {
    placement_settings settings;
    settings.remote_weight = 0.0;
    settings.add_home_wait = 500ms;
    return settings;
}

void answer(placement& target, std::string_view endpoint, const std::string& adapter, bool cold,
            duration time_to_head, time_point now) {
    target.observe_answer({endpoint, {adapter, "1"}, cold, time_to_head, report_of(1, 0)}, now);
}

} // namespace

TEST_CASE("all entries of a region select the same home endpoint for a cold adapter") {
    placement one{{}, {"r0", "r0-1"}};
    placement other{{}, {"r0", "r0-2"}};
    one.replace_endpoints(fleet(3, 4));
    other.replace_endpoints(fleet(3, 4));
    for (int number = 0; number < 50; ++number) {
        const auto request = request_for("a" + std::to_string(number));
        CHECK(one.candidates(request, start).front().endpoint ==
              other.candidates(request, start).front().endpoint);
    }
}

TEST_CASE("removing an endpoint moves only the adapters at home there") {
    placement target{local_homes(), {"r0", "r0-1"}};
    auto live = fleet(1, 8);
    target.replace_endpoints(live);
    std::vector<std::string> before;
    for (int number = 0; number < 200; ++number) {
        before.emplace_back(
            target.candidates(request_for("a" + std::to_string(number)), start).front().endpoint);
    }
    live.pop_back();
    target.replace_endpoints(live);
    for (int number = 0; number < 200; ++number) {
        const auto after = target.candidates(request_for("a" + std::to_string(number)), start);
        if (before[number] != "e7") {
            CHECK(after.front().endpoint == before[number]);
        }
    }
}

TEST_CASE("a remote resident adapter is preferred to a local load unless the request is large") {
    placement target{local_homes(), {"r0", "r0-1"}};
    target.replace_endpoints(fleet(2, 2));
    answer(target, "e2", "a", false, 40ms, start);
    CHECK(target.candidates(request_for("a"), start).front().endpoint == "e2");
    placement_request large = request_for("a");
    large.bytes = 10'000'000;
    CHECK(target.candidates(large, start).front().endpoint != "e2");
}

TEST_CASE("a load elsewhere is preferred to a long queue at the engine with the resident adapter") {
    placement target{local_homes(), {"r0", "r0-1"}};
    target.replace_endpoints(fleet(1, 3));
    answer(target, "e1", "a", false, 40ms, start);
    CHECK(target.candidates(request_for("a"), start).front().endpoint == "e1");
    target.observe_load("e1", report_of(8, 40), start);
    CHECK(target.candidates(request_for("a"), start).front().endpoint != "e1");
}

TEST_CASE("only a priority request is moved away from a busy home endpoint") {
    placement_settings settings = local_homes();
    settings.max_homes = 1;
    placement target{settings, {"r0", "r0-1"}};
    target.replace_endpoints(fleet(1, 2));
    placement_request request = request_for("a");
    const std::string home{target.candidates(request, start).front().endpoint};
    const std::string other = home == "e0" ? "e1" : "e0";
    target.observe_load(home, report_of(8, 4), start);
    target.observe_load(other, report_of(8, 0), start);
    CHECK(target.candidates(request, start).front().endpoint == home);
    request.priority = true;
    CHECK(target.candidates(request, start).front().endpoint != home);
}

TEST_CASE("a failed load removes the residency hint") {
    placement target{local_homes(), {"r0", "r0-1"}};
    target.replace_endpoints(fleet(2, 1));
    answer(target, "e1", "a", false, 40ms, start);
    REQUIRE(target.candidates(request_for("a"), start).front().endpoint == "e1");
    target.observe_refusal("e1", {"a", "1"}, wire::refusal::load_failed, report_of(0, 0), start);
    CHECK(target.candidates(request_for("a"), start).front().endpoint == "e0");
}

TEST_CASE("a hot adapter gets more home endpoints and loses them only after a time of low load") {
    placement target{local_homes(), {"r0", "r0-1"}};
    target.replace_endpoints(fleet(1, 4));
    const auto load_all = [&](const wire::load_report& load, time_point now) {
        for (const char* name : {"e0", "e1", "e2", "e3"}) {
            target.observe_load(name, load, now);
        }
        (void)target.candidates(request_for("a"), now);
    };
    load_all(report_of(8, 8), start);
    load_all(report_of(8, 8), start + 1s);
    CHECK(target.home_count({"a", "1"}) == 3);
    load_all(report_of(0, 0), start + 2s);
    load_all(report_of(0, 0), start + 20s);
    CHECK(target.home_count({"a", "1"}) == 3);
    load_all(report_of(0, 0), start + 33s);
    CHECK(target.home_count({"a", "1"}) == 2);
}

TEST_CASE("plain services prefer the least loaded endpoint of the own region") {
    placement target{{}, {"r1", "r1-1"}};
    target.replace_endpoints(fleet(2, 2));
    target.observe_load("e2", report_of(4, 0), start);
    target.observe_load("e3", report_of(2, 0), start);
    CHECK(target.candidates(request_for(""), start).front().endpoint == "e3");
    target.observe_load("e2", report_of(8, 8), start);
    target.observe_load("e3", report_of(8, 8), start);
    const auto far = target.candidates(request_for(""), start).front().endpoint;
    CHECK((far == "e0" || far == "e1"));
}

TEST_CASE("a load report loses weight with age") {
    placement target{local_homes(), {"r0", "r0-1"}};
    target.replace_endpoints(fleet(1, 2));
    target.observe_load("e0", report_of(8, 8), start);
    target.observe_load("e1", report_of(2, 0), start + 60s);
    CHECK(target.candidates(request_for(""), start + 60s).front().endpoint == "e0");
}

TEST_CASE("candidates are distinct and usable, with already tried ones last") {
    REQUIRE(rc::check([](std::vector<std::uint8_t> events) {
        placement target{local_homes(), {"r0", "r0-1"}};
        target.replace_endpoints(fleet(2, 3));
        const std::vector<std::string> tried{"e0", "e3"};
        time_point now = start;
        for (const std::uint8_t event : events) {
            now += std::chrono::milliseconds{event};
            const std::string name = "e" + std::to_string(event % 6);
            target.observe_load(name, report_of(event % 16, event % 5), now);
            target.sent(name);
            placement_request request = request_for("a" + std::to_string(event % 3));
            request.tried = tried;
            const auto usable = [](std::string_view endpoint) { return endpoint != "e1"; };
            const auto found = target.candidates(request, now, usable);
            std::set<std::string_view> names;
            for (const candidate& each : found) {
                names.insert(each.endpoint);
            }
            RC_ASSERT(found.size() == 4U);
            RC_ASSERT(names.size() == found.size());
            RC_ASSERT(!names.contains("e1"));
            RC_ASSERT(std::ranges::find(tried, found[2].endpoint) == tried.end());
        }
    }));
}

TEST_CASE("the number of residency hints is bounded") {
    placement_settings settings = local_homes();
    settings.max_hints = 10;
    placement target{settings, {"r0", "r0-1"}};
    target.replace_endpoints(fleet(2, 1));
    answer(target, "e1", "first", false, 40ms, start);
    REQUIRE(target.candidates(request_for("first"), start).front().endpoint == "e1");
    for (int number = 0; number < 20; ++number) {
        answer(target, "e0", "a" + std::to_string(number), false, 40ms, start);
    }
    CHECK(target.candidates(request_for("first"), start).front().endpoint == "e0");
}

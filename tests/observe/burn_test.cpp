#include "samphiretray/observe/burn.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace samphiretray;
using namespace samphiretray::observe;

namespace {

int random_below(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

} // namespace

// Guards against ring-buffer slots with outdated counts after the buffer has wrapped around, and against
// events lost at the boundary of a slot.
TEST_CASE("an event history sums the events of each window within its resolution") {
    CHECK(rc::check([] {
        event_history history;
        std::vector<std::pair<time_point, event_count>> recorded;
        time_point now{std::chrono::seconds{random_below(1'000'000)}};
        for (int i = 0; i < 200; ++i) {
            now += std::chrono::seconds{random_below(random_below(10) == 0 ? 400'000 : 700)};
            const auto total = static_cast<std::uint64_t>(random_below(50));
            recorded.push_back({now, {total / 2, total}});
            history.record(recorded.back().second, now);
        }
        now += std::chrono::seconds{random_below(7200)};
        for (const duration window : {duration{5min}, duration{1h}, duration{6h}, duration{72h}}) {
            const duration resolution = window <= 1h ? duration{10s} : duration{5min};
            std::uint64_t expected_min = 0;
            std::uint64_t expected_max = 0;
            for (const auto& [at, count] : recorded) {
                expected_min += at > now - window ? count.total : 0;
                expected_max += at > now - window - resolution ? count.total : 0;
            }
            const std::uint64_t counted = history.sum_within(window, now).total;
            RC_ASSERT(counted >= expected_min);
            RC_ASSERT(counted <= expected_max);
        }
    }));
}

// Guards against an alert for a short spike, and against one that stays on after the errors have ended.
TEST_CASE("a burn-rate alert fires only while both windows exceed the threshold") {
    burn_monitor monitor{{{"answers", objective_scope::service, "*", 0.99}}};
    time_point now{100h};
    const auto record_for = [&](duration span, std::uint64_t good) {
        for (const time_point end = now + span; now < end; now += 10s) {
            monitor.record(objective_scope::service, "orders", {good, 10}, now);
        }
        return monitor.report(now).at(0).pairs.at(0);
    };
    CHECK_FALSE(record_for(1h, 10).firing);
    const window_pair_burn spike = record_for(5min, 5);
    CHECK(spike.short_rate == Approx(50).epsilon(0.1));
    CHECK_FALSE(spike.firing);
    CHECK(record_for(25min, 5).firing);
    const window_pair_burn after = record_for(6min, 10);
    CHECK(after.long_rate > 14.4);
    CHECK_FALSE(after.firing);
}

TEST_CASE("burn reports are made per subject, limited in number, and formatted as table and JSON") {
    burn_monitor monitor{
        {{"all", objective_scope::organisation, "*", 0.9}, {"one", objective_scope::service, "x", 0.5}}, 2};
    const time_point now{1h};
    for (const char* name : {"a", "b", "c", "d"}) {
        monitor.record(objective_scope::organisation, name, {1, 2}, now);
    }
    const auto reports = monitor.report(now);
    REQUIRE(reports.size() == 3);
    CHECK(reports[2].subject == "other");
    CHECK(reports[2].events.total == 4);
    CHECK(reports[0].pairs[0].short_rate == Approx(5));
    const std::string table = format_table(reports);
    CHECK(table.find("all                     organisation  other                   0.9       5.00/5.00") !=
          std::string::npos);
    const std::string text = format_json(std::span{reports}.first(1));
    CHECK(text.find(R"("subject":"a")") != std::string::npos);
    CHECK(text.find(R"("5m/1h":{"firing":false,"long":5.0)") != std::string::npos);
}

TEST_CASE("objectives are parsed and invalid ones are rejected with the file name") {
    const auto parsed = parse_objectives(
        R"([{"name": "n", "scope": "organisation", "subject": "o", "target": 0.95} /* one */])", "burn.json");
    REQUIRE(parsed);
    CHECK(parsed->at(0).target == 0.95);
    for (const char* text : {"{", "[1]", R"([{"name": "n", "scope": "x", "target": 0.5}])",
                             R"([{"name": "n", "scope": "service", "target": 1}])",
                             R"([{"name": "n", "scope": "service", "target": 0.5, "extra": 1}])"}) {
        const auto refused = parse_objectives(text, "burn.json");
        REQUIRE_FALSE(refused);
        CHECK(refused.error().peer == "burn.json");
    }
}

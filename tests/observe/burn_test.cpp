#include "samphiretray/observe/burn.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <vector>

using namespace samphiretray;
using namespace samphiretray::observe;

namespace {

int pick(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

} // namespace

// Guards against ring slots that are counted again after they wrapped, and against counts lost at a slot's
// edge.
TEST_CASE("a history counts the events of each window, up to its resolution") {
    CHECK(rc::check([] {
        event_history history;
        std::vector<std::pair<time_point, event_count>> recorded;
        time_point now{std::chrono::seconds{pick(1'000'000)}};
        for (int each = 0; each < 200; ++each) {
            now += std::chrono::seconds{pick(pick(10) == 0 ? 400'000 : 700)};
            const auto total = static_cast<std::uint64_t>(pick(50));
            recorded.push_back({now, {total / 2, total}});
            history.record(recorded.back().second, now);
        }
        now += std::chrono::seconds{pick(7200)};
        for (const duration window : {duration{5min}, duration{1h}, duration{6h}, duration{72h}}) {
            const duration resolution = window <= 1h ? duration{10s} : duration{5min};
            std::uint64_t least = 0;
            std::uint64_t most = 0;
            for (const auto& [at, count] : recorded) {
                least += at > now - window ? count.total : 0;
                most += at > now - window - resolution ? count.total : 0;
            }
            const std::uint64_t counted = history.within(window, now).total;
            RC_ASSERT(counted >= least);
            RC_ASSERT(counted <= most);
        }
    }));
}

// Guards against an alert for a short spike, and against one that goes on after the fault has ended.
TEST_CASE("a pair fires only while both windows burn too fast") {
    burn_monitor monitor{{{"answers", objective_scope::service, "*", 0.99}}};
    time_point now{100h};
    const auto pass = [&](duration span, std::uint64_t good) {
        for (const time_point end = now + span; now < end; now += 10s) {
            monitor.record(objective_scope::service, "orders", {good, 10}, now);
        }
        return monitor.report(now).at(0).pairs.at(0);
    };
    CHECK_FALSE(pass(1h, 10).firing);
    const pair_burn spike = pass(5min, 5);
    CHECK(spike.short_rate == Approx(50).epsilon(0.1));
    CHECK_FALSE(spike.firing);
    CHECK(pass(25min, 5).firing);
    const pair_burn after = pass(6min, 10);
    CHECK(after.long_rate > 14.4);
    CHECK_FALSE(after.firing);
}

TEST_CASE("reports are per subject, bounded, and printed as table and JSON") {
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

TEST_CASE("objectives are parsed and damaged ones are refused with the field") {
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

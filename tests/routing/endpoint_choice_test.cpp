#include "samphiretray/routing/endpoint_choice.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

const time_point start{1h};

choice_endpoint make_engine(const std::string& id, duration round_trip = 500us) {
    return {id, id + ":80", round_trip, 96, 190'000, true};
}

struct engines {
    endpoint_choice choice{choice_settings{}};
    std::vector<std::string> ids;

    explicit engines(int count) {
        for (int i = 0; i < count; ++i) {
            ids.push_back("e" + std::to_string(i));
            choice.add(make_engine(ids.back()));
        }
    }

    std::string best_endpoint(const choice_request& request, time_point now = start) const {
        return choice.order(request, ids, now).front().id;
    }
};

choice_request request_for(std::string_view adapter, std::uint32_t tokens) {
    return {adapter, "1", {}, tokens, 100};
}

} // namespace

TEST_CASE("all entries select the same home endpoint for an adapter without coordination") {
    const engines one{9};
    const engines other{9};
    std::set<std::string> homes;
    for (int i = 0; i < 200; ++i) {
        const std::string adapter = "m/a" + std::to_string(i);
        const std::string home = one.best_endpoint(request_for(adapter, 800));
        CHECK(home == other.best_endpoint(request_for(adapter, 800)));
        homes.insert(home);
    }
    CHECK(homes.size() == 9);
}

TEST_CASE("a short queue at the home endpoint does not cause a second adapter load") {
    // Load pattern: simultaneous requests for rare adapters; a load from the store costs as much as a short
    // answer.
    engines all{9};
    const choice_request long_request = request_for("m/a1", 9000);
    const std::string home = all.best_endpoint(long_request);
    all.choice.observe_engine(home, {5000, 2, 20'000, 8, 0, 0, {}}, start);
    CHECK(all.best_endpoint(long_request) == home);
}

TEST_CASE("a hot adapter is loaded on a second engine if its home would answer late, and stays there") {
    // Load pattern: one adapter receives a fifth of all requests.
    engines all{9};
    const choice_request long_request = request_for("m/a1", 9000);
    const std::string home = all.best_endpoint(long_request);
    all.choice.observe_engine(home, {90'000, 8, 80'000, 8, 0, 0, {"m/a1@1"}}, start);
    const std::string second = all.best_endpoint(long_request);
    REQUIRE(second != home);
    all.choice.observe_engine(second, {0, 0, 0, 8, 0, 0, {"m/a1@1"}}, start);
    CHECK(all.best_endpoint(long_request) == second);
    const auto order = all.choice.order(long_request, all.ids, start);
    CHECK(order.front().resident);
}

TEST_CASE("a burst from one entry is spread evenly before the first load report") {
    // Load pattern: demand jumps within one round trip to the engines.
    engines all{4};
    const choice_request long_request = request_for("", 9000);
    std::map<std::string, int> sent;
    for (std::uint64_t token = 0; token < 40; ++token) {
        const std::string to = all.best_endpoint(long_request);
        all.choice.sent(to, token, long_request);
        ++sent[to];
    }
    REQUIRE(sent.size() == 4);
    for (const auto& [id, count] : sent) {
        CHECK(count >= 8);
        CHECK(count <= 12);
    }
}

TEST_CASE("the engine with the cached prefix is preferred until its queue costs more than a new prefill") {
    engines all{3};
    const std::vector<prompt_segment> prompt{{"shared", 2500}, {"own", 3800}};
    const choice_request request{"", "", prompt, 9000, 100};
    const std::string cached_engine = all.best_endpoint(request);
    all.choice.sent(cached_engine, 1, request);
    all.choice.first_byte_received(cached_engine, 1);
    all.choice.ended(cached_engine, 1, 800ms);
    all.choice.observe_engine(cached_engine, {5000, 0, 0, 8, 0, 0, {}}, start);
    CHECK(all.best_endpoint(request) == cached_engine);
    all.choice.observe_engine(cached_engine, {12'000, 0, 0, 8, 0, 0, {}}, start);
    CHECK(all.best_endpoint(request) != cached_engine);
}

TEST_CASE("an adapter is loaded on an engine with a free slot if other adapters wait for one at its home") {
    // Load pattern: many rare adapters at once; a stream holds its adapter's slot for two seconds.
    engines all{9};
    const choice_request short_request = request_for("m/a1", 800);
    const std::string home = all.best_endpoint(short_request);
    all.choice.observe_engine(home, {0, 8, 9000, 0, 0, 0, {}}, start);
    CHECK(all.best_endpoint(short_request) == home);
    all.choice.observe_engine(home, {0, 8, 9000, 0, 5, 0, {}}, start);
    CHECK(all.best_endpoint(short_request) != home);
}

TEST_CASE("the backlog in an old load report is reduced by the prefill done since") {
    engines all{2};
    const choice_request request = request_for("", 800);
    all.choice.observe_engine("e0", {20'000, 5, 50'000, 8, 0, 0, {}}, start);
    all.choice.observe_engine("e1", {2000, 1, 1000, 8, 0, 0, {}}, start);
    CHECK(all.best_endpoint(request) == "e1");
    // The prefill of 20,000 tokens takes less than 0.6 s.
    const auto later = all.choice.order(request, all.ids, start + 5s);
    CHECK(later[0].estimate == later[1].estimate);
    CHECK(later[0].report_age == 5s);
}

TEST_CASE("an engine without KV cache room for the request ranks after one with a moderate queue") {
    engines all{2};
    const choice_request long_request = request_for("", 9000);
    all.choice.observe_engine("e0", {0, 20, 188'000, 8, 0, 0, {}}, start);
    all.choice.observe_engine("e1", {8000, 2, 20'000, 8, 0, 0, {}}, start);
    CHECK(all.best_endpoint(long_request) == "e1");
}

TEST_CASE("a restarted engine is assumed to have no resident adapters") {
    engines all{2};
    const choice_request request = request_for("m/a1", 800);
    all.choice.observe_engine("e0", {0, 0, 0, 8, 0, 0, {"m/a1@1"}}, start);
    all.choice.observe_engine("e1", {0, 0, 0, 8, 0, 0, {}}, start);
    CHECK(all.best_endpoint(request) == "e0");
    all.choice.add(make_engine("e0"));
    CHECK_FALSE(all.choice.order(request, all.ids, start).front().resident);
}

TEST_CASE("requests for a plain service go to the nearest endpoint with a free slot") {
    endpoint_choice choice{choice_settings{}};
    choice.add({"near", "near:80", 500us, 2, 0, false});
    choice.add({"far", "far:80", 62ms, 2, 0, false});
    const std::vector<std::string> ids{"near", "far"};
    const choice_request order;
    CHECK(choice.order(order, ids, start).front().id == "near");
    for (std::uint64_t token = 0; token < 6; ++token) {
        choice.sent("near", token, order);
    }
    CHECK(choice.order(order, ids, start).front().id == "far");
}

TEST_CASE("an engine with a prefill rate far below the typical one ranks after a loaded engine") {
    // Failure pattern: servers become slow while their health checks still pass.
    engines all{2};
    const choice_request long_request = request_for("", 9000);
    all.choice.observe_engine("e0", {0, 0, 0, 8, 0, 5'000, {}}, start);
    all.choice.observe_engine("e1", {10'000, 4, 40'000, 8, 0, 25'000, {}}, start);
    CHECK(all.best_endpoint(long_request) == "e1");
    // A moderately slower engine keeps its adapters: moving each one costs a load.
    all.choice.observe_engine("e0", {0, 0, 0, 8, 0, 18'000, {}}, start);
    CHECK(all.best_endpoint(long_request) == "e0");
}

namespace {

/// Tells `choice` that work takes so long at the engine, and nothing else.
void report_work_time(endpoint_choice& choice, const std::string& id, std::uint32_t percent,
                      time_point now = start) {
    engine_load load;
    load.free_slots = 8;
    load.work_time_percent = percent;
    choice.observe_engine(id, load, now);
}

std::map<std::string, int> homes_of(const engines& all) {
    std::map<std::string, int> count;
    for (int i = 0; i < 4000; ++i) {
        ++count[all.best_endpoint(request_for("m/a" + std::to_string(i), 800))];
    }
    return count;
}

} // namespace

// Guards against streams that pause at slow engines while fast ones are idle. Load pattern: engines of two
// speeds, each of which gets an equal part of the adapters.
TEST_CASE("faster engines are home to more adapters, in proportion to their speed") {
    engines all{8};
    for (std::size_t i = 0; i < all.ids.size(); ++i) {
        report_work_time(all.choice, all.ids[i], i < 2 ? 55 : 120);
        report_work_time(all.choice, all.ids[i], i < 2 ? 55 : 120, start + 2s);
    }
    const auto count = homes_of(all);
    const double fast = (count.at("e0") + count.at("e1")) / 2.0;
    const double slow = (4000 - 2 * fast) / 6;
    CHECK(fast / slow > 1.6);
    CHECK(fast / slow < 2.5);
}

// Guards against adapters that move between engines, and are loaded again, when nothing tells their speed.
TEST_CASE("homes do not change where engines do not say how long work takes") {
    engines all{8};
    const auto before = homes_of(all);
    for (const std::string& id : all.ids) {
        report_work_time(all.choice, id, 0);
    }
    CHECK(homes_of(all) == before);
}

// Guards against one engine that draws all adapters because its figure is wrong.
TEST_CASE("an engine that claims to be a hundred times faster gets a bounded part of the adapters") {
    engines all{8};
    for (const std::string& id : all.ids) {
        report_work_time(all.choice, id, id == "e0" ? 5 : 500);
        report_work_time(all.choice, id, id == "e0" ? 5 : 500, start + 2s);
    }
    CHECK(homes_of(all).at("e0") < 4000 * 0.4);
}

// Guards against herding: many requests at once, of which each would go to the fastest engine.
TEST_CASE("requests that wait at a fast engine outweigh its speed") {
    engines all{2};
    report_work_time(all.choice, "e0", 50);
    report_work_time(all.choice, "e1", 100);
    std::map<std::string, int> sent;
    for (int i = 0; i < 60; ++i) {
        const choice_request request{"", "1", {}, 5000, 100};
        const std::string chosen = all.best_endpoint(request);
        all.choice.sent(chosen, static_cast<std::uint64_t>(i), request);
        ++sent[chosen];
    }
    CHECK(sent["e0"] > sent["e1"]);
    CHECK(sent["e1"] >= 15);
}

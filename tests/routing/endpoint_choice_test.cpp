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

    std::string first(const choice_request& request, time_point now = start) const {
        return choice.order(request, ids, now).front().id;
    }
};

choice_request request_for(std::string_view adapter, std::uint32_t tokens) {
    return {adapter, "1", {}, tokens, 100};
}

} // namespace

TEST_CASE("all entries agree on the home of an adapter without a word between them") {
    const engines one{9};
    const engines other{9};
    std::set<std::string> homes;
    for (int i = 0; i < 200; ++i) {
        const std::string adapter = "m/a" + std::to_string(i);
        const std::string home = one.first(request_for(adapter, 800));
        CHECK(home == other.first(request_for(adapter, 800)));
        homes.insert(home);
    }
    CHECK(homes.size() == 9);
}

TEST_CASE("an adapter is not loaded twice for a short queue at its home") {
    // Pattern: rare adapters asked for at once, each load from the store as dear as a short answer.
    engines all{9};
    const choice_request draft = request_for("m/a1", 9000);
    const std::string home = all.first(draft);
    all.choice.observe_engine(home, {5000, 2, 20'000, 8, 0, 0, {}}, start);
    CHECK(all.first(draft) == home);
}

TEST_CASE("a hot adapter goes to a second engine once its home would be late, and stays there") {
    // Pattern: one adapter receives a fifth of all requests.
    engines all{9};
    const choice_request draft = request_for("m/a1", 9000);
    const std::string home = all.first(draft);
    all.choice.observe_engine(home, {90'000, 8, 80'000, 8, 0, 0, {"m/a1@1"}}, start);
    const std::string second = all.first(draft);
    REQUIRE(second != home);
    all.choice.observe_engine(second, {0, 0, 0, 8, 0, 0, {"m/a1@1"}}, start);
    CHECK(all.first(draft) == second);
    const auto order = all.choice.order(draft, all.ids, start);
    CHECK(order.front().resident);
}

TEST_CASE("a burst from one entry spreads before any report of load comes back") {
    // Pattern: demand jumps within one round trip to the engines.
    engines all{4};
    const choice_request draft = request_for("", 9000);
    std::map<std::string, int> sent;
    for (std::uint64_t token = 0; token < 40; ++token) {
        const std::string to = all.first(draft);
        all.choice.sent(to, token, draft);
        ++sent[to];
    }
    REQUIRE(sent.size() == 4);
    for (const auto& [id, count] : sent) {
        CHECK(count >= 8);
        CHECK(count <= 12);
    }
}

TEST_CASE("the engine that keeps the prompt is preferred until its queue costs more than reading again") {
    engines all{3};
    const std::vector<shared_part> prompt{{"shared", 2500}, {"own", 3800}};
    const choice_request request{"", "", prompt, 9000, 100};
    const std::string keeper = all.first(request);
    all.choice.sent(keeper, 1, request);
    all.choice.answered(keeper, 1);
    all.choice.ended(keeper, 1, 800ms);
    all.choice.observe_engine(keeper, {5000, 0, 0, 8, 0, 0, {}}, start);
    CHECK(all.first(request) == keeper);
    all.choice.observe_engine(keeper, {12'000, 0, 0, 8, 0, 0, {}}, start);
    CHECK(all.first(request) != keeper);
}

TEST_CASE("a rare adapter goes where a slot is free when all slots of its home are in use by streams") {
    // Pattern: many rare adapters at once; a stream keeps its adapter's slot for two seconds.
    engines all{9};
    const choice_request question = request_for("m/a1", 800);
    const std::string home = all.first(question);
    all.choice.observe_engine(home, {0, 8, 9000, 0, 0, 0, {}}, start);
    CHECK(all.first(question) == home);
    all.choice.observe_engine(home, {0, 8, 9000, 0, 5, 0, {}}, start);
    CHECK(all.first(question) != home);
}

TEST_CASE("an old report of a long queue does not keep requests away for ever") {
    engines all{2};
    const choice_request request = request_for("", 800);
    all.choice.observe_engine("e0", {20'000, 5, 50'000, 8, 0, 0, {}}, start);
    all.choice.observe_engine("e1", {2000, 1, 1000, 8, 0, 0, {}}, start);
    CHECK(all.first(request) == "e1");
    // 20,000 tokens are read within 0.6 s.
    const auto later = all.choice.order(request, all.ids, start + 5s);
    CHECK(later[0].estimate == later[1].estimate);
    CHECK(later[0].report_age == 5s);
}

TEST_CASE("an engine without memory for the request comes after one with a moderate queue") {
    engines all{2};
    const choice_request draft = request_for("", 9000);
    all.choice.observe_engine("e0", {0, 20, 188'000, 8, 0, 0, {}}, start);
    all.choice.observe_engine("e1", {8000, 2, 20'000, 8, 0, 0, {}}, start);
    CHECK(all.first(draft) == "e1");
}

TEST_CASE("a restarted engine is taken to hold nothing") {
    engines all{2};
    const choice_request request = request_for("m/a1", 800);
    all.choice.observe_engine("e0", {0, 0, 0, 8, 0, 0, {"m/a1@1"}}, start);
    all.choice.observe_engine("e1", {0, 0, 0, 8, 0, 0, {}}, start);
    CHECK(all.first(request) == "e0");
    all.choice.add(make_engine("e0"));
    CHECK_FALSE(all.choice.order(request, all.ids, start).front().resident);
}

TEST_CASE("requests at plain endpoints go to the nearest one with a free place") {
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

TEST_CASE("an engine that reads prompts many times slower than usual is left to those who have no other") {
    // Pattern: servers turn slow while their health checks are good.
    engines all{2};
    const choice_request draft = request_for("", 9000);
    all.choice.observe_engine("e0", {0, 0, 0, 8, 0, 5'000, {}}, start);
    all.choice.observe_engine("e1", {10'000, 4, 40'000, 8, 0, 25'000, {}}, start);
    CHECK(all.first(draft) == "e1");
    // A somewhat slower engine keeps its adapters: moving them costs a load each.
    all.choice.observe_engine("e0", {0, 0, 0, 8, 0, 18'000, {}}, start);
    CHECK(all.first(draft) == "e0");
}

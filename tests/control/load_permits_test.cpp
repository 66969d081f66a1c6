#include "samphiretray/control/load_permits.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace samphiretray;
using control::load_permits;
using control::load_permits_options;

namespace {

constexpr time_point start{duration{1h}};

wire::permit_request ask(std::uint64_t round, bool priority = false, std::uint32_t waiting = 1) {
    return {round, "endpoint", "adapter-" + std::to_string(round), "1", priority, waiting};
}

std::size_t granted(const std::vector<control::permit_answer>& answers) {
    return static_cast<std::size_t>(
        std::ranges::count_if(answers, [](const auto& each) { return each.reply.granted; }));
}

} // namespace

// Guards against a load storm at the weight store: a cold fleet must not exceed its rate or places.
TEST_CASE("grants stay within the rate and the places in flight") {
    rc::prop("rate and places hold in every window", [] {
        const load_permits_options options;
        load_permits permits{options, start};
        std::vector<time_point> grants;
        std::vector<std::uint64_t> running;
        time_point now = start;
        std::uint64_t round = 0;
        const auto steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 400)};
            switch (*rc::gen::inRange(0, 3)) {
            case 0:
                permits.request("agent", ask(++round, *rc::gen::arbitrary<bool>()), now);
                break;
            case 1:
                if (!running.empty()) {
                    permits.done("agent", running.back(), now);
                    running.pop_back();
                }
                break;
            default:
                permits.cancel("agent", *rc::gen::inRange<std::uint64_t>(0, round + 1), now);
            }
            for (const auto& answer : permits.take_answers(true, now)) {
                RC_ASSERT(answer.reply.granted);
                grants.push_back(now);
                running.push_back(answer.reply.round);
            }
            RC_ASSERT(permits.in_flight() <= options.max_in_flight);
            for (std::size_t first = 0; first < grants.size(); ++first) {
                const double seconds = std::chrono::duration<double>(now - grants[first]).count();
                const double most = options.burst + options.loads_per_second * seconds + 1e-6;
                RC_ASSERT(static_cast<double>(grants.size() - first) <= most);
            }
        }
    });
}

// Guards against a priority customer's cold start that waits behind an event-day rush.
TEST_CASE("a priority load overtakes any queue within one interval of the rate") {
    load_permits permits{{}, start};
    for (std::uint64_t round = 1; round <= 200; ++round) {
        permits.request("agent", ask(round, false, 30), start);
    }
    time_point now = start;
    for (int i = 0; i < 40; ++i) {
        now += 100ms;
        for (const auto& answer : permits.take_answers(true, now)) {
            permits.done("agent", answer.reply.round, now);
        }
    }
    permits.request("agent", ask(1000, true), now);
    bool served = false;
    const time_point asked = now;
    while (!served && now - asked < 500ms) {
        now += 10ms;
        for (const auto& answer : permits.take_answers(true, now)) {
            served = served || answer.reply.round == 1000;
        }
    }
    CHECK(served);
}

TEST_CASE("an old request is served in the end, however many wait elsewhere") {
    load_permits permits{{}, start};
    permits.request("agent", ask(1, false, 1), start);
    time_point now = start;
    bool served = false;
    for (std::uint64_t round = 2; round < 400 && !served; ++round) {
        now += 100ms;
        permits.request("agent", ask(1, false, 1), now);
        permits.request("agent", ask(round, false, 1000), now);
        for (const auto& answer : permits.take_answers(true, now)) {
            served = served || answer.reply.round == 1;
            permits.done("agent", answer.reply.round, now);
        }
    }
    CHECK(served);
}

TEST_CASE("a permit whose holder disappears ends by itself") {
    load_permits permits{{}, start};
    permits.request("agent", ask(1), start);
    CHECK(granted(permits.take_answers(true, start + 2s)) == 1);
    CHECK(permits.in_flight() == 1);
    permits.holder_gone("agent");
    CHECK(granted(permits.take_answers(true, start + 6s)) == 0);
    CHECK(permits.in_flight() == 0);
}

TEST_CASE("a second request for the same load gets the permit in force again") {
    load_permits permits{{}, start};
    permits.request("agent", ask(1), start);
    CHECK(granted(permits.take_answers(true, start + 2s)) == 1);
    auto again = ask(1);
    again.round = 2;
    permits.request("agent", again, start + 2s);
    CHECK(granted(permits.take_answers(true, start + 2s)) == 1);
    CHECK(permits.in_flight() == 1);
}

// Guards against two holders of the duty that both grant.
TEST_CASE("without the duty all waiting requests are sent on") {
    load_permits permits{{}, start};
    permits.request("agent", ask(1), start);
    const auto answers = permits.take_answers(false, start + 5s);
    REQUIRE(answers.size() == 1);
    CHECK_FALSE(answers.front().reply.issuer);
    CHECK(permits.waiting() == 0);
}

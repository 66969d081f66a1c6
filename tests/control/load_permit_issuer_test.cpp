#include "samphiretray/control/load_permit_issuer.h"
#include "samphiretray/control/local_load_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::control;

namespace {

int random_below(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

wire::permit_request make_request(std::uint64_t round, int target, bool priority) {
    return {round, "endpoint" + std::to_string(target % 4), "adapter" + std::to_string(target), "1", priority,
            1};
}

/// Largest number of loads in excess of rate × window over all windows.
double largest_burst(const std::vector<time_point>& starts, double rate) {
    double largest = 0;
    for (std::size_t first = 0; first < starts.size(); ++first) {
        for (std::size_t last = first; last < starts.size(); ++last) {
            const double seconds = std::chrono::duration<double>(starts[last] - starts[first]).count();
            largest = std::max(largest, static_cast<double>(last - first + 1) - rate * seconds);
        }
    }
    return largest;
}

/// Measures the waits of loads in a fleet that requests `per_second` loads, one in 40 for a priority
/// customer, and repeats each request every second. Four in five loads have 100 waiting requests (crowded),
/// the others one.
struct queue_measurement {
    std::vector<duration> priority;
    std::vector<duration> crowded;
    std::vector<duration> single;

    explicit queue_measurement(double per_second) {
        time_point now{1000s};
        load_permit_issuer permits{{}, now};
        std::mt19937_64 random(1);
        std::map<std::uint64_t, std::pair<time_point, wire::permit_request>> waiting;
        std::multimap<time_point, std::uint64_t> ends;
        for (std::uint64_t round = 1; round <= 300'000; ++round, now += 1ms) {
            if (static_cast<double>(random() % 1'000'000) < per_second * 1000) {
                auto request = make_request(round, static_cast<int>(round), random() % 40 == 0);
                request.waiting = random() % 5 == 0 ? 1 : 100;
                waiting[round] = {now, request};
            }
            for (const auto& [number, each] : waiting) {
                if ((now - each.first) % 1s == 0us) {
                    permits.request("agent", each.second, now);
                }
            }
            while (!ends.empty() && ends.begin()->first <= now) {
                permits.done("agent", ends.begin()->second);
                ends.erase(ends.begin());
            }
            for (const permit_answer& answer : permits.take_answers(true, now)) {
                const auto [since, request] = waiting.at(answer.reply.round);
                auto& waits = request.priority ? priority : request.waiting == 1 ? single : crowded;
                waits.push_back(now - since);
                ends.emplace(now + 250ms, answer.reply.round);
                waiting.erase(answer.reply.round);
            }
        }
        for (auto* waits : {&priority, &crowded, &single}) {
            std::ranges::sort(*waits);
        }
    }
};

duration percentile(const std::vector<duration>& sorted, std::size_t percent) {
    return sorted.at((sorted.size() - 1) * percent / 100);
}

} // namespace

// Guards against more loads at once or per second than the weight store can serve, also around a fail-over
// and when holders disconnect.
TEST_CASE("loads in flight and loads per second stay within their limits") {
    CHECK(rc::check([] {
        const load_permit_issuer_options options{.max_in_flight =
                                                     static_cast<std::uint32_t>(1 + random_below(8)),
                                                 .loads_per_second = 0.5 + random_below(40)};
        time_point now{1000s};
        load_permit_issuer permits{options, now};
        // The loads that may still run, by holder and adapter: when they end at the latest, and their rounds.
        std::map<std::pair<std::string, int>, std::pair<time_point, std::uint64_t>> running;
        std::map<std::uint64_t, int> target_of;
        std::vector<time_point> starts;
        for (std::uint64_t round = 1; round <= 300; ++round) {
            now += std::chrono::milliseconds{random_below(200)};
            const std::string holder = "agent" + std::to_string(random_below(5));
            const int kind = random_below(24);
            if (kind < 14) {
                // A new request of a holder means that its earlier load has ended.
                const int target = target_of[round] = random_below(40);
                running.erase({holder, target});
                permits.request(holder, make_request(round, target, random_below(6) == 0), now);
            } else if (kind < 20 && !running.empty()) {
                const auto [ended, load] = *running.begin();
                permits.done(ended.first, load.second);
                running.erase(ended);
            } else if (kind == 20) {
                permits.on_holder_disconnected(holder);
            } else if (kind == 21) {
                permits.cancel(holder, round - 1);
            } else if (kind == 22) {
                permits = load_permit_issuer{options, now + options.validity};
            }
            std::erase_if(running, [now](const auto& load) { return load.second.first <= now; });
            for (const permit_answer& answer : permits.take_answers(true, now)) {
                const std::uint64_t granted = answer.reply.round;
                RC_ASSERT(answer.reply.granted);
                running[{answer.holder, target_of[granted]}] = {now + options.validity, granted};
                starts.push_back(now);
            }
            RC_ASSERT(running.size() <= options.max_in_flight);
        }
        RC_ASSERT(largest_burst(starts, options.loads_per_second) <= options.burst + 1e-6);
        RC_CLASSIFY(starts.size() > 20);
    }));
}

// Guards against a priority load that waits behind the queue, and against starvation of loads with few
// waiting requests by loads with many.
TEST_CASE("priority loads start within 500 ms and no other load starves") {
    const queue_measurement run{1.9};
    CHECK(percentile(run.priority, 95) <= 500ms);
    CHECK(run.single.back() <= 60s);
    // The queue grows without limit, and a load with one request is still served.
    const queue_measurement overload{2.2};
    CHECK(overload.priority.back() <= 500ms);
    CHECK(overload.single.size() * 8 >= overload.crowded.size());
    CHECK(overload.single.back() <= 60s);
}

// Run with the tag [measure].
TEST_CASE("waits for a load permit", "[.][measure]") {
    for (const double per_second : {1.0, 1.6, 1.9, 2.2}) {
        const queue_measurement run{per_second};
        std::cout << per_second << " loads/s requested of 2: priority p50 "
                  << milliseconds_in(percentile(run.priority, 50)) << " p95 "
                  << milliseconds_in(percentile(run.priority, 95)) << " worst "
                  << milliseconds_in(run.priority.back()) << " ms (" << run.priority.size()
                  << "); crowded p50 " << milliseconds_in(percentile(run.crowded, 50)) << " p95 "
                  << milliseconds_in(percentile(run.crowded, 95)) << " ms; single p50 "
                  << milliseconds_in(percentile(run.single, 50)) << " p95 "
                  << milliseconds_in(percentile(run.single, 95)) << " ms\n";
    }
}

TEST_CASE(
    "a repeated request keeps its place, and a peer without the duty answers that it is not the issuer") {
    const time_point now{1000s};
    load_permit_issuer permits{{}, now};
    permits.request("a", make_request(1, 7, false), now);
    permits.request("a", make_request(2, 7, false), now);
    CHECK(permits.waiting() == 1);
    const auto answers = permits.take_answers(false, now);
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reply.round == 2);
    CHECK_FALSE(answers[0].reply.issuer);
    permits.request("a", make_request(3, 7, false), now);
    CHECK(permits.take_answers(true, now).empty());
    CHECK(permits.wake_at(now) == now + 1s);
    CHECK(permits.take_answers(true, now + 1s).size() == 1);
    permits.request("a", make_request(3, 7, false), now + 1s);
    CHECK(permits.take_answers(true, now + 1s).at(0).reply.granted);
    CHECK(permits.in_flight() == 1);
}

// Guards against agents that, without a duty holder, together overload the weight store.
TEST_CASE("an agent without a permit loads at its share of a reduced rate") {
    CHECK(rc::check([] {
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto agents = static_cast<std::uint32_t>(1 + random_below(50));
        time_point now{1000s};
        local_load_limit limit{{}, agents, random, now};
        std::vector<time_point> starts;
        for (int each = 0; each < 500; ++each) {
            now += std::chrono::milliseconds{random_below(3000)};
            const bool priority = random_below(4) == 0;
            const duration wait = limit.time_until(priority, now);
            const bool started = limit.try_start(priority, now);
            RC_ASSERT(started == (wait == 0us));
            if (started) {
                starts.push_back(now);
                limit.done();
            }
        }
        RC_ASSERT(largest_burst(starts, std::max(1.0 / agents, 1.0 / 60)) <= 2 + 1e-3);
    }));
}

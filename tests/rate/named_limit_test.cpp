#include "samphiretray/rate/named_limit.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>

using namespace samphiretray;
using namespace samphiretray::rate;

namespace {

const time_point start{1000s};
/// From the operators' rule: in any window a server gets no more than this factor of what its limit allows,
/// and this many requests.
constexpr duration window = 4s;
constexpr double window_s = 4;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

std::vector<std::string> names(std::size_t count) {
    std::vector<std::string> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back("entry-" + std::to_string(i));
    }
    return all;
}

std::vector<endpoint_limits> make_members(std::size_t count) {
    std::vector<endpoint_limits> members(count, endpoint_limits{{}});
    const auto all = names(count);
    for (std::size_t i = 0; i < count; ++i) {
        members[i].set_members(all[i], all);
    }
    return members;
}

} // namespace

TEST_CASE("all entries together keep the limit that a server names, however many press") {
    CHECK(rc::check([] {
        const auto count = *rc::gen::element<std::size_t>(1, 2, 5, 24, 150);
        const double limit = *rc::gen::element(0.3, 1.0, 3.5, 15.0, 60.0);
        auto members = make_members(count);
        std::mt19937 random{*rc::gen::arbitrary<std::uint32_t>()};
        for (auto& each : members) {
            (void)each.observe("server", limit, start);
        }
        std::deque<time_point> sent;
        for (time_point now = start; now < start + 30s; now += 20ms) {
            for (auto& each : members) {
                // Idle for a third of the time, then all at once.
                const bool presses = now > start + 10s || random() % 50 == 0;
                if (presses && each.try_take("server", now)) {
                    (void)each.observe("server", limit, now);
                    sent.push_back(now);
                }
            }
            // The reports that entries pull from each other.
            for (int pull = 0; pull < 8; ++pull) {
                auto& to = members[random() % count];
                to.merge(members[random() % count].observations(now), now);
            }
            while (!sent.empty() && now - sent.front() > window) {
                sent.pop_front();
            }
            RC_ASSERT(static_cast<double>(sent.size()) <= allowed_factor * limit * window_s + allowed_extra);
        }
    }));
}

TEST_CASE("a limited server still gets requests") {
    auto members = make_members(24);
    std::size_t sent = 0;
    for (auto& each : members) {
        (void)each.observe("server", 3.0, start);
    }
    for (time_point now = start; now < start + 10s; now += 20ms) {
        for (auto& each : members) {
            sent += each.try_take("server", now) ? 1 : 0;
        }
    }
    CHECK(sent >= 25);
}

TEST_CASE("a limit ends with an answer that names none, at other entries through the report of one") {
    auto members = make_members(5);
    for (auto& each : members) {
        (void)each.observe("server", 1.0, start);
    }
    const auto held_back = [&](time_point now) {
        return std::ranges::count_if(members, [&](const auto& each) { return !each.allows("server", now); });
    };
    CHECK(held_back(start + 5s) == 4);
    (void)members[0].observe("server", std::nullopt, start + 5s);
    for (std::size_t i = 1; i < members.size(); ++i) {
        members[i].merge(members[0].observations(start + 5100ms), start + 5100ms);
    }
    CHECK(held_back(start + 5200ms) == 0);
    // An older report does not bring it back.
    members[1].merge({{"server", 1.0, 2s}}, start + 5300ms);
    CHECK(held_back(start + 5300ms) == 0);
}

TEST_CASE("a limit that nobody confirms is forgotten") {
    auto members = make_members(5);
    for (auto& each : members) {
        (void)each.observe("server", 1.0, start);
        CHECK(each.allows("server", start + 11s));
        CHECK(each.observations(start + 11s).empty());
    }
}

TEST_CASE("a limit of zero holds all requests back until it is forgotten") {
    endpoint_limits alone{{}};
    (void)alone.observe("server", 0.0, start);
    CHECK_FALSE(alone.allows("server", start + 60s));
    CHECK(alone.allows("server", start + 10min));
}

TEST_CASE("the wait for several requests follows from the rate") {
    named_limit limit;
    CHECK(limit.wait_for(10, start) == 0ms);
    limit.set(2.0, start);
    CHECK(limit.wait_for(4, start) == 2s);
    CHECK(limit.wait_for(4, start + 1s) == 1s);
}

TEST_CASE("a request that the limit allows can be taken") {
    // An agent takes a request out of its queue once the limit allows one. If it could not be taken from the
    // limit then, the request counted as running and was never sent.
    named_limit limit;
    limit.set(3.0, start);
    const duration third = 333'333us;
    for (time_point now = start; now < start + 3s; now += third / 3) {
        for (duration offset = -2us; offset <= 2us; offset += 1us) {
            const bool allowed = limit.allows(now + offset);
            CHECK(limit.try_take(now + offset) == allowed);
        }
    }
}

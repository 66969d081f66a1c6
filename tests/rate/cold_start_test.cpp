#include "samphiretray/rate/cold_start.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::rate;

namespace {

const time_point start{100s};

} // namespace

// Guards against a cold engine that gets a burst: after its zone has returned, everything waits at its agent.
TEST_CASE("a cold engine gets no more in any second than it takes, however the requests come") {
    rc::prop("the window holds", [] {
        const auto rate = *rc::gen::inRange(1, 20);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
        cold_window window;
        window.set_rate(rate + 0.5);
        std::vector<time_point> sent;
        time_point now = start;
        for (const int gap : gaps) {
            now += std::chrono::milliseconds{gap};
            if (window.allows(now)) {
                window.count(now);
                sent.push_back(now);
            }
        }
        for (const time_point from : sent) {
            const auto within =
                std::ranges::count_if(sent, [from](time_point at) { return at >= from && at < from + 1s; });
            RC_ASSERT(within <= rate);
        }
    });
}

// Guards against requests that wait at a cold engine though they are to be served too late there.
TEST_CASE("the expected wait covers those that wait already") {
    cold_window window;
    window.set_rate(2);
    CHECK(window.wait_for(2, start) == 0s);
    CHECK(window.wait_for(3, start) == 1s);
    window.count(start);
    window.count(start + 400ms);
    CHECK(window.wait_for(1, start + 500ms) == 500ms);
    CHECK(window.wait_for(2, start + 500ms) == 900ms);
    CHECK(window.wait_for(3, start + 500ms) == 1500ms);
    CHECK(window.wait_for(1, start + 1s) == 0s);
}

// Guards against a report from before a restart that makes a server look warm.
TEST_CASE("a report never shortens the time for which a server counts as cold") {
    cold_state state;
    state.on_start(3s, start);
    state.on_report(0s, start + 1s);
    CHECK(state.time_left(start + 1s) == 2s);
    state.on_report(4s, start + 1s);
    CHECK(state.time_left(start + 1s) == 4s);
    CHECK_FALSE(state.is_cold(start + 5s));
}

#include "samphiretray/net/loop.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;

TEST_CASE("timers fire in the order of their deadlines") {
    loop events;
    std::vector<int> order;
    const auto late = events.after(20ms, [&] { order.push_back(2); });
    const auto early = events.after(5ms, [&] { order.push_back(1); });
    REQUIRE(events.run_until([&] { return order.size() == 2; }, hang_limit));
    CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a timer never fires before its deadline") {
    loop events;
    const auto start = events.now();
    bool fired = false;
    const auto handle = events.after(1500us, [&] { fired = true; });
    REQUIRE(events.run_until([&] { return fired; }, hang_limit));
    CHECK(events.now() - start >= 1500us);
}

TEST_CASE("a destroyed timer does not fire, even if another timer of the same loop iteration destroys it") {
    loop events;
    bool fired = false;
    bool done = false;
    timer_handle cancelled_timer;
    const auto cancelling_timer = events.after(1ms, [&] { cancelled_timer.reset(); });
    cancelled_timer = events.after(1ms, [&] { fired = true; });
    const auto end = events.after(10ms, [&] { done = true; });
    REQUIRE(events.run_until([&] { return done; }, hang_limit));
    CHECK_FALSE(fired);
}

TEST_CASE("a repeating timer fires until its handle is destroyed, also by its own action") {
    loop events;
    int count = 0;
    timer_handle handle;
    handle = events.every(1ms, [&] {
        if (++count == 3) {
            handle.reset();
        }
    });
    bool done = false;
    const auto end = events.after(20ms, [&] { done = true; });
    REQUIRE(events.run_until([&] { return done; }, hang_limit));
    CHECK(count == 3);
}

TEST_CASE("a posted action runs after the callback that posted it") {
    loop events;
    std::vector<int> order;
    events.post([&] {
        events.post([&] { order.push_back(2); });
        order.push_back(1);
    });
    REQUIRE(events.run_until([&] { return order.size() == 2; }, hang_limit));
    CHECK(order == std::vector<int>{1, 2});
}

TEST_CASE("a signal runs its action from the loop") {
    loop events;
    bool received = false;
    events.on_signal(SIGUSR1, [&] { received = true; });
    std::raise(SIGUSR1);
    CHECK(events.run_until([&] { return received; }, hang_limit));
}

TEST_CASE("run_until returns false after its time limit") {
    loop events;
    CHECK_FALSE(events.run_until([] { return false; }, 5ms));
}

TEST_CASE("run returns after stop") {
    loop events;
    events.post([&] { events.stop(); });
    events.run();
    SUCCEED("the loop stopped");
}

#include "standins/weight_store_model.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::standins;

namespace {

constexpr time_point start{1000s};

/// Begins `count` loads at once and returns the time until all have finished.
duration time_to_finish(weight_store_model& store, std::size_t count) {
    for (std::size_t load = 0; load < count; ++load) {
        REQUIRE(store.begin(start));
    }
    time_point now = start;
    while (const auto next = store.next_event()) {
        now = *next;
        (void)store.advance(now);
    }
    return now - start;
}

} // namespace

TEST_CASE("up to eight concurrent loads take 250 ms, more take proportionally longer") {
    weight_store_model eight({.loads_per_second = 0});
    CHECK(time_to_finish(eight, 8) == 250ms);
    weight_store_model sixteen({.loads_per_second = 0});
    CHECK(time_to_finish(sixteen, 16) == 500ms);
}

TEST_CASE("loads above the rate limit are refused") {
    weight_store_model store({.loads_per_second = 2});
    CHECK(store.begin(start));
    CHECK(store.begin(start));
    CHECK_FALSE(store.begin(start));
    CHECK(store.begin(start + 500ms));
    CHECK_FALSE(store.begin(start + 500ms));
    CHECK(store.counters()["rate_limited"] == 2);
}

TEST_CASE("slow_factor slows loads down and failure_probability makes them fail") {
    weight_store_model store({.loads_per_second = 0});
    store.change_faults({{"slow_factor", 4.0}, {"failure_probability", 1.0}}, start);
    REQUIRE(store.begin(start));
    REQUIRE(store.next_event() == start + 1s);
    const auto finished = store.advance(start + 1s);
    REQUIRE(finished.size() == 1);
    CHECK_FALSE(finished[0].succeeded);
}

#include "samphiretray/agent/load_pacing.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

using namespace samphiretray;
using agent::load_pacing;
using ports::adapter_version;

namespace {

constexpr time_point start{1h};

adapter_version numbered(std::size_t number) {
    return {"m/a" + std::to_string(number), "1"};
}

struct load_in_progress {
    adapter_version adapter;
    time_point began;
    /// Time that the load still takes at the store's full speed.
    double left_ms = 0;
};

struct engine_under_rush {
    load_pacing pacing{{}};
    std::vector<load_in_progress> loads;

    [[nodiscard]] std::vector<adapter_version> under_way() const {
        std::vector<adapter_version> adapters;
        std::ranges::transform(loads, std::back_inserter(adapters), &load_in_progress::adapter);
        return adapters;
    }
};

struct rush_outcome {
    double loads_per_s = 0;
    double mean_load_ms = 0;
    /// Slots of one engine that loads hold.
    double held_slots = 0;
};

/// Every engine wants adapters that no engine holds, all the time. The store works on `at_once` loads of 250
/// ms at full speed, and on more of them in proportion more slowly.
rush_outcome play_rush(std::size_t engines, std::size_t at_once) {
    constexpr duration step = 5ms;
    constexpr duration length = 20s;
    constexpr double load_ms = 250;
    std::vector<engine_under_rush> fleet(engines);
    std::size_t next_adapter = 0;
    std::size_t ended = 0;
    double taken_ms = 0;
    double held = 0;
    for (time_point now = start; now < start + length; now += step) {
        const std::size_t running = std::accumulate(
            fleet.begin(), fleet.end(), std::size_t{0},
            [](std::size_t sum, const engine_under_rush& each) { return sum + each.loads.size(); });
        const double speed =
            running <= at_once ? 1.0 : static_cast<double>(at_once) / static_cast<double>(running);
        held += static_cast<double>(running);
        for (engine_under_rush& engine : fleet) {
            for (load_in_progress& load : engine.loads) {
                load.left_ms -= static_cast<double>(milliseconds_in(step)) * speed;
                if (load.left_ms <= 0) {
                    engine.pacing.loaded(load.adapter, now - load.began, now);
                    taken_ms += static_cast<double>(milliseconds_in(now - load.began));
                    ++ended;
                }
            }
            std::erase_if(engine.loads, [](const load_in_progress& load) { return load.left_ms <= 0; });
            while (engine.pacing.may_begin(numbered(next_adapter), engine.under_way(), now)) {
                engine.loads.push_back({numbered(next_adapter++), now, load_ms});
            }
        }
    }
    const double steps = static_cast<double>(length / step);
    return {static_cast<double>(ended) / std::chrono::duration<double>(length).count(),
            taken_ms / static_cast<double>(ended), held / steps / static_cast<double>(engines)};
}

} // namespace

TEST_CASE("in a rush for adapters that no engine holds, loads do not fill the slots of all engines") {
    // Pattern: scale-2 of the grown deployments. 88 loads at once took 1.4 s each and held a quarter of all
    // slots meanwhile; the store brought no more adapters by it.
    const rush_outcome outcome = play_rush(44, 16);
    const double store_rate = 16 / 0.25;
    CHECK(outcome.loads_per_s > 0.9 * store_rate);
    CHECK(outcome.mean_load_ms < 2 * 250);
    CHECK(outcome.held_slots < 1.0);
}

TEST_CASE("a few engines are not slowed down by the pacing of loads") {
    const rush_outcome outcome = play_rush(8, 8);
    CHECK(outcome.loads_per_s > 0.9 * 8 / 0.25);
    CHECK(outcome.mean_load_ms < 1.1 * 250);
}

TEST_CASE("an adapter that the engine held lately does not wait for the store") {
    load_pacing pacing{{}};
    pacing.loaded(numbered(1), 2s, start);
    const std::vector<adapter_version> one_from_store{numbered(2)};
    CHECK(pacing.may_begin(numbered(1), one_from_store, start));
    CHECK_FALSE(pacing.may_begin(numbered(3), one_from_store, start));
}

TEST_CASE("never more loads at once than the engine takes") {
    // One load beyond its limit makes the engine refuse the order.
    load_pacing pacing{{}};
    std::vector<adapter_version> under_way;
    for (std::size_t number = 0; number < 3; ++number) {
        pacing.loaded(numbered(number), 250ms, start);
        under_way.push_back(numbered(number));
    }
    pacing.loaded(numbered(3), 250ms, start);
    CHECK_FALSE(pacing.may_begin(numbered(3), under_way, start));
}

TEST_CASE("after a slow load the next one from the store waits, and after a usual one it does not") {
    load_pacing pacing{{}};
    pacing.loaded(numbered(1), 250ms, start);
    CHECK(pacing.may_begin(numbered(2), {}, start));
    pacing.loaded(numbered(2), 750ms, start);
    CHECK_FALSE(pacing.may_begin(numbered(3), {}, start));
    CHECK(pacing.may_begin(numbered(3), {}, start + 2 * 500ms));
}

TEST_CASE("an engine that has restarted has nothing in its memory") {
    load_pacing pacing{{}};
    pacing.loaded(numbered(1), 250ms, start);
    pacing.restarted();
    const std::vector<adapter_version> one_from_store{numbered(2)};
    CHECK_FALSE(pacing.may_begin(numbered(1), one_from_store, start));
}

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

adapter_version make_adapter(std::size_t number) {
    return {"m/a" + std::to_string(number), "1"};
}

struct load_in_progress {
    adapter_version adapter;
    time_point began;
    /// Remaining time of the load at the store's full speed.
    double remaining_ms = 0;
};

struct simulated_engine {
    load_pacing pacing{{}};
    std::vector<load_in_progress> loads;

    [[nodiscard]] std::vector<adapter_version> in_flight() const {
        std::vector<adapter_version> adapters;
        std::ranges::transform(loads, std::back_inserter(adapters), &load_in_progress::adapter);
        return adapters;
    }
};

struct burst_result {
    double loads_per_s = 0;
    double mean_load_ms = 0;
    /// Mean number of slots per engine that are occupied by loads.
    double slots_held_by_loads = 0;
};

/// Simulates engines that continuously load adapters which no engine holds. The store serves up to
/// `store_concurrency` loads of 250 ms each at full speed; with more loads, each slows down in proportion.
burst_result simulate_burst(std::size_t engines, std::size_t store_concurrency) {
    constexpr duration step = 5ms;
    constexpr duration length = 20s;
    constexpr double load_ms = 250;
    std::vector<simulated_engine> fleet(engines);
    std::size_t next_adapter = 0;
    std::size_t ended = 0;
    double taken_ms = 0;
    double held = 0;
    for (time_point now = start; now < start + length; now += step) {
        const std::size_t running = std::accumulate(
            fleet.begin(), fleet.end(), std::size_t{0},
            [](std::size_t sum, const simulated_engine& each) { return sum + each.loads.size(); });
        const double speed = running <= store_concurrency
                                 ? 1.0
                                 : static_cast<double>(store_concurrency) / static_cast<double>(running);
        held += static_cast<double>(running);
        for (simulated_engine& engine : fleet) {
            for (load_in_progress& load : engine.loads) {
                load.remaining_ms -= static_cast<double>(milliseconds_in(step)) * speed;
                if (load.remaining_ms <= 0) {
                    engine.pacing.on_loaded(load.adapter, now - load.began, now);
                    taken_ms += static_cast<double>(milliseconds_in(now - load.began));
                    ++ended;
                }
            }
            std::erase_if(engine.loads, [](const load_in_progress& load) { return load.remaining_ms <= 0; });
            while (engine.pacing.may_begin(make_adapter(next_adapter), engine.in_flight(), now)) {
                engine.loads.push_back({make_adapter(next_adapter++), now, load_ms});
            }
        }
    }
    const double steps = static_cast<double>(length / step);
    return {static_cast<double>(ended) / std::chrono::duration<double>(length).count(),
            taken_ms / static_cast<double>(ended), held / steps / static_cast<double>(engines)};
}

} // namespace

TEST_CASE("under a burst of loads from the store, loads do not fill the slots of all engines") {
    // Without pacing, 88 concurrent loads (in the scale-2 setup of the larger deployments) took 1.4 s each
    // and occupied a quarter of all slots meanwhile, without a higher throughput of the store.
    const burst_result outcome = simulate_burst(44, 16);
    const double store_rate = 16 / 0.25;
    CHECK(outcome.loads_per_s > 0.9 * store_rate);
    CHECK(outcome.mean_load_ms < 2 * 250);
    CHECK(outcome.slots_held_by_loads < 1.0);
}

TEST_CASE("pacing does not slow down the loads of a few engines") {
    const burst_result outcome = simulate_burst(8, 8);
    CHECK(outcome.loads_per_s > 0.9 * 8 / 0.25);
    CHECK(outcome.mean_load_ms < 1.1 * 250);
}

TEST_CASE("an adapter in the engine's memory cache does not wait for the store") {
    load_pacing pacing{{}};
    pacing.on_loaded(make_adapter(1), 2s, start);
    const std::vector<adapter_version> one_from_store{make_adapter(2)};
    CHECK(pacing.may_begin(make_adapter(1), one_from_store, start));
    CHECK_FALSE(pacing.may_begin(make_adapter(3), one_from_store, start));
}

TEST_CASE("concurrent loads do not exceed the limit of the engine") {
    // The engine refuses the order for a load beyond its limit.
    load_pacing pacing{{}};
    std::vector<adapter_version> in_flight;
    for (std::size_t number = 0; number < 3; ++number) {
        pacing.on_loaded(make_adapter(number), 250ms, start);
        in_flight.push_back(make_adapter(number));
    }
    pacing.on_loaded(make_adapter(3), 250ms, start);
    CHECK_FALSE(pacing.may_begin(make_adapter(3), in_flight, start));
}

TEST_CASE("after a slow load the next load from the store is delayed, after one of nominal time it is not") {
    load_pacing pacing{{}};
    pacing.on_loaded(make_adapter(1), 250ms, start);
    CHECK(pacing.may_begin(make_adapter(2), {}, start));
    pacing.on_loaded(make_adapter(2), 750ms, start);
    CHECK_FALSE(pacing.may_begin(make_adapter(3), {}, start));
    CHECK(pacing.may_begin(make_adapter(3), {}, start + 2 * 500ms));
}

TEST_CASE("a restart of the engine empties its memory cache") {
    load_pacing pacing{{}};
    pacing.on_loaded(make_adapter(1), 250ms, start);
    pacing.on_engine_restart();
    const std::vector<adapter_version> one_from_store{make_adapter(2)};
    CHECK_FALSE(pacing.may_begin(make_adapter(1), one_from_store, start));
}

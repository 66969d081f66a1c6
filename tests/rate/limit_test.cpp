#include "tests/rate/rate_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace samphiretray;
using namespace samphiretray::rate;
using rate::testing::rate_simulation;

namespace {

/// One round of a scenario: message faults, a pause that refills the buckets, reservations that are settled
/// without use, a fault of one process, and more simultaneous requests than the limit allows.
struct fault_round {
    bool has_message_faults = false;
    int lost = 0;
    int duplicated = 0;
    int delayed = 0;
    bool service_down = false;
    int idle_ms = 0;
    int holders_without_use = 0;
    int fault_kind = 0;
    int selector = 0;
    int fault_duration_ms = 0;
    int pause_after_fault_ms = 0;
    int requests_per_holder = 1;
};

/// A random number below `bound`, at the nominal size so that rapidcheck does not narrow the range.
int random_below(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

fault_round random_round() {
    return {.has_message_faults = random_below(2) == 0,
            .lost = random_below(20),
            .duplicated = random_below(40),
            .delayed = random_below(30),
            .service_down = random_below(6) == 0,
            .idle_ms = random_below(6000),
            .holders_without_use = random_below(8),
            .fault_kind = random_below(5),
            .selector = random_below(100),
            .fault_duration_ms = random_below(4000),
            .pause_after_fault_ms = random_below(3000),
            .requests_per_holder = 1 + random_below(20)};
}

void inject_fault(rate_simulation& simulated, const fault_round& chosen) {
    const auto span = std::chrono::milliseconds{chosen.fault_duration_ms};
    const int region = chosen.selector % simulated.regions();
    if (chosen.fault_kind == 0) {
        simulated.pause_holder(chosen.selector % simulated.holders(), span);
    } else if (chosen.fault_kind == 1) {
        simulated.pause_issuer(region, span);
    } else if (chosen.fault_kind == 2) {
        simulated.fail_over(region, span / 4);
    } else if (chosen.fault_kind == 3) {
        simulated.pause_issuer(region, span);
        simulated.fail_over(region, span / 4);
    }
}

void request_all(rate_simulation& simulated, double burst, int holders, int requests_per_holder,
                 double used_ratio, duration length) {
    const auto each =
        static_cast<std::uint64_t>(std::max(1.0, burst / simulated.holders() / requests_per_holder));
    for (int holder_index = 0; holder_index < holders; ++holder_index) {
        for (int copy = 0; copy < requests_per_holder; ++copy) {
            const auto used_tokens = static_cast<std::uint64_t>(static_cast<double>(each) * used_ratio);
            simulated.request(holder_index % simulated.holders(), each, used_tokens, length, 4s);
        }
    }
}

void run_round(rate_simulation& simulated, const fault_round& chosen, double burst, bool with_excess) {
    simulated.fault = {};
    if (chosen.has_message_faults) {
        simulated.fault = {chosen.lost, chosen.duplicated, chosen.delayed, chosen.service_down};
    }
    simulated.run(std::chrono::milliseconds{chosen.idle_ms});
    request_all(simulated, burst, chosen.holders_without_use, 2, 0,
                std::chrono::milliseconds{chosen.selector});
    simulated.run(std::chrono::milliseconds{chosen.selector * 2});
    inject_fault(simulated, chosen);
    simulated.run(std::chrono::milliseconds{chosen.pause_after_fault_ms});
    request_all(simulated, burst, 2 * simulated.holders(), chosen.requests_per_holder, with_excess ? 1.5 : 1,
                2s);
}

void run_scenario(bool with_excess) {
    const int regions = 1 + random_below(3);
    const double rate = 100 + random_below(3000);
    const double burst = rate * (2 + random_below(40)) / 10;
    rate_simulation simulated{regions, 3, {rate, burst}, *rc::gen::arbitrary<std::uint64_t>()};
    const time_point start = simulated.now;
    for (int each = 0; each < 8; ++each) {
        run_round(simulated, random_round(), burst, with_excess);
    }
    simulated.run(3s);
    const double seconds = std::chrono::duration<double>(simulated.now - start).count();
    const double charged = simulated.used_within_bounds() + simulated.excess - simulated.debt();
    RC_ASSERT(simulated.largest_share_sum() <= full_share);
    RC_ASSERT(simulated.largest_burst() <= burst + 1e-3);
    RC_ASSERT(charged <= burst + rate * seconds + 1e-3);
}

void run_scenarios(bool with_excess) {
    // Several scenarios for each case, since most violations need rare coincidences.
    for (int each = 0; each < 6; ++each) {
        run_scenario(with_excess);
    }
}

} // namespace

// Guards against a grant that is spent twice, or is spent after another region or issuer granted the tokens
// again.
TEST_CASE("rate and burst hold in every window under pauses, lost or delayed messages and fail-overs") {
    CHECK(rc::check([] { run_scenarios(false); }));
}

// Guards against tokens used beyond a reserved bound that are never repaid. In every window the limit holds
// for the use within the bounds, and over the whole run for all use less the outstanding debt.
TEST_CASE("tokens used beyond the reserved bound are repaid from later grants") {
    CHECK(rc::check([] { run_scenarios(true); }));
}

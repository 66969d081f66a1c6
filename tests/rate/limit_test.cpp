#include "tests/rate/world.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace samphiretray;
using namespace samphiretray::rate;
using rate::testing::world;

namespace {

/// One round of a script: faults, a pause that fills the buckets, reservations that are given back, a fault
/// of one process, and more requests at once than the limit allows.
struct round_of_faults {
    bool faults = false;
    int lost = 0;
    int duplicated = 0;
    int late = 0;
    bool service_down = false;
    int idle_ms = 0;
    int hoarders = 0;
    int kind = 0;
    int where = 0;
    int span_ms = 0;
    int then_ms = 0;
    int pieces = 1;
};

/// A number below `bound`; at the nominal size rapidcheck does not narrow the range.
int pick(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

round_of_faults pick_round() {
    return {.faults = pick(2) == 0,
            .lost = pick(20),
            .duplicated = pick(40),
            .late = pick(30),
            .service_down = pick(6) == 0,
            .idle_ms = pick(6000),
            .hoarders = pick(8),
            .kind = pick(5),
            .where = pick(100),
            .span_ms = pick(4000),
            .then_ms = pick(3000),
            .pieces = 1 + pick(20)};
}

void perform_fault(world& simulated, const round_of_faults& chosen) {
    const auto span = std::chrono::milliseconds{chosen.span_ms};
    const int region = chosen.where % simulated.regions();
    if (chosen.kind == 0) {
        simulated.pause_holder(chosen.where % simulated.holders(), span);
    } else if (chosen.kind == 1) {
        simulated.pause_issuer(region, span);
    } else if (chosen.kind == 2) {
        simulated.fail_over(region, span / 4);
    } else if (chosen.kind == 3) {
        simulated.pause_issuer(region, span);
        simulated.fail_over(region, span / 4);
    }
}

void request_all(world& simulated, double burst, int holders, int pieces, double used, duration length) {
    const auto each = static_cast<std::uint64_t>(std::max(1.0, burst / simulated.holders() / pieces));
    for (int number = 0; number < holders; ++number) {
        for (int piece = 0; piece < pieces; ++piece) {
            const auto real = static_cast<std::uint64_t>(static_cast<double>(each) * used);
            simulated.request(number % simulated.holders(), each, real, length, 4s);
        }
    }
}

void perform(world& simulated, const round_of_faults& chosen, double burst, bool with_excess) {
    simulated.fault = {};
    if (chosen.faults) {
        simulated.fault = {chosen.lost, chosen.duplicated, chosen.late, chosen.service_down};
    }
    simulated.run(std::chrono::milliseconds{chosen.idle_ms});
    request_all(simulated, burst, chosen.hoarders, 2, 0, std::chrono::milliseconds{chosen.where});
    simulated.run(std::chrono::milliseconds{chosen.where * 2});
    perform_fault(simulated, chosen);
    simulated.run(std::chrono::milliseconds{chosen.then_ms});
    request_all(simulated, burst, 2 * simulated.holders(), chosen.pieces, with_excess ? 1.5 : 1, 2s);
}

void run_script(bool with_excess) {
    const int regions = 1 + pick(3);
    const double rate = 100 + pick(3000);
    const double burst = rate * (2 + pick(40)) / 10;
    world simulated{regions, 3, {rate, burst}, *rc::gen::arbitrary<std::uint64_t>()};
    const time_point start = simulated.now;
    for (int each = 0; each < 8; ++each) {
        perform(simulated, pick_round(), burst, with_excess);
    }
    simulated.run(3s);
    const double seconds = std::chrono::duration<double>(simulated.now - start).count();
    const double paid = simulated.reserved() + simulated.excess - simulated.debt();
    RC_ASSERT(simulated.largest_sum() <= whole_part);
    RC_ASSERT(simulated.largest_burst() <= burst + 1e-3);
    RC_ASSERT(paid <= burst + rate * seconds + 1e-3);
}

void run_scripts(bool with_excess) {
    // Several worlds for each case, since most violations need rare coincidences.
    for (int each = 0; each < 6; ++each) {
        run_script(with_excess);
    }
}

} // namespace

// Guards against a grant that is spent twice, or after another region or issuer gave the tokens out again.
TEST_CASE("no window sees more than burst and rate, whatever is paused, lost, late or taken over") {
    CHECK(rc::check([] { run_scripts(false); }));
}

// Guards against use above the reserved bound that is never paid for. The limit then holds for what was
// reserved in every window, and for all use less the debt that is still owed.
TEST_CASE("use above the reserved bound is paid by later grants") {
    CHECK(rc::check([] { run_scripts(true); }));
}

#include "tests/rate/rate_simulation.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <random>
#include <ranges>
#include <utility>

using namespace samphiretray;
using namespace samphiretray::rate;
using rate::testing::rate_simulation;

namespace {

/// A single central bucket that serves requests in order of arrival. Its refusals are the fewest that the
/// limit allows.
struct central_bucket {
    token_bucket bucket;
    std::deque<std::pair<time_point, double>> waiting;
    int refused = 0;

    void run(time_point now) {
        bucket.refill(now);
        while (!waiting.empty()) {
            const auto [deadline, tokens] = waiting.front();
            if (deadline > now && !bucket.try_take(tokens)) {
                return;
            }
            refused += deadline <= now ? 1 : 0;
            waiting.pop_front();
        }
    }
};

/// Sends requests of 50 to 150 tokens at random times to `simulated` and to one central bucket.
struct request_generator {
    rate_simulation& simulated;
    central_bucket& central;
    std::mt19937_64& random;
    double tokens_per_second;
    /// Percentage of the requests that go to the first region only; half of all requests go to its first
    /// entry.
    int skew_percent;

    void send_request() {
        const int per_region = simulated.holders() / simulated.regions();
        const bool skewed = static_cast<int>(random() % 100) < skew_percent;
        const auto holder_index = static_cast<int>(random() % 2 == 0 ? 0 : random() % 1000);
        const std::uint64_t bound = 50 + random() % 101;
        simulated.request(holder_index % (skewed ? per_region : simulated.holders()), bound, bound, 1s, 1s);
        central.waiting.emplace_back(simulated.now + 1s, static_cast<double>(bound));
    }

    void run(duration span) {
        const time_point end = simulated.now + span;
        std::exponential_distribution<double> gap(tokens_per_second / 100 / 1e6);
        double due = gap(random);
        while (simulated.now < end) {
            simulated.run(5ms);
            for (due -= 5000; due < 0; due += gap(random)) {
                send_request();
            }
            central.run(simulated.now);
        }
    }
};

} // namespace

// Guards against needless refusals while tokens lie unused in other entries or regions.
TEST_CASE("demand below the rate is rarely refused and waits briefly, also under skew") {
    CHECK(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        std::mt19937_64 random(seed);
        const int regions = 1 + static_cast<int>(random() % 3);
        const int skew_percent = static_cast<int>(random() % 101);
        rate_simulation simulated{regions, 4, {2000, 4000}, seed};
        central_bucket central{token_bucket{{2000, 4000}, 0, simulated.now}, {}, 0};
        request_generator offered{simulated, central, random, 1400, skew_percent};
        offered.run(40s);
        simulated.granted = simulated.refused = central.refused = 0;
        simulated.waits.clear();
        offered.run(60s);
        std::ranges::sort(simulated.waits);
        const auto median = simulated.waits[simulated.waits.size() / 2];
        const auto p95 = simulated.waits[simulated.waits.size() * 95 / 100];
        RC_LOG() << "regions " << regions << " skew " << skew_percent << " granted " << simulated.granted
                 << " refused " << simulated.refused << " centrally " << central.refused << " p95 wait "
                 << p95.count() << " us";
        RC_ASSERT((simulated.refused - central.refused) * 33 <= simulated.granted);
        RC_ASSERT(median <= 50ms);
        // With several regions, a rise of the demand in one of them waits for a transfer of shares.
        RC_ASSERT((p95 <= 300ms || regions > 1));
    }));
}

// Guards against starvation: of an entry whose neighbours with more demand take all tokens, and of a large
// reservation that small ones keep overtaking.
TEST_CASE("no entry starves when the demand is several times the rate") {
    rate_simulation simulated{1, 6, {1000, 2000}, 1};
    std::mt19937_64 random(1);
    for (int each = 0; each < 600; ++each) {
        for (int holder = 0; holder < 5; ++holder) {
            // The first entry has ten times the demand of any other.
            for (int copy = 0; copy < (holder == 0 ? 10 : 1); ++copy) {
                simulated.request(holder, 50 + random() % 101, 100, 500ms, 1s);
            }
        }
        if (each % 20 == 0) {
            simulated.request(5, 900, 900, 500ms, 6s);
        }
        simulated.run(100ms);
    }
    CAPTURE(simulated.granted_by_holder);
    CHECK(std::ranges::min(simulated.granted_by_holder | std::views::take(5)) >= 40);
    CHECK(simulated.granted_by_holder[5] >= 8);
    CHECK(simulated.used_within_bounds() >= 50'000);
}

// Guards against a new issuer that writes a lower share while grants of the previous one are in use.
TEST_CASE("a new issuer neither grants tokens nor lowers its share before old grants have expired") {
    const time_point start{100s};
    grant_issuer issuer{"org", {1000, 1000}, start + grant_validity};
    wire::grant_request request;
    request.round = 1;
    request.tokens = 10;
    CHECK_FALSE(issuer.within_limits(start + 1s));
    CHECK(issuer.answer("holder", request, true, start + 1s).tokens == 0);
    CHECK(issuer.within_limits(start + grant_validity));
    request.round = 2;
    CHECK_FALSE(issuer.answer("holder", request, false, start + 3s).issuer);
    CHECK(issuer.answer("holder", request, true, start + 3s).tokens == 10);
}

// Guards against a stopping entry that keeps its event loop busy or takes tokens that it cannot use.
TEST_CASE("a stopped holder returns its tokens and requests no more") {
    time_point now{100s};
    grant_issuer issuer{"org", {1000, 1000}, now};
    grant_holder holder{"org"};
    now += 1s;
    CHECK(holder.reserve(1, 100, now + 1s, now) == reserve_result::waiting);
    holder.on_reply(issuer.answer("holder", *holder.next_request(now), true, now), now);
    CHECK(holder.take_decisions(now).at(0).granted);
    CHECK(holder.reserve(2, 2000, now + 1s, now) == reserve_result::waiting);
    holder.settle(1, 150, now);
    CHECK(holder.debt() == 50);
    (void)holder.return_all(now);
    CHECK_FALSE(holder.take_decisions(now).at(0).granted);
    now += 1s;
    CHECK_FALSE(holder.next_request(now));
    CHECK_FALSE(holder.wake_at());
    CHECK(holder.reserve(3, 1, now + 1s, now) == reserve_result::refused);
}

#include "samphiretray/rate/fleet_rate_limiter.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace samphiretray;
using namespace samphiretray::rate;

namespace {

const time_point start{1h};
constexpr bucket_limits limits{80'000, 80'000};

/// Entries that pull each other's reports at an interval, unless they are isolated.
struct small_fleet {
    std::vector<fleet_rate_limiter> entries;
    time_point now = start;
    duration pull_interval = 250ms;
    std::vector<bool> is_isolated;

    explicit small_fleet(std::size_t count) : is_isolated(count, false) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back(name(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            entries.emplace_back(fleet_rate_limiter_settings{});
            entries.back().set_limits("coop", limits, now);
            std::vector<std::string> peers = names;
            std::erase(peers, name(i));
            entries.back().set_peers(peers, now);
        }
        pull_all();
    }

    static std::string name(std::size_t i) { return "entry-" + std::to_string(i); }

    void pull_all() {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            for (std::size_t j = 0; j < entries.size(); ++j) {
                if (i != j && !is_isolated[i] && !is_isolated[j]) {
                    entries[i].on_peer_report(name(j), "first", entries[j].spent(), now);
                }
            }
        }
    }

    /// Lets every entry request `cost` tokens at each interval for `time`. Returns the tokens admitted.
    double run(duration time, double cost, duration request_interval) {
        double admitted = 0;
        time_point next_pull = now + pull_interval;
        for (const time_point end = now + time; now < end; now += request_interval) {
            if (now >= next_pull) {
                pull_all();
                next_pull += pull_interval;
            }
            for (fleet_rate_limiter& entry : entries) {
                admitted += entry.take("coop", cost, now) ? 0 : cost;
            }
        }
        return admitted;
    }
};

} // namespace

namespace {

/// Many entries, each of which pulls the reports of its peers one after the other, 20 per second.
struct large_fleet {
    static constexpr std::size_t count = 68;
    static constexpr duration pull_interval = 50ms;
    static constexpr bucket_limits wide_limits{400'000, 400'000};
    std::vector<fleet_rate_limiter> entries;
    std::vector<bool> is_in_second_partition;
    std::size_t next_peer = 1;
    time_point now = start;
    std::size_t refused = 0;

    large_fleet() : is_in_second_partition(count, false) {
        for (std::size_t i = 0; i < count; ++i) {
            entries.emplace_back(fleet_rate_limiter_settings{});
            entries.back().set_limits("coop", wide_limits, now);
            std::vector<std::string> peers;
            for (std::size_t j = 0; j < count; ++j) {
                if (j != i) {
                    peers.push_back(small_fleet::name(j));
                }
            }
            entries.back().set_peers(peers, now);
            entries.back().set_report_interval(pull_interval * (count - 1));
        }
        run(10s, 0);
    }

    /// Lets every entry request `tokens_per_s`. Returns the tokens admitted.
    double run(duration time, double tokens_per_s) {
        double admitted = 0;
        double pending_tokens = 0;
        constexpr double cost = 1500;
        for (const time_point end = now + time; now < end; now += pull_interval) {
            for (std::size_t i = 0; i < count; ++i) {
                const std::size_t peer = (i + next_peer) % count;
                if (is_in_second_partition[i] == is_in_second_partition[peer]) {
                    entries[i].on_peer_report(small_fleet::name(peer), "first", entries[peer].spent(), now);
                }
            }
            next_peer = next_peer % (count - 1) + 1;
            for (pending_tokens += tokens_per_s * 0.05; pending_tokens >= cost; pending_tokens -= cost) {
                for (fleet_rate_limiter& entry : entries) {
                    const bool is_refused = entry.take("coop", cost, now).has_value();
                    refused += is_refused ? 1 : 0;
                    admitted += is_refused ? 0 : cost;
                }
            }
        }
        return admitted;
    }

    [[nodiscard]] static double allowed_tokens(double seconds) {
        // Rate and burst may be exceeded by a tenth plus 72,000 tokens.
        return (wide_limits.rate * seconds + wide_limits.burst) * 1.1 + 72'000;
    }
};

} // namespace

TEST_CASE("in a large fleet, peers that report once a round are not taken for silent") {
    // With 67 peers and 20 pulls per second, a round takes 3.4 s. A silence timeout of 1.5 s made each peer
    // count as spending an equal share of the rate, so that an idle organisation was in debt, and one well
    // below its rate was refused.
    large_fleet simulated;
    for (fleet_rate_limiter& each : simulated.entries) {
        CHECK(each.active_peer_count(simulated.now) == large_fleet::count - 1);
        CHECK_FALSE(each.take("coop", 1500, simulated.now));
        CHECK(each.level("coop") > large_fleet::wide_limits.burst * 0.5);
    }
    const double part = GENERATE(0.2, 0.5, 0.7);
    simulated.run(20s, large_fleet::wide_limits.rate * part / large_fleet::count);
    CHECK(simulated.refused == 0);
}

TEST_CASE("a large fleet stays within rate and burst in a surge, also when it is partitioned") {
    large_fleet simulated;
    const bool is_partitioned = GENERATE(false, true);
    simulated.run(5s, large_fleet::wide_limits.rate * 0.5 / large_fleet::count);
    for (std::size_t i = 0; i < large_fleet::count / 2; ++i) {
        simulated.is_in_second_partition[i] = is_partitioned;
    }
    CHECK(simulated.run(8s, large_fleet::wide_limits.rate * 7.5 / large_fleet::count) <=
          large_fleet::allowed_tokens(8));
}

TEST_CASE("five entries together stay within rate and burst although reports arrive late") {
    // One organisation sends many times its rate through all entries at once.
    small_fleet simulated{5};
    simulated.now += 10s;
    simulated.pull_all();
    // 7.5 times the rate.
    const double admitted = simulated.run(8s, 9000, 75ms);
    // Rate and burst may be exceeded by a tenth plus 72,000 tokens.
    CHECK(admitted <= (limits.rate * 8 + limits.burst) * 1.1 + 72'000);
    CHECK(admitted >= limits.rate * 8 * 0.85);
}

TEST_CASE("partitioned entries do not each spend the whole rate") {
    // The entries are partitioned while an organisation exceeds its rate.
    small_fleet simulated{5};
    simulated.now += 10s;
    simulated.pull_all();
    simulated.run(4s, 9000, 75ms);
    simulated.is_isolated = {true, false, true, false, true};
    simulated.run(2s, 9000, 75ms);
    const double admitted = simulated.run(8s, 9000, 75ms);
    CHECK(admitted <= (limits.rate * 8 + limits.burst) * 1.1 + 72'000);
}

TEST_CASE("an organisation below its rate is never refused, however unevenly its requests are spread") {
    small_fleet simulated{5};
    simulated.now += 10s;
    simulated.pull_all();
    for (int i = 0; i < 80; ++i) {
        simulated.now += 150ms;
        simulated.pull_all();
        // 60,000 tokens per second through one of five entries.
        CHECK_FALSE(simulated.entries[2].take("coop", 9000, simulated.now));
    }
}

TEST_CASE("a request larger than the burst is admitted, and its debt is repaid before the next one") {
    fleet_rate_limiter usage{{}};
    usage.set_limits("coop", {1000, 1000}, start);
    CHECK_FALSE(usage.take("coop", 5000, start + 5s));
    const auto wait = usage.take("coop", 100, start + 5s);
    REQUIRE(wait);
    CHECK(*wait >= 4s);
    CHECK_FALSE(usage.take("coop", 100, start + 5s + *wait + 1ms));
}

TEST_CASE("a restarted entry starts with an empty bucket") {
    // Guards against a second burst after all entries are killed while an organisation exceeds its rate.
    fleet_rate_limiter usage{{}};
    usage.set_limits("coop", limits, start);
    CHECK(usage.take("coop", 9000, start));
    CHECK_FALSE(usage.take("coop", 9000, start + 1s));
}

TEST_CASE("tokens of a request that did not run are refunded") {
    fleet_rate_limiter usage{{}};
    usage.set_limits("coop", {1000, 1000}, start);
    REQUIRE_FALSE(usage.take("coop", 1000, start + 1s));
    REQUIRE(usage.take("coop", 1000, start + 1s));
    usage.refund("coop", 1000);
    CHECK_FALSE(usage.take("coop", 1000, start + 1s));
    CHECK(usage.spent().front().tokens == 1000);
}

TEST_CASE("a peer's restart does not count as negative spending") {
    fleet_rate_limiter usage{{}};
    usage.set_limits("coop", {1000, 1000}, start);
    usage.set_peers({"entry-1"}, start);
    usage.on_peer_report("entry-1", "first", {{"coop", 50'000}}, start + 1s);
    usage.on_peer_report("entry-1", "second", {{"coop", 800}}, start + 1s);
    CHECK(usage.take("coop", 400, start + 1s));
    CHECK_FALSE(usage.take("coop", 150, start + 1s));
}

TEST_CASE("organisations without a limit are never refused") {
    fleet_rate_limiter usage{{}};
    usage.set_limits("coop", {0, 0}, start);
    CHECK_FALSE(usage.take("coop", 1e9, start));
    CHECK_FALSE(usage.take("unknown", 1e9, start));
}

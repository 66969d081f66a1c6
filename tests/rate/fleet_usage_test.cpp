#include "samphiretray/rate/fleet_usage.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <deque>

using namespace samphiretray;
using namespace samphiretray::rate;

namespace {

const time_point start{1h};
constexpr bucket_limits limits{80'000, 80'000};

/// Entries that pull each other's reports at an interval, unless they are cut off, and all ask for more than
/// the rate allows.
struct fleet {
    std::vector<fleet_usage> entries;
    time_point now = start;
    duration pull_interval = 250ms;
    std::vector<bool> cut;

    explicit fleet(std::size_t count) : cut(count, false) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back(name(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            entries.emplace_back(usage_settings{});
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
                if (i != j && !cut[i] && !cut[j]) {
                    entries[i].observe(name(j), "first", entries[j].spent(), now);
                }
            }
        }
    }

    /// Runs for `time` and returns the tokens admitted.
    double run(duration time, double cost, duration between) {
        double admitted = 0;
        time_point next_pull = now + pull_interval;
        for (const time_point end = now + time; now < end; now += between) {
            if (now >= next_pull) {
                pull_all();
                next_pull += pull_interval;
            }
            for (fleet_usage& entry : entries) {
                admitted += entry.take("coop", cost, now) ? 0 : cost;
            }
        }
        return admitted;
    }
};

} // namespace

namespace {

/// Many entries, each of which asks one peer after the other, twenty a second.
struct large_fleet {
    static constexpr std::size_t count = 68;
    static constexpr duration between_pulls = 50ms;
    static constexpr bucket_limits wide_limits{400'000, 400'000};
    std::vector<fleet_usage> entries;
    std::vector<bool> is_apart;
    std::size_t next_peer = 1;
    time_point now = start;
    std::size_t refused = 0;

    large_fleet() : is_apart(count, false) {
        for (std::size_t i = 0; i < count; ++i) {
            entries.emplace_back(usage_settings{});
            entries.back().set_limits("coop", wide_limits, now);
            std::vector<std::string> peers;
            for (std::size_t j = 0; j < count; ++j) {
                if (j != i) {
                    peers.push_back(fleet::name(j));
                }
            }
            entries.back().set_peers(peers, now);
            entries.back().set_report_interval(between_pulls * (count - 1));
        }
        run(10s, 0);
    }

    /// Every entry spends `tokens_per_s`, as far as it is let. Returns the tokens admitted.
    double run(duration time, double tokens_per_s) {
        double admitted = 0;
        double asked_for = 0;
        constexpr double cost = 1500;
        for (const time_point end = now + time; now < end; now += between_pulls) {
            for (std::size_t i = 0; i < count; ++i) {
                const std::size_t peer = (i + next_peer) % count;
                if (is_apart[i] == is_apart[peer]) {
                    entries[i].observe(fleet::name(peer), "first", entries[peer].spent(), now);
                }
            }
            next_peer = next_peer % (count - 1) + 1;
            for (asked_for += tokens_per_s * 0.05; asked_for >= cost; asked_for -= cost) {
                for (fleet_usage& entry : entries) {
                    const bool is_refused = entry.take("coop", cost, now).has_value();
                    refused += is_refused ? 1 : 0;
                    admitted += is_refused ? 0 : cost;
                }
            }
        }
        return admitted;
    }

    [[nodiscard]] static double most_in(double seconds) {
        // The operators' tolerance: a tenth and 72,000 tokens.
        return (wide_limits.rate * seconds + wide_limits.burst) * 1.1 + 72'000;
    }
};

} // namespace

TEST_CASE("in a large fleet, peers that answer in their turn are not taken to be silent") {
    // Pattern: 67 peers asked twenty a second, a round of 3.4 s. After 1.5 s each was taken to spend its even
    // part of the rate, so that an idle organisation was found in debt, and one well below its rate was
    // refused.
    large_fleet all;
    for (fleet_usage& each : all.entries) {
        CHECK(each.heard_peers(all.now) == large_fleet::count - 1);
        CHECK_FALSE(each.take("coop", 1500, all.now));
        CHECK(each.level("coop") > large_fleet::wide_limits.burst * 0.5);
    }
    const double part = GENERATE(0.2, 0.5, 0.7);
    all.run(20s, large_fleet::wide_limits.rate * part / large_fleet::count);
    CHECK(all.refused == 0);
}

TEST_CASE("a large fleet stays within rate and burst in a surge, whole or in two parts") {
    large_fleet all;
    const bool is_parted = GENERATE(false, true);
    all.run(5s, large_fleet::wide_limits.rate * 0.5 / large_fleet::count);
    for (std::size_t i = 0; i < large_fleet::count / 2; ++i) {
        all.is_apart[i] = is_parted;
    }
    CHECK(all.run(8s, large_fleet::wide_limits.rate * 7.5 / large_fleet::count) <= large_fleet::most_in(8));
}

TEST_CASE("five entries together stay within rate and burst although they hear of each other late") {
    // Pattern: one organisation sends many times its rate, through all entries at once.
    fleet all{5};
    all.now += 10s;
    all.pull_all();
    // 7.5 times the rate, as in a surge of one organisation.
    const double admitted = all.run(8s, 9000, 75ms);
    // The operators' tolerance: a tenth and 72,000 tokens.
    CHECK(admitted <= (limits.rate * 8 + limits.burst) * 1.1 + 72'000);
    CHECK(admitted >= limits.rate * 8 * 0.85);
}

TEST_CASE("entries that cannot hear of each other do not each spend the whole rate") {
    // Pattern: entries are partitioned while an organisation is over its rate.
    fleet all{5};
    all.now += 10s;
    all.pull_all();
    all.run(4s, 9000, 75ms);
    all.cut = {true, false, true, false, true};
    all.run(2s, 9000, 75ms);
    const double admitted = all.run(8s, 9000, 75ms);
    CHECK(admitted <= (limits.rate * 8 + limits.burst) * 1.1 + 72'000);
}

TEST_CASE("an organisation below its rate is never refused, however uneven its callers are spread") {
    fleet all{5};
    all.now += 10s;
    all.pull_all();
    for (int i = 0; i < 80; ++i) {
        all.now += 150ms;
        all.pull_all();
        // 60,000 tokens a second through one entry of five.
        CHECK_FALSE(all.entries[2].take("coop", 9000, all.now));
    }
}

TEST_CASE("a request larger than the burst is admitted, and its debt is paid before the next") {
    fleet_usage usage{{}};
    usage.set_limits("coop", {1000, 1000}, start);
    CHECK_FALSE(usage.take("coop", 5000, start + 5s));
    const auto wait = usage.take("coop", 100, start + 5s);
    REQUIRE(wait);
    CHECK(*wait >= 4s);
    CHECK_FALSE(usage.take("coop", 100, start + 5s + *wait + 1ms));
}

TEST_CASE("a restarted entry has no burst of its own to give out") {
    // Pattern: all entries are killed at once while an organisation is over its rate.
    fleet_usage usage{{}};
    usage.set_limits("coop", limits, start);
    CHECK(usage.take("coop", 9000, start));
    CHECK_FALSE(usage.take("coop", 9000, start + 1s));
}

TEST_CASE("tokens of a request that did not run are given back") {
    fleet_usage usage{{}};
    usage.set_limits("coop", {1000, 1000}, start);
    REQUIRE_FALSE(usage.take("coop", 1000, start + 1s));
    REQUIRE(usage.take("coop", 1000, start + 1s));
    usage.put_back("coop", 1000);
    CHECK_FALSE(usage.take("coop", 1000, start + 1s));
    CHECK(usage.spent().front().tokens == 1000);
}

TEST_CASE("a peer's restart does not count its first requests as negative spending") {
    fleet_usage usage{{}};
    usage.set_limits("coop", {1000, 1000}, start);
    usage.set_peers({"entry-1"}, start);
    usage.observe("entry-1", "first", {{"coop", 50'000}}, start + 1s);
    usage.observe("entry-1", "second", {{"coop", 800}}, start + 1s);
    CHECK(usage.take("coop", 400, start + 1s));
    CHECK_FALSE(usage.take("coop", 150, start + 1s));
}

TEST_CASE("organisations without a limit are not held up") {
    fleet_usage usage{{}};
    usage.set_limits("coop", {0, 0}, start);
    CHECK_FALSE(usage.take("coop", 1e9, start));
    CHECK_FALSE(usage.take("unknown", 1e9, start));
}

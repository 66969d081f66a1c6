#include "samphiretray/rate/region_shares.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <functional>
#include <numeric>
#include <optional>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::rate;

namespace {

int random_below(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

/// Regions whose duty terms end at random, and a key-value service whose calls and answers are lost or late.
struct simulation {
    struct region {
        region_shares shares;
        /// Largest share whose grants may still be in use.
        std::uint32_t effective = 0;
        std::optional<shares_call> sent;
        double demand = 0;
    };

    std::vector<region> regions;
    /// Writes that have not taken effect yet, also those of earlier terms.
    std::vector<ports::swap_request> delayed_writes;
    ports::versioned_value stored;
    time_point now{100s};
    std::uint64_t terms = 0;

    region_shares start_term(std::size_t number, std::size_t count) {
        return {"org",
                "region" + std::to_string(number),
                ++terms,
                count,
                {.write_interval = 1s, .read_interval = 500ms, .retry_interval = 100ms}};
    }

    result<std::uint64_t> apply(const ports::swap_request& swap) {
        if (swap.expected_revision != stored.revision) {
            return make_error(errc::conflict, step::lease, "kv", "conflict");
        }
        stored = {swap.value, stored.revision + 1};
        return stored.revision;
    }

    void call(region& target) {
        const bool lowered = target.effective <= target.shares.share();
        target.sent = target.shares.next_call({target.demand, 0}, {1000, 1000}, lowered, now);
    }

    /// Answers a call. By `outcome` it succeeds, has no effect, has an effect but its answer is lost, or has
    /// a late effect.
    void answer(region& target, int outcome) {
        const auto failure = make_error(errc::timeout, step::lease, "kv", "timeout");
        if (const auto* read = std::get_if<read_shares>(&*target.sent)) {
            target.shares.on_read(read->call, outcome < 5 ? result(stored) : failure, now);
        } else {
            const auto& write = std::get<write_shares>(*target.sent);
            const auto applied = outcome < 5 || outcome == 6 ? apply(write.swap) : failure;
            if (outcome == 7) {
                delayed_writes.push_back(write.swap);
            }
            target.shares.on_written(write.call, outcome < 5 ? applied : failure, now);
        }
        target.sent.reset();
    }

    void step(int kind, region& target, std::size_t number) {
        if (kind == 0 && !delayed_writes.empty()) {
            (void)apply(delayed_writes.back());
            delayed_writes.pop_back();
        } else if (kind == 1 && random_below(5) == 0) {
            // The grants of the ended term are still in use.
            target.shares = start_term(number, regions.size());
            target.sent.reset();
        } else if (kind == 2 && random_below(5) == 0) {
            target.demand = random_below(3) * 500;
        } else if (kind == 3) {
            target.effective = target.shares.share();
        } else if (target.sent) {
            answer(target, random_below(4) > 0 ? 0 : random_below(9));
        } else {
            call(target);
        }
        target.effective = std::max(target.effective, target.shares.share());
        now += std::chrono::milliseconds{random_below(600)};
    }

    [[nodiscard]] std::uint64_t effective_sum() const {
        return std::accumulate(
            regions.begin(), regions.end(), std::uint64_t{0},
            [](std::uint64_t total, const region& each) { return total + each.effective; });
    }
};

} // namespace

// Guards against tokens granted twice: by a transfer whose answer was lost, by a delayed write of an earlier
// term, or by writing a lower share while grants of the old one are in use.
TEST_CASE("shares whose grants are in use never sum to more than the full share") {
    CHECK(rc::check([] {
        simulation simulated;
        const int count = 2 + random_below(3);
        for (int each = 0; each < count; ++each) {
            const auto number = static_cast<std::size_t>(each);
            simulated.regions.push_back(
                {simulated.start_term(number, static_cast<std::size_t>(count)), 0, {}, 0});
        }
        for (int each = 0; each < 1500; ++each) {
            const auto number = static_cast<std::size_t>(random_below(count));
            simulated.step(random_below(15), simulated.regions[number], number);
            RC_ASSERT(simulated.effective_sum() <= full_share);
        }
        RC_CLASSIFY(simulated.stored.revision > 50);
    }));
}

// Guards against a delayed write of an earlier term that lowers a share which the new term has put in force.
TEST_CASE("a new term has no share before its own first write") {
    const ports::versioned_value stored{"shares 1\na 500000 0 7\n", 3};
    region_shares shares{"org", "a", 8, 2};
    const time_point now{1s};
    const auto read = shares.next_call({}, {1000, 1000}, true, now);
    shares.on_read(std::get<read_shares>(*read).call, stored, now);
    CHECK(shares.share() == 0);
    const auto write = std::get<write_shares>(*shares.next_call({}, {1000, 1000}, true, now));
    CHECK(write.swap.expected_revision == 3);
    CHECK(write.swap.value == "shares 1\na 500000 0 8\n");
    shares.on_written(write.call, std::uint64_t{4}, now);
    CHECK(shares.share() == 500'000);
}

TEST_CASE("a shares record survives a round trip and malformed records are refused") {
    const shares_record record{{{"luzon", 400'000, 500'000, 7}, {"visayas", 600'000, 10, 8}}};
    const auto parsed = parse_shares(format_shares(record));
    REQUIRE(parsed);
    CHECK(format_shares(*parsed) == format_shares(record));
    CHECK(unassigned(*parsed) == 0);
    CHECK_FALSE(parse_shares("shares 2\n"));
    CHECK_FALSE(parse_shares("shares 1\nluzon 1 2\n"));
    CHECK_FALSE(parse_shares("shares 1\na 600000 0 1\nb 600000 0 1\n"));
    CHECK_FALSE(parse_shares("shares 1\na 1 0 1\na 1 0 1\n"));
    CHECK_FALSE(parse_shares("shares 1\na 1 0 18446744073709551616\n"));
}

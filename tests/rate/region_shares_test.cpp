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

int pick(int bound) {
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
}

/// Regions with terms that end, and a service whose calls and answers are lost or late.
struct model {
    struct region {
        region_shares shares;
        /// Largest part whose grants may still be in use.
        std::uint32_t effective = 0;
        std::optional<shares_call> sent;
        double demand = 0;
    };

    std::vector<region> regions;
    /// Writes on their way, also those of earlier terms.
    std::vector<ports::swap_request> late;
    ports::versioned_value stored;
    time_point now{100s};
    std::uint64_t terms = 0;

    region_shares new_term(std::size_t number, std::size_t count) {
        return {"org",
                "region" + std::to_string(number),
                ++terms,
                count,
                {.write_interval = 1s, .read_interval = 500ms, .retry = 100ms}};
    }

    result<std::uint64_t> apply(const ports::swap_request& swap) {
        if (swap.expected != stored.revision) {
            return make_error(errc::conflict, step::lease, "kv", "conflict");
        }
        stored = {swap.value, stored.revision + 1};
        return stored.revision;
    }

    void call(region& of) {
        const bool lowered = of.effective <= of.shares.part();
        of.sent = of.shares.next_call({of.demand, 0}, {1000, 1000}, lowered, now);
    }

    /// Answers a call: in time, without effect, with a lost answer, or with a late effect.
    void answer(region& of, int fate) {
        const auto failure = make_error(errc::timeout, step::lease, "kv", "timeout");
        if (const auto* read = std::get_if<read_shares>(&*of.sent)) {
            of.shares.on_read(read->call, fate < 5 ? result(stored) : failure, now);
        } else {
            const auto& write = std::get<write_shares>(*of.sent);
            const auto applied = fate < 5 || fate == 6 ? apply(write.swap) : failure;
            if (fate == 7) {
                late.push_back(write.swap);
            }
            of.shares.on_written(write.call, fate < 5 ? applied : failure, now);
        }
        of.sent.reset();
    }

    void step(int kind, region& of, std::size_t number) {
        if (kind == 0 && !late.empty()) {
            (void)apply(late.back());
            late.pop_back();
        } else if (kind == 1 && pick(5) == 0) {
            // The grants of the ended term are still in use.
            of.shares = new_term(number, regions.size());
            of.sent.reset();
        } else if (kind == 2 && pick(5) == 0) {
            of.demand = pick(3) * 500;
        } else if (kind == 3) {
            of.effective = of.shares.part();
        } else if (of.sent) {
            answer(of, pick(4) > 0 ? 0 : pick(9));
        } else {
            call(of);
        }
        of.effective = std::max(of.effective, of.shares.part());
        now += std::chrono::milliseconds{pick(600)};
    }

    [[nodiscard]] std::uint64_t sum() const {
        return std::accumulate(
            regions.begin(), regions.end(), std::uint64_t{0},
            [](std::uint64_t total, const region& each) { return total + each.effective; });
    }
};

} // namespace

// Guards against tokens given out twice: by a transfer whose answer was lost, by a delayed write of an
// earlier term, or by publishing a lower part while grants of the old one are in use.
TEST_CASE("the parts in use never sum to more than the whole") {
    CHECK(rc::check([] {
        model simulated;
        const int count = 2 + pick(3);
        for (int each = 0; each < count; ++each) {
            const auto number = static_cast<std::size_t>(each);
            simulated.regions.push_back(
                {simulated.new_term(number, static_cast<std::size_t>(count)), 0, {}, 0});
        }
        for (int each = 0; each < 1500; ++each) {
            const auto number = static_cast<std::size_t>(pick(count));
            simulated.step(pick(15), simulated.regions[number], number);
            RC_ASSERT(simulated.sum() <= whole_part);
        }
        RC_CLASSIFY(simulated.stored.revision > 50);
    }));
}

// Guards against a delayed write of an earlier term that lowers a part which the new term has put in force.
TEST_CASE("a new term uses no part before its own first write") {
    const ports::versioned_value stored{"shares 1\na 500000 0 7\n", 3};
    region_shares shares{"org", "a", 8, 2};
    const time_point now{1s};
    const auto read = shares.next_call({}, {1000, 1000}, true, now);
    shares.on_read(std::get<read_shares>(*read).call, stored, now);
    CHECK(shares.part() == 0);
    const auto write = std::get<write_shares>(*shares.next_call({}, {1000, 1000}, true, now));
    CHECK(write.swap.expected == 3);
    CHECK(write.swap.value == "shares 1\na 500000 0 8\n");
    shares.on_written(write.call, std::uint64_t{4}, now);
    CHECK(shares.part() == 500'000);
}

TEST_CASE("a shares record survives a round trip and damaged ones are refused") {
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

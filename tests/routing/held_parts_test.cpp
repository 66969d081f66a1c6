#include "samphiretray/routing/held_parts.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

const time_point start{1000s};

bool is_held(const held_parts& parts, std::vector<part_key> of_request, time_point now) {
    return parts.check(of_request, now).has_value();
}

} // namespace

TEST_CASE("announced parts are held back until their time is over, with the time left") {
    held_parts parts;
    CHECK(parts.merge(std::vector<held_part>{{7, {}, 20s}}, start));
    CHECK_FALSE(parts.merge(std::vector<held_part>{{7, {}, 19s}}, start + 1s));
    const std::vector<part_key> request{1, 7};
    const auto match = parts.check(request, start + 5s);
    REQUIRE(match);
    CHECK(match->part == 7);
    CHECK(match->retry_after == 15s);
    CHECK_FALSE(is_held(parts, {1}, start + 5s));
    CHECK_FALSE(is_held(parts, {7}, start + 20s));
}

TEST_CASE("a part with companions holds back only requests with one of them") {
    held_parts parts;
    parts.merge(std::vector<held_part>{{7, {8, 9}, 20s}}, start);
    CHECK_FALSE(is_held(parts, {1, 7}, start));
    CHECK(is_held(parts, {7, 9}, start));
}

TEST_CASE("an announcement without time left lifts the quarantine") {
    held_parts parts;
    parts.merge(std::vector<held_part>{{7, {}, 20s}, {8, {}, 20s}}, start);
    parts.merge(std::vector<held_part>{{7, {}, 0ms}}, start + 1s);
    CHECK_FALSE(is_held(parts, {7}, start + 1s));
    CHECK(is_held(parts, {8}, start + 1s));
}

TEST_CASE("nothing stays shut out for longer than a minute after the last announcement") {
    held_parts parts;
    parts.merge(std::vector<held_part>{{7, {}, 640s}}, start);
    CHECK(is_held(parts, {7}, start + held_parts::max_unconfirmed_time - 1s));
    CHECK_FALSE(is_held(parts, {7}, start + held_parts::max_unconfirmed_time));
}

TEST_CASE("the number of held parts is bounded, and those that end first are dropped") {
    held_parts parts;
    for (part_key part = 1; part <= held_parts::max_parts + 5; ++part) {
        parts.merge(std::vector<held_part>{{part, {}, std::chrono::milliseconds{1000 + part}}}, start);
    }
    CHECK(parts.count(start) == held_parts::max_parts);
    CHECK_FALSE(is_held(parts, {1}, start));
    CHECK(is_held(parts, {held_parts::max_parts + 5}, start));
}

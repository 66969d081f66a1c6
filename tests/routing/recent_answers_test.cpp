#include "samphiretray/routing/recent_answers.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

const time_point start{1h};

} // namespace

// Guards against a sound request that is suspected because its last answer was forgotten too early.
TEST_CASE(
    "the last answer is known for one generation at least, whatever the order in which answers are noted") {
    recent_answers answers{100, 10s};
    CHECK_FALSE(answers.last(1));
    answers.note(1, start + 2s, start + 2s);
    answers.note(1, start + 1s, start + 3s);
    CHECK(answers.last(1) == start + 2s);
    answers.note(2, start + 12s, start + 12s);
    answers.note(3, start + 13s, start + 13s);
    CHECK(answers.last(1) == start + 2s);
    answers.note(2, start + 24s, start + 24s);
    CHECK_FALSE(answers.last(1));
    CHECK(answers.last(2) == start + 24s);
}

// Guards against a process that grows with the keys that callers make up.
TEST_CASE("at most two full generations of answers are kept") {
    recent_answers answers{100, 10s};
    for (std::uint64_t key = 0; key < 1000; ++key) {
        answers.note(key, start, start);
    }
    std::size_t known = 0;
    for (std::uint64_t key = 0; key < 1000; ++key) {
        known += answers.last(key) ? 1 : 0;
    }
    CHECK(known <= 200);
    CHECK(answers.last(999));
}

#include "samphiretray/agent/work_time_estimator.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{100s};

} // namespace

// Guards against an engine that is taken for slow, or fast, because of one moment.
TEST_CASE("the estimate follows a lasting change and not a short one") {
    work_time_estimator estimate;
    CHECK(estimate.percent() == 0);
    for (int i = 0; i < 100; ++i) {
        estimate.observe(100, start + i * 100ms);
    }
    estimate.observe(1000, start + 10s);
    CHECK(estimate.percent() < 120);
    for (int i = 1; i < 300; ++i) {
        estimate.observe(200, start + 10s + i * 100ms);
    }
    CHECK(estimate.percent() >= 195);
    estimate.reset();
    CHECK(estimate.percent() == 0);
}

// Guards against many answers at one moment that outweigh the seconds before.
TEST_CASE("figures that come at one moment count as one") {
    work_time_estimator estimate;
    estimate.observe(100, start);
    for (int i = 0; i < 1000; ++i) {
        estimate.observe(1000, start + 10ms);
    }
    CHECK(estimate.percent() < 110);
}

// Guards against nonsense in a header that draws all requests to one engine.
TEST_CASE("figures out of bounds are ignored") {
    work_time_estimator estimate;
    estimate.observe(0, start);
    estimate.observe(4'000'000'000U, start + 1s);
    CHECK(estimate.percent() == 0);
}

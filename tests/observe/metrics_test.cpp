#include "samphiretray/observe/metrics.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace samphiretray::observe;

TEST_CASE("metrics are exported in the Prometheus text format") {
    metrics registry;
    registry.counter({"requests_total", "Requests.", {"outcome"}}).add({"whole"}, 2);
    registry.gauge({"queue_requests", "Waiting requests.", {}}).set({}, 3);
    registry.histogram({"wait_seconds", "Waits.", {}}, {0.1, 1}).observe({}, 0.5);
    const std::string text = registry.text();
    CHECK(text.find("requests_total{outcome=\"whole\"} 2") != std::string::npos);
    CHECK(text.find("queue_requests 3") != std::string::npos);
    CHECK(text.find("wait_seconds_bucket{le=\"1\"} 1") != std::string::npos);
}

// Guards against unbounded memory use by label values from callers, and against names without a unit.
TEST_CASE("the number of series is limited and metric names must end in a unit") {
    metrics registry;
    counter_family& family = registry.counter({"requests_total", "Requests.", {"organisation"}, 2});
    for (const char* name : {"a", "b", "c", "d", "a"}) {
        family.add({name});
    }
    const std::string text = registry.text();
    CHECK(text.find("{organisation=\"other\"} 2") != std::string::npos);
    CHECK(text.find("{organisation=\"a\"} 2") != std::string::npos);
    CHECK(text.find("{organisation=\"c\"}") == std::string::npos);
    CHECK_THROWS_AS(family.add({}), std::invalid_argument);
    CHECK_THROWS_AS(registry.counter({"requests", "", {}}), std::invalid_argument);
    CHECK_THROWS_AS(registry.gauge({"queue", "", {}}), std::invalid_argument);
}

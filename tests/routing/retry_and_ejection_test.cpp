#include "samphiretray/routing/outlier_ejection.h"
#include "samphiretray/routing/retry_policy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

const time_point start{1000s};

failed_attempt failure_at(time_point now) {
    failed_attempt failed;
    failed.organisation = "org";
    failed.endpoint = "e0";
    failed.deadline = now + 10s;
    return failed;
}

outlier_ejection make_ejection(int endpoints) {
    outlier_ejection target{{}};
    std::vector<std::string> live;
    for (int number = 0; number < endpoints; ++number) {
        live.push_back("e" + std::to_string(number));
    }
    target.replace_endpoints("pool", live);
    return target;
}

void fail_often(outlier_ejection& target, std::string_view endpoint, time_point now) {
    for (int count = 0; count < 5; ++count) {
        target.started(endpoint, now);
        target.failed(endpoint, now);
    }
}

} // namespace

TEST_CASE("no retry after the first byte was sent to the caller") {
    retry_policy policy{{}};
    failed_attempt failed = failure_at(start);
    failed.streamed = true;
    CHECK(policy.decide(failed, start) == retry_verdict::streamed);
}

TEST_CASE("a non-idempotent call is retried only if it was certainly not forwarded") {
    retry_policy policy{{}};
    failed_attempt failed = failure_at(start);
    failed.idempotent = false;
    CHECK(policy.decide(failed, start) == retry_verdict::outcome_unknown);
    failed.forwarded = false;
    CHECK(policy.decide(failed, start) == retry_verdict::retry);
}

TEST_CASE("a lower floor in the settings also reduces the unused retries") {
    // Entries divide the floor among them. Guards against twenty entries that each keep the share they had
    // as one of five.
    retry_policy policy{{.ratio = 0.0, .floor = 5.0}};
    policy.request_started("org", "e0", start);
    policy.set_settings({.ratio = 0.0, .floor = 1.0});
    CHECK(policy.decide(failure_at(start), start) == retry_verdict::retry);
    CHECK(policy.decide(failure_at(start), start) == retry_verdict::no_budget);
}

TEST_CASE("no retry close to the deadline or after the last attempt") {
    retry_policy policy{{}};
    CHECK(policy.decide(failure_at(start), start + 10s) == retry_verdict::deadline);
    failed_attempt failed = failure_at(start);
    failed.attempts = 3;
    CHECK(policy.decide(failed, start) == retry_verdict::too_many_attempts);
}

// Each budget is tested alone: the other name is different for every request, so its budget is never used up.
TEST_CASE("retries stay within the budgets of an organisation and of an endpoint") {
    REQUIRE(rc::check([](std::vector<std::uint8_t> events, bool same_organisation) {
        retry_policy policy{{}};
        double allowed = 3.0;
        time_point now = start;
        int retries = 0;
        int number = 0;
        for (const std::uint8_t event : events) {
            now += 10ms;
            allowed += 3.0 * 0.001;
            const std::string other = std::to_string(++number);
            failed_attempt failed = failure_at(now);
            (same_organisation ? failed.endpoint : failed.organisation) = other;
            if (event % 4 == 0) {
                policy.request_started(failed.organisation, failed.endpoint, now);
                allowed += 0.1;
            } else if (policy.decide(failed, now) == retry_verdict::retry) {
                ++retries;
            }
            RC_ASSERT(retries <= allowed + 1e-6);
        }
    }));
}

TEST_CASE("an ejected endpoint gets one probe request and is ejected for longer if that fails") {
    outlier_ejection target = make_ejection(2);
    fail_often(target, "e0", start);
    CHECK_FALSE(target.usable("e0", start + 4s));
    REQUIRE(target.usable("e0", start + 5s));
    target.started("e0", start + 5s);
    CHECK_FALSE(target.usable("e0", start + 5s));
    target.failed("e0", start + 5s);
    CHECK_FALSE(target.usable("e0", start + 14s));
    REQUIRE(target.usable("e0", start + 15s));
    target.started("e0", start + 15s);
    target.succeeded("e0", start + 15s);
    CHECK(target.usable("e0", start + 15s));
}

TEST_CASE("an abandoned probe request allows another one") {
    outlier_ejection target = make_ejection(2);
    fail_often(target, "e0", start);
    target.started("e0", start + 5s);
    target.abandoned("e0", start + 6s);
    CHECK(target.usable("e0", start + 6s));
}

TEST_CASE("a high failure rate ejects without consecutive failures") {
    outlier_ejection target = make_ejection(2);
    for (int count = 0; count < 10; ++count) {
        target.succeeded("e0", start);
        target.failed("e0", start);
    }
    CHECK_FALSE(target.usable("e0", start));
}

TEST_CASE("at most half of the endpoints of a pool are ejected") {
    REQUIRE(rc::check([](std::vector<std::pair<std::uint8_t, bool>> events) {
        outlier_ejection target = make_ejection(5);
        time_point now = start;
        for (const auto& [number, success] : events) {
            const std::string endpoint = "e" + std::to_string(number % 5);
            now += 100ms;
            target.started(endpoint, now);
            if (success) {
                target.succeeded(endpoint, now);
            } else {
                fail_often(target, endpoint, now);
            }
            RC_ASSERT(target.ejected_count("pool") <= 2U);
        }
    }));
}

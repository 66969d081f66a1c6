#include "samphiretray/agent/attempt_table.h"
#include "samphiretray/agent/fair_queue.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cmath>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{1000s};

queued_request make_request(std::uint64_t id, const std::string& organisation, std::uint32_t tokens,
                            const std::string& adapter = "a") {
    queued_request request;
    request.request = id;
    request.organisation = organisation;
    request.adapter = {adapter, "1"};
    request.tokens = tokens;
    request.arrived = start;
    request.deadline = start + 1h;
    return request;
}

bool any(const queued_request&) {
    return true;
}

bool queued(fair_queue& queue, queued_request request) {
    return !queue.push(std::move(request), 0ms, any, start).refused;
}

} // namespace

TEST_CASE("backlogged organisations are served equal tokens, up to the size of one request each") {
    REQUIRE(rc::check([](std::vector<std::uint8_t> sizes) {
        fair_queue queue{{}};
        std::uint64_t id = 0;
        std::map<std::string, double> left;
        for (const std::uint8_t size : sizes) {
            const std::string organisation = size % 3 == 0 ? "small" : "large";
            const std::uint32_t tokens = size + 1;
            RC_ASSERT(queued(queue, make_request(++id, organisation, tokens)));
            left[organisation] += tokens;
        }
        std::map<std::string, double> served;
        while (left["small"] > 0.0 && left["large"] > 0.0) {
            const auto next = queue.pop(any);
            RC_ASSERT(next.has_value());
            served[next->organisation] += next->tokens;
            left[next->organisation] -= next->tokens;
            RC_ASSERT(std::abs(served["small"] - served["large"]) <= 2.0 * 256.0);
        }
    }));
}

TEST_CASE("an idle organisation does not accumulate credit") {
    fair_queue queue{{}};
    for (std::uint64_t id = 0; id < 10; ++id) {
        REQUIRE(queued(queue, make_request(id, "busy", 100)));
        (void)queue.pop(any);
    }
    for (std::uint64_t id = 10; id < 20; ++id) {
        REQUIRE(queued(queue, make_request(id, "busy", 100)));
        REQUIRE(queued(queue, make_request(id + 100, "new", 100)));
    }
    int new_count = 0;
    for (int count = 0; count < 8; ++count) {
        new_count += queue.pop(any)->organisation == "new" ? 1 : 0;
    }
    CHECK(new_count <= 5);
}

TEST_CASE("an organisation that waited for a load runs first once its adapter is loaded") {
    fair_queue queue{{}};
    REQUIRE(queued(queue, make_request(1, "waiting", 100, "cold")));
    for (std::uint64_t id = 2; id < 8; ++id) {
        REQUIRE(queued(queue, make_request(id, "busy", 100, "warm")));
    }
    const auto warm = [](const queued_request& request) { return request.adapter.adapter == "warm"; };
    CHECK(queue.pop(warm)->request == 2);
    CHECK(queue.pop(warm)->request == 3);
    CHECK(queue.pop(any)->request == 1);
}

TEST_CASE("priority requests run first") {
    fair_queue queue{{}};
    REQUIRE(queued(queue, make_request(1, "one", 10)));
    queued_request urgent = make_request(2, "two", 1000);
    urgent.priority = true;
    REQUIRE(queued(queue, urgent));
    CHECK(queue.pop(any)->request == 2);
}

TEST_CASE("requests for the adapter that ran last overtake others only a limited number of times") {
    fair_queue queue{{}};
    REQUIRE(queued(queue, make_request(1, "one", 10, "x")));
    REQUIRE(queued(queue, make_request(2, "one", 10, "y")));
    for (std::uint64_t id = 3; id < 30; ++id) {
        REQUIRE(queued(queue, make_request(id, "one", 10, "x")));
    }
    CHECK(queue.pop(any)->request == 1);
    for (std::uint64_t count = 0; count < 8; ++count) {
        CHECK(queue.pop(any)->adapter.adapter == "x");
    }
    CHECK(queue.pop(any)->request == 2);
}

TEST_CASE("a request that cannot start before its deadline is refused at once") {
    queue_settings settings;
    settings.initial_rate = 100.0;
    fair_queue queue{settings};
    REQUIRE(queued(queue, make_request(1, "one", 1000)));
    queued_request late = make_request(2, "one", 10);
    late.deadline = start + 5s;
    CHECK(queue.push(late, 0ms, any, start).refused == wire::refusal::deadline);
    late.organisation = "other";
    CHECK_FALSE(queue.push(late, 0ms, any, start).refused.has_value());
    late.organisation = "third";
    CHECK(queue.push(late, 6s, any, start).refused == wire::refusal::deadline);
    queue.record_service(100'000, 1s);
    late.organisation = "one";
    CHECK_FALSE(queue.push(late, 0ms, any, start).refused.has_value());
}

TEST_CASE("requests that wait for a load are not included in the estimated wait") {
    queue_settings settings;
    settings.initial_rate = 100.0;
    fair_queue queue{settings};
    REQUIRE(queued(queue, make_request(1, "one", 1000, "cold")));
    const auto warm = [](const queued_request& request) { return request.adapter.adapter == "warm"; };
    CHECK(queue.estimated_wait(false, warm) == 0ms);
    CHECK(queue.estimated_wait(false, any) == 10s);
    CHECK(queue.count_if(warm) == 0);
    queued_request short_deadline = make_request(2, "one", 10, "warm");
    short_deadline.deadline = start + 1s;
    CHECK_FALSE(queue.push(short_deadline, 0ms, warm, start).refused.has_value());
}

TEST_CASE("the number of waiting requests of an organisation does not raise the total weight of its loads") {
    fair_queue queue{{}};
    REQUIRE(queued(queue, make_request(1, "small", 10, "x")));
    for (std::uint64_t id = 2; id < 10; ++id) {
        REQUIRE(queued(queue, make_request(id, "large", 10, id < 6 ? "y" : "z")));
    }
    CHECK(queue.load_weight({"x", "1"}) == load_weight_scale);
    CHECK(queue.load_weight({"y", "1"}) == load_weight_scale / 2);
    CHECK(queue.load_weight({"none", "1"}) == 0);
    queue.set_weight("small", 1.0);
    queue.set_weight("large", 3.0);
    CHECK(queue.load_weight({"x", "1"}) == load_weight_scale / 2);
}

TEST_CASE("a full queue displaces a request of the organisation with the most waiting requests") {
    queue_settings settings;
    settings.max_length = 4;
    fair_queue queue{settings};
    for (std::uint64_t id = 0; id < 4; ++id) {
        REQUIRE(queued(queue, make_request(id, "large", 10)));
    }
    const auto result = queue.push(make_request(10, "small", 10), 0ms, any, start);
    CHECK_FALSE(result.refused.has_value());
    REQUIRE(result.displaced.has_value());
    CHECK(result.displaced->request == 3);
    CHECK(queue.push(make_request(11, "large", 10), 0ms, any, start).refused == wire::refusal::queue_full);
    CHECK(queue.size() == 4);
}

TEST_CASE("settling charges the actual cost to the organisation") {
    fair_queue queue{{}};
    REQUIRE(queued(queue, make_request(1, "one", 100)));
    REQUIRE(queued(queue, make_request(2, "one", 100)));
    REQUIRE(queued(queue, make_request(3, "two", 100)));
    REQUIRE(queued(queue, make_request(4, "two", 100)));
    REQUIRE(queue.pop(any)->organisation == "one");
    queue.settle("one", false, 100, 1000);
    CHECK(queue.pop(any)->organisation == "two");
    CHECK(queue.pop(any)->organisation == "two");
}

TEST_CASE("removed and expired requests no longer count in the queue and its estimates") {
    fair_queue queue{{}};
    REQUIRE(queued(queue, make_request(1, "one", 100)));
    queued_request short_deadline = make_request(2, "two", 100);
    short_deadline.deadline = start + 1s;
    REQUIRE(queued(queue, short_deadline));
    CHECK(queue.next_deadline() == start + 1s);
    CHECK(queue.expire(start + 999ms).empty());
    CHECK(queue.expire(start + 1s).size() == 1);
    const auto of_one = [](const queued_request& request) { return request.organisation == "one"; };
    CHECK(queue.remove_if(of_one).size() == 1);
    CHECK(queue.empty());
    CHECK(queue.estimated_wait(false, any) == 0ms);
    CHECK_FALSE(queue.pop(any).has_value());
}

TEST_CASE("an attempt is forwarded at most once, and never after a refusal that guarantees it was not") {
    REQUIRE(rc::check([](std::vector<std::uint8_t> events) {
        attempt_table table{{}};
        std::map<attempt_id, int> forwarded;
        std::map<attempt_id, bool> certified;
        time_point now = start;
        for (const std::uint8_t event : events) {
            now += 1s;
            const attempt_id id{0, event % 3U, event / 3U % 2U};
            switch (event / 6 % 4) {
            case 0:
                (void)table.open(id, now);
                break;
            case 1:
                forwarded[id] += table.start(id) ? 1 : 0;
                RC_ASSERT(forwarded[id] <= 1);
                RC_ASSERT(!certified[id] || forwarded[id] == 0);
                break;
            case 2:
                certified[id] = table.refuse(id, now) || certified[id];
                RC_ASSERT(!certified[id] || forwarded[id] == 0);
                break;
            default:
                table.finish(id, now);
                RC_ASSERT(!table.accept_answer(id));
            }
        }
    }));
}

TEST_CASE(
    "duplicates and late answers are counted, and ended attempts are removed after the retention time") {
    attempt_table table{{}};
    const attempt_id id{1, 2, 1};
    CHECK(table.open(id, start));
    CHECK_FALSE(table.open(id, start));
    CHECK(table.start(id));
    CHECK_FALSE(table.start(id));
    CHECK(table.accept_answer(id));
    CHECK(table.finish(id, start));
    CHECK_FALSE(table.accept_answer(id));
    CHECK(table.counts().duplicates == 1);
    CHECK(table.counts().late_answers == 1);
    table.expire(start + 2min);
    CHECK(table.size() == 1);
    table.expire(start + 121s);
    CHECK(table.size() == 0);
}

#include "samphiretray/agent/engine_admission.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{1h};

admission_request make_request(std::uint64_t id, std::uint32_t urgency, std::uint32_t unread,
                               std::uint64_t memory) {
    return {id, urgency, unread, memory, start, start + 5s, start + 1s, false};
}

bool always(std::uint64_t) {
    return true;
}

engine_admission make_admission() {
    engine_admission admission{{}};
    admission.set_capacity(96, 190'000);
    return admission;
}

} // namespace

TEST_CASE("short urgent requests pass drafts that wait for the engine to read others") {
    // Pattern: drafts of 9,000 tokens arrive ahead of short questions.
    engine_admission admission = make_admission();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        REQUIRE(admission.enqueue(make_request(id, 1, 9000, 9500)));
    }
    CHECK(admission.next(always, start) == 1);
    CHECK_FALSE(admission.next(always, start));
    REQUIRE(admission.enqueue(make_request(4, 0, 700, 1000)));
    CHECK(admission.next(always, start) == 4);
    CHECK_FALSE(admission.next(always, start));
    admission.read(1, start + 300ms);
    CHECK(admission.next(always, start) == 2);
}

TEST_CASE("requests are admitted only as far as the engine's memory holds them to their end") {
    // Pattern: many large drafts at one engine, which would preempt a running stream.
    engine_admission admission = make_admission();
    std::uint64_t admitted = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        REQUIRE(admission.enqueue(make_request(id, 1, 0, 9500)));
    }
    while (admission.next(always, start)) {
        ++admitted;
    }
    CHECK(admitted == 19);
    CHECK(admission.reserved_memory() <= 190'000);
    admission.remove(1);
    CHECK(admission.next(always, start) == 20);
}

TEST_CASE("a large request is not passed for ever by small ones that fit beside it") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 0, 100'000)));
    REQUIRE(admission.next(always, start));
    REQUIRE(admission.enqueue(make_request(2, 1, 0, 100'000)));
    REQUIRE(admission.enqueue(make_request(3, 1, 0, 10)));
    CHECK_FALSE(admission.next(always, start));
    admission.remove(1);
    CHECK(admission.next(always, start) == 2);
}

TEST_CASE("a request larger than the engine's memory runs alone instead of waiting for ever") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 200'000, 300'000)));
    CHECK(admission.next(always, start) == 1);
}

TEST_CASE("a request whose adapter is being loaded does not hold up those behind it") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 100, 100)));
    REQUIRE(admission.enqueue(make_request(2, 1, 100, 100)));
    CHECK(admission.next([](std::uint64_t id) { return id != 1; }, start) == 2);
}

TEST_CASE("the expected wait counts what is ahead, so that an entry can go elsewhere at once") {
    engine_admission admission = make_admission();
    const admission_request question = make_request(9, 0, 700, 1000);
    CHECK(admission.expected_wait(question, start) == 0ms);
    REQUIRE(admission.enqueue(make_request(1, 1, 5000, 8000)));
    REQUIRE(admission.next(always, start));
    REQUIRE(admission.enqueue(make_request(2, 1, 5000, 8000)));
    // 5,000 tokens are read in 200 ms; the waiting draft is less urgent than the question.
    CHECK(admission.expected_wait(question, start) == 200ms);
    CHECK(admission.expected_wait(make_request(9, 1, 700, 1000), start) == 400ms);
}

TEST_CASE("a full queue refuses, and requests past their deadline leave it") {
    engine_admission admission{{.max_waiting = 2}};
    REQUIRE(admission.enqueue(make_request(1, 1, 10, 10)));
    REQUIRE(admission.enqueue(make_request(2, 1, 10, 10)));
    CHECK_FALSE(admission.enqueue(make_request(3, 0, 10, 10)));
    CHECK(admission.expire(start + 4s).empty());
    CHECK(admission.expire(start + 5s) == std::vector<std::uint64_t>{1, 2});
    CHECK(admission.waiting_count() == 0);
    CHECK(admission.backlog_tokens() == 0);
}

TEST_CASE("everything that was counted for a request is given back when it leaves") {
    engine_admission admission = make_admission();
    for (std::uint64_t id = 1; id <= 20; ++id) {
        REQUIRE(admission.enqueue(make_request(id, static_cast<std::uint32_t>(id % 3), 500, 900)));
    }
    while (admission.next(always, start)) {
    }
    for (std::uint64_t id = 1; id <= 20; ++id) {
        admission.remove(id);
    }
    CHECK(admission.backlog_tokens() == 0);
    CHECK(admission.reserved_memory() == 0);
    CHECK(admission.running_count() == 0);
}

TEST_CASE("under a rush, requests that can still be in time pass those that are late in any case") {
    // Pattern: drafts arrive a little faster than the engine reads them. In the order of arrival all of them
    // are late after a few seconds, and stay so.
    engine_admission admission = make_admission();
    admission_request late = make_request(1, 0, 9000, 9500);
    late.due = start - 1ms;
    REQUIRE(admission.enqueue(late));
    REQUIRE(admission.enqueue(make_request(2, 1, 9000, 9500)));
    CHECK(admission.next(always, start) == 2);
    admission.read(2, start + 380ms);
    CHECK(admission.next(always, start + 380ms) == 1);
}

TEST_CASE("of the requests that can be in time, the urgent come first and then those due first") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 100, 100)));
    admission_request sooner = make_request(2, 1, 100, 100);
    sooner.due = start + 500ms;
    REQUIRE(admission.enqueue(sooner));
    REQUIRE(admission.enqueue(make_request(3, 0, 100, 100)));
    CHECK(admission.next(always, start) == 3);
    CHECK(admission.next(always, start) == 2);
    CHECK(admission.next(always, start) == 1);
}

TEST_CASE("late requests that the engine will not get to are named at once instead of held to the end") {
    // Pattern: a rush leaves ten late requests behind, whose callers leave after three seconds.
    engine_admission admission = make_admission();
    for (std::uint64_t id = 1; id <= 10; ++id) {
        admission_request late = make_request(id, 1, 1000, 1000);
        late.due = start - 1ms;
        late.deadline = start + 3s;
        REQUIRE(admission.enqueue(late));
    }
    // Without evidence one start a second is expected.
    CHECK(admission.hopeless(start) == std::vector<std::uint64_t>{4, 5, 6, 7, 8, 9, 10});
    for (int begun = 0; begun < 6; ++begun) {
        REQUIRE(admission.next(always, start));
    }
    // The engine has got to six in the last two seconds, so the rest can be begun.
    CHECK(admission.hopeless(start).empty());
    CHECK(admission.hopeless(start + 3s) == std::vector<std::uint64_t>{7, 8, 9, 10});
}

TEST_CASE("a new late request hears that others are before it, so that its entry can answer at once") {
    engine_admission admission = make_admission();
    admission_request late = make_request(1, 1, 100, 100);
    late.due = start - 1ms;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        late.id = id;
        REQUIRE(admission.enqueue(late));
    }
    late.id = 6;
    CHECK(admission.expected_wait(late, start) == 5s);
    CHECK(admission.expected_wait(make_request(7, 1, 100, 100), start) == 0ms);
}

TEST_CASE("an engine that turns slow is seen within a few drafts, and forgotten when it restarts") {
    // Pattern: a server works five times slower while its health check is good.
    engine_admission admission = make_admission();
    CHECK(admission.speed().tokens_per_ms() == Approx(25.0));
    time_point now = start;
    for (std::uint64_t id = 1; id <= 30; ++id) {
        REQUIRE(admission.enqueue(make_request(id, 1, 9000, 9500)));
        REQUIRE(admission.next(always, now));
        now += 1840ms;
        admission.read(id, now);
        admission.remove(id);
    }
    CHECK(admission.speed().tokens_per_ms() < 10.0);
    admission.restarted();
    CHECK(admission.speed().tokens_per_ms() == Approx(25.0));
}

TEST_CASE("prompts that wait in the engine for another's read do not make it look slow") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 5000, 5000)));
    REQUIRE(admission.enqueue(make_request(2, 1, 5000, 5000)));
    REQUIRE(admission.next(always, start));
    REQUIRE(admission.next(always, start));
    admission.read(1, start + 240ms);
    admission.read(2, start + 480ms);
    CHECK(admission.speed().tokens_per_ms() == Approx(25.0).epsilon(0.01));
}

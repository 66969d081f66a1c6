#include "samphiretray/agent/engine_admission.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{1h};

admission_request make_request(std::uint64_t id, std::uint32_t urgency, std::uint32_t unread,
                               std::uint64_t memory) {
    return {id, urgency, unread, memory, start, start + 5s};
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
    CHECK(admission.next(always) == 1);
    CHECK_FALSE(admission.next(always));
    REQUIRE(admission.enqueue(make_request(4, 0, 700, 1000)));
    CHECK(admission.next(always) == 4);
    CHECK_FALSE(admission.next(always));
    admission.read(1);
    CHECK(admission.next(always) == 2);
}

TEST_CASE("requests are admitted only as far as the engine's memory holds them to their end") {
    // Pattern: many large drafts at one engine, which would preempt a running stream.
    engine_admission admission = make_admission();
    std::uint64_t admitted = 0;
    for (std::uint64_t id = 1; id <= 40; ++id) {
        REQUIRE(admission.enqueue(make_request(id, 1, 0, 9500)));
    }
    while (admission.next(always)) {
        ++admitted;
    }
    CHECK(admitted == 19);
    CHECK(admission.reserved_memory() <= 190'000);
    admission.remove(1);
    CHECK(admission.next(always) == 20);
}

TEST_CASE("a large request is not passed for ever by small ones that fit beside it") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 0, 100'000)));
    REQUIRE(admission.next(always));
    REQUIRE(admission.enqueue(make_request(2, 1, 0, 100'000)));
    REQUIRE(admission.enqueue(make_request(3, 1, 0, 10)));
    CHECK_FALSE(admission.next(always));
    admission.remove(1);
    CHECK(admission.next(always) == 2);
}

TEST_CASE("a request larger than the engine's memory runs alone instead of waiting for ever") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 200'000, 300'000)));
    CHECK(admission.next(always) == 1);
}

TEST_CASE("a request whose adapter is being loaded does not hold up those behind it") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 100, 100)));
    REQUIRE(admission.enqueue(make_request(2, 1, 100, 100)));
    CHECK(admission.next([](std::uint64_t id) { return id != 1; }) == 2);
}

TEST_CASE("the expected wait counts what is ahead, so that an entry can go elsewhere at once") {
    engine_admission admission = make_admission();
    const admission_request question = make_request(9, 0, 700, 1000);
    CHECK(admission.expected_wait(question) == 0ms);
    REQUIRE(admission.enqueue(make_request(1, 1, 7600, 8000)));
    REQUIRE(admission.next(always));
    REQUIRE(admission.enqueue(make_request(2, 1, 7600, 8000)));
    // 7,600 tokens are read in 200 ms; the waiting draft is less urgent than the question.
    CHECK(admission.expected_wait(question) == 200ms);
    CHECK(admission.expected_wait(make_request(9, 1, 700, 1000)) == 400ms);
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
    while (admission.next(always)) {
    }
    for (std::uint64_t id = 1; id <= 20; ++id) {
        admission.remove(id);
    }
    CHECK(admission.backlog_tokens() == 0);
    CHECK(admission.reserved_memory() == 0);
    CHECK(admission.running_count() == 0);
}

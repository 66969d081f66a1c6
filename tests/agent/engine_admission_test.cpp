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

TEST_CASE("short urgent requests overtake long prompts that wait for the prefill of others") {
    // Prompts of 9,000 tokens arrive before short ones and would delay them by their prefill.
    engine_admission admission = make_admission();
    for (std::uint64_t id = 1; id <= 3; ++id) {
        REQUIRE(admission.enqueue(make_request(id, 1, 9000, 9500)));
    }
    CHECK(admission.next(always, start) == 1);
    CHECK_FALSE(admission.next(always, start));
    REQUIRE(admission.enqueue(make_request(4, 0, 700, 1000)));
    CHECK(admission.next(always, start) == 4);
    CHECK_FALSE(admission.next(always, start));
    admission.on_prefill_done(1, start + 300ms);
    CHECK(admission.next(always, start) == 2);
}

TEST_CASE("requests are admitted only if the engine's KV cache memory has room for them until their end") {
    // If all these long prompts were admitted, the engine would preempt running streams.
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

TEST_CASE("a large request is not starved by small ones that fit beside a running one") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 0, 100'000)));
    REQUIRE(admission.next(always, start));
    REQUIRE(admission.enqueue(make_request(2, 1, 0, 100'000)));
    REQUIRE(admission.enqueue(make_request(3, 1, 0, 10)));
    CHECK_FALSE(admission.next(always, start));
    admission.remove(1);
    CHECK(admission.next(always, start) == 2);
}

TEST_CASE("a request larger than the engine's KV cache memory runs alone instead of waiting forever") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 200'000, 300'000)));
    CHECK(admission.next(always, start) == 1);
}

TEST_CASE("a request whose adapter is being loaded does not block those behind it") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 100, 100)));
    REQUIRE(admission.enqueue(make_request(2, 1, 100, 100)));
    CHECK(admission.next([](std::uint64_t id) { return id != 1; }, start) == 2);
}

TEST_CASE("the expected wait includes the prefill of requests that are ahead in the order of service") {
    // Entries use the expected wait to choose another endpoint at once.
    engine_admission admission = make_admission();
    const admission_request short_request = make_request(9, 0, 700, 1000);
    CHECK(admission.expected_wait(short_request, start) == 0ms);
    REQUIRE(admission.enqueue(make_request(1, 1, 5000, 8000)));
    REQUIRE(admission.next(always, start));
    REQUIRE(admission.enqueue(make_request(2, 1, 5000, 8000)));
    // The prefill of 5,000 tokens takes 200 ms. The waiting long prompt is less urgent than the short
    // request.
    CHECK(admission.expected_wait(short_request, start) == 200ms);
    CHECK(admission.expected_wait(make_request(9, 1, 700, 1000), start) == 400ms);
}

TEST_CASE("a full queue refuses requests, and requests past their deadline are removed") {
    engine_admission admission{{.max_waiting = 2}};
    REQUIRE(admission.enqueue(make_request(1, 1, 10, 10)));
    REQUIRE(admission.enqueue(make_request(2, 1, 10, 10)));
    CHECK_FALSE(admission.enqueue(make_request(3, 0, 10, 10)));
    CHECK(admission.expire(start + 4s).empty());
    CHECK(admission.expire(start + 5s) == std::vector<std::uint64_t>{1, 2});
    CHECK(admission.waiting_count() == 0);
    CHECK(admission.backlog_tokens() == 0);
}

TEST_CASE("the tokens and memory counted for a request are released when it is removed") {
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

TEST_CASE("under overload, requests that can meet their first-byte deadline overtake late ones") {
    // If long prompts arrive slightly faster than the engine can prefill them, serving in the order of
    // arrival makes all of them late after a few seconds, permanently.
    engine_admission admission = make_admission();
    admission_request late = make_request(1, 0, 9000, 9500);
    late.first_byte_deadline = start - 1ms;
    REQUIRE(admission.enqueue(late));
    REQUIRE(admission.enqueue(make_request(2, 1, 9000, 9500)));
    CHECK(admission.next(always, start) == 2);
    admission.on_prefill_done(2, start + 380ms);
    CHECK(admission.next(always, start + 380ms) == 1);
}

TEST_CASE("requests that are not late are ordered by urgency, then by first-byte deadline") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 100, 100)));
    admission_request sooner = make_request(2, 1, 100, 100);
    sooner.first_byte_deadline = start + 500ms;
    REQUIRE(admission.enqueue(sooner));
    REQUIRE(admission.enqueue(make_request(3, 0, 100, 100)));
    CHECK(admission.next(always, start) == 3);
    CHECK(admission.next(always, start) == 2);
    CHECK(admission.next(always, start) == 1);
}

TEST_CASE("late requests that cannot start before their deadline are reported without waiting for it") {
    // After a burst ten late requests are left, whose callers give up after three seconds.
    engine_admission admission = make_admission();
    for (std::uint64_t id = 1; id <= 10; ++id) {
        admission_request late = make_request(id, 1, 1000, 1000);
        late.first_byte_deadline = start - 1ms;
        late.deadline = start + 3s;
        REQUIRE(admission.enqueue(late));
    }
    // Without observed starts, one start per second is assumed.
    CHECK(admission.expected_to_expire(start) == std::vector<std::uint64_t>{4, 5, 6, 7, 8, 9, 10});
    for (int begun = 0; begun < 6; ++begun) {
        REQUIRE(admission.next(always, start));
    }
    // Six late requests started in the last two seconds; at this rate the others can start in time.
    CHECK(admission.expected_to_expire(start).empty());
    CHECK(admission.expected_to_expire(start + 3s) == std::vector<std::uint64_t>{7, 8, 9, 10});
}

TEST_CASE("the expected wait of a late request includes the late requests ahead of it") {
    // Otherwise the entry would hold a request that cannot be served in time instead of answering at once.
    engine_admission admission = make_admission();
    admission_request late = make_request(1, 1, 100, 100);
    late.first_byte_deadline = start - 1ms;
    for (std::uint64_t id = 1; id <= 5; ++id) {
        late.id = id;
        REQUIRE(admission.enqueue(late));
    }
    late.id = 6;
    CHECK(admission.expected_wait(late, start) == 5s);
    CHECK(admission.expected_wait(make_request(7, 1, 100, 100), start) == 0ms);
}

TEST_CASE("the prefill rate estimate follows an engine that becomes slow, and is reset by a restart") {
    // An engine runs five times slower than configured while its health check still passes.
    engine_admission admission = make_admission();
    CHECK(admission.prefill_rate().tokens_per_ms() == Approx(25.0));
    time_point now = start;
    for (std::uint64_t id = 1; id <= 30; ++id) {
        REQUIRE(admission.enqueue(make_request(id, 1, 9000, 9500)));
        REQUIRE(admission.next(always, now));
        now += 1840ms;
        admission.on_prefill_done(id, now);
        admission.remove(id);
    }
    CHECK(admission.prefill_rate().tokens_per_ms() < 10.0);
    admission.on_engine_restart();
    CHECK(admission.prefill_rate().tokens_per_ms() == Approx(25.0));
}

TEST_CASE("the wait for another prompt's prefill does not lower the prefill rate estimate") {
    engine_admission admission = make_admission();
    REQUIRE(admission.enqueue(make_request(1, 1, 5000, 5000)));
    REQUIRE(admission.enqueue(make_request(2, 1, 5000, 5000)));
    REQUIRE(admission.next(always, start));
    REQUIRE(admission.next(always, start));
    admission.on_prefill_done(1, start + 240ms);
    admission.on_prefill_done(2, start + 480ms);
    CHECK(admission.prefill_rate().tokens_per_ms() == Approx(25.0).epsilon(0.01));
}

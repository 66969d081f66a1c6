#include "samphiretray/net/buffer_budget.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::net;

namespace {

constexpr buffer_limits small_limits{.max_bytes = 1000, .reserved_bytes = 200, .small_bytes = 50};
const time_point start{100s};

struct accounts {
    std::shared_ptr<buffer_budget> budget = std::make_shared<buffer_budget>(small_limits);
    std::vector<std::unique_ptr<buffer_account>> open;

    buffer_account& add(std::size_t bytes, buffer_use use, time_point since = start) {
        open.push_back(std::make_unique<buffer_account>(budget, this, since));
        open.back()->set(bytes, use);
        return *open.back();
    }
};

} // namespace

// Guards against closing busy uploads while stopped ones hold the memory.
TEST_CASE("connections that hold most and move least are closed first, and no more than needed") {
    accounts all;
    all.add(300, buffer_use::receiving, start + 9s);
    buffer_account& stopped = all.add(300, buffer_use::receiving, start);
    buffer_account& unread = all.add(500, buffer_use::sending, start + 5s);
    CHECK(all.budget->victim(0, start + 10s) == &stopped);
    stopped.set(0, buffer_use::receiving);
    CHECK(all.budget->victim(0, start + 10s) == nullptr);
    CHECK(all.budget->victim(300, start + 10s) == &unread);
    unread.set(0, buffer_use::sending);
    CHECK(all.budget->victim(300, start + 10s) == nullptr);
}

// Guards against an upload that is kept by a byte now and then.
TEST_CASE("single bytes do not count as progress") {
    accounts all;
    buffer_account& trickling = all.add(600, buffer_use::receiving);
    buffer_account& moving = all.add(600, buffer_use::receiving);
    trickling.note_moved(1, start + 9s);
    moving.note_moved(5000, start + 9s);
    CHECK(all.budget->victim(0, start + 10s) == &trickling);
}

// Guards against ending a request that may already run.
TEST_CASE("requests that wait for their answers are never closed") {
    accounts all;
    all.add(2000, buffer_use::waiting);
    CHECK(all.budget->victim(0, start + 10s) == nullptr);
}

// Guards against large requests that shut out ordinary ones.
TEST_CASE("small requests use the reserve, and are refused only above it") {
    accounts all;
    all.add(1100, buffer_use::waiting);
    CHECK(all.budget->admits(all.add(10, buffer_use::receiving), 20));
    CHECK_FALSE(all.budget->admits(all.add(60, buffer_use::receiving), 20));
    all.add(100, buffer_use::waiting);
    CHECK_FALSE(all.budget->admits(all.add(10, buffer_use::receiving), 20));
}

// Guards against a limit below the size of one legal request.
TEST_CASE("a single large request is accepted whatever the limit") {
    accounts all;
    buffer_account& only = all.add(5000, buffer_use::receiving);
    CHECK(all.budget->admits(only, 10'000));
    only.set(5000, buffer_use::waiting);
    CHECK(all.budget->admits(only, 10'000));
    CHECK_FALSE(all.budget->admits(all.add(100, buffer_use::receiving), 100));
}

// Guards against memory that is counted for ever, after which every request would be refused.
TEST_CASE("closed connections give back what they held") {
    accounts all;
    all.add(700, buffer_use::receiving);
    all.add(700, buffer_use::waiting);
    CHECK(all.budget->is_exceeded());
    all.open.erase(all.open.begin());
    CHECK(all.budget->held() == 700);
    all.open.clear();
    CHECK(all.budget->held() == 0);
    CHECK(all.budget->admits(all.add(100, buffer_use::receiving), 100));
}

// Guards against callers that are locked out by connections of others who do not read or finish.
TEST_CASE("a new connection displaces the one that loses least, and none that is in use") {
    accounts all;
    const buffer_account& idle = all.add(0, buffer_use::receiving, start);
    const buffer_account& unfinished = all.add(100, buffer_use::receiving, start);
    const buffer_account& stalled = all.add(100, buffer_use::sending, start);
    buffer_account& reading = all.add(100, buffer_use::sending, start);
    // An answer that begins after a long wait has not stalled.
    reading.restart_progress(start + 9s);
    const buffer_account& waiting = all.add(100, buffer_use::waiting, start);
    std::vector<displacement_candidate> candidates{{&waiting, false, 1, 0, start},
                                                   {&reading, false, 1, 100, start},
                                                   {&stalled, false, 1, 100, start},
                                                   {&unfinished, false, 0, 0, start},
                                                   {&idle, true, 0, 0, start + 9s}};
    const time_point now = start + 10s;
    CHECK(choose_displaced(candidates, now) == &idle);
    candidates.pop_back();
    CHECK(choose_displaced(candidates, now) == &unfinished);
    candidates.pop_back();
    CHECK(choose_displaced(candidates, now) == &stalled);
    candidates.pop_back();
    CHECK(choose_displaced(candidates, now) == nullptr);
}

// Guards against a limit that leaves no memory for the program itself on the smallest machine.
TEST_CASE("half of the memory stays free") {
    const buffer_limits limits = buffer_limits_of(120);
    CHECK(limits.max_bytes + limits.reserved_bytes == std::size_t{60} << 20U);
}

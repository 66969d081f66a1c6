#include "samphiretray/gateway/record_schedule.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

const time_point start{1h};

} // namespace

// Guards against calls to the store by each entry at each loss, although the entries hear each other.
TEST_CASE("an entry that hears all others, or has lost no server, exchanges nothing through the store") {
    record_schedule schedule;
    CHECK_FALSE(schedule.next(false, 0, start).read);
    schedule.on_cut(start);
    const auto work = schedule.next(true, 1, start);
    CHECK_FALSE(work.read);
    CHECK_FALSE(work.write);
}

// Guards against a cut-off entry that learns of a request that crashes servers by three losses of its own,
// and against one that writes each second what it has written already.
TEST_CASE("a cut-off entry reads each second for a while after a loss, and writes each loss once") {
    record_schedule schedule;
    schedule.on_cut(start);
    std::size_t reads = 0;
    std::size_t writes = 0;
    for (duration passed{0}; passed < 60s; passed += 100ms) {
        const auto work = schedule.next(false, passed < 5s ? 1 : 2, start + passed);
        reads += work.read ? 1 : 0;
        writes += work.write ? 1 : 0;
    }
    CHECK(reads == 20);
    CHECK(writes == 2);
}

TEST_CASE("a loss that was not written while the entry heard all others is written once it is cut off") {
    record_schedule schedule;
    schedule.on_cut(start);
    REQUIRE_FALSE(schedule.next(true, 1, start).write);
    CHECK(schedule.next(false, 1, start + 2s).write);
}

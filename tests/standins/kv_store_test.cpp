#include "standins/kv_store.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::standins;

namespace {

constexpr time_point start{1000s};

} // namespace

TEST_CASE("compare-and-swap refuses a write with another revision") {
    kv_store store;
    const auto first = store.put({"k", "a", 0, {}}, start);
    REQUIRE(first.status == kv_write_status::done);
    const auto second = store.put({"k", "b", first.revision + 1, {}}, start);
    CHECK(second.status == kv_write_status::conflict);
    CHECK(second.revision == first.revision);
    CHECK(store.read("k", start)->value == "a");
    CHECK(store.put({"k", "b", 0, {}}, start).status == kv_write_status::conflict);
    CHECK(store.erase("k", first.revision + 1, start).status == kv_write_status::conflict);
    CHECK(store.erase("k", first.revision, start).status == kv_write_status::done);
    CHECK_FALSE(store.read("k", start));
}

TEST_CASE("values above one megabyte are refused") {
    kv_store store;
    CHECK(store.put({"k", std::string(max_value_bytes, 'x'), 0, {}}, start).status == kv_write_status::done);
    CHECK(store.put({"l", std::string(max_value_bytes + 1, 'x'), 0, {}}, start).status ==
          kv_write_status::too_large);
}

TEST_CASE("a lease ends unless the key is written again") {
    kv_store store;
    const auto first = store.put({"k", "a", 0, 10s}, start);
    const auto renewed = store.put({"k", "a", first.revision, 10s}, start + 9s);
    REQUIRE(renewed.status == kv_write_status::done);
    CHECK(store.read("k", start + 18s));
    CHECK(store.next_event() == start + 19s);
    CHECK_FALSE(store.read("k", start + 19s));
    CHECK(store.put({"k", "b", 0, {}}, start + 19s).revision > renewed.revision);
}

TEST_CASE("a watch ends on a change, on the expiry of a lease and at its deadline") {
    kv_store store;
    const auto written = store.put({"k", "a", 0, 5s}, start);
    const auto expiring = store.watch("k", written.revision, start + 60s);
    const auto absent = store.watch("other", 0, start + 2s);
    const auto stale = store.watch("k", 0, start + 60s);
    auto due = store.take_due(start);
    REQUIRE(due.size() == 1);
    CHECK(due[0].watch == stale);
    due = store.take_due(start + 2s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].watch == absent);
    due = store.take_due(start + 5s);
    REQUIRE(due.size() == 1);
    CHECK(due[0].watch == expiring);
    CHECK(store.pending_watches() == 0);
}

TEST_CASE("keys are listed by prefix") {
    kv_store store;
    for (const char* key : {"a/1", "a/2", "b/1", "a"}) {
        (void)store.put({key, "", 0, {}}, start);
    }
    CHECK(store.keys("a/", start) == std::vector<std::string>{"a/1", "a/2"});
}

// Guards against a revision that is used twice, which would let a stale compare-and-swap succeed.
TEST_CASE("every successful write gets a higher revision than all earlier ones") {
    CHECK(rc::check([](const std::vector<std::pair<bool, bool>>& operations) {
        kv_store store;
        std::uint64_t highest = 0;
        for (const auto& [second_key, erases] : operations) {
            const std::string key = second_key ? "b" : "a";
            const auto present = store.read(key, start);
            const std::uint64_t revision = present ? present->revision : 0;
            if (erases) {
                (void)store.erase(key, revision, start);
                continue;
            }
            const auto written = store.put({key, "v", revision, {}}, start);
            RC_ASSERT(written.status == kv_write_status::done);
            RC_ASSERT(written.revision > highest);
            highest = written.revision;
        }
    }));
}

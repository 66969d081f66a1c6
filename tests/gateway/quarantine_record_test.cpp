#include "samphiretray/gateway/quarantine_record-inl.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

constexpr duration hang_limit = 10s;

/// Holds the records of other entries, and keeps what is written.
struct record_store {
    net::loop& events;
    std::vector<ports::stored_item> records = {};
    std::vector<std::string> written = {};

    void list(const std::string&, const ports::completion<ports::store_listing>& done) {
        events.post([this, done] { done(ports::store_listing{records, records.size() + 1}); });
    }
    void watch(const std::string&, std::uint64_t, duration, const ports::completion<ports::store_changes>&) {}
    void grant_lease(duration, const ports::completion<std::uint64_t>& done) {
        events.post([done] { done(std::uint64_t{1}); });
    }
    void renew_lease(std::uint64_t, const ports::completion<std::uint64_t>&) {}
    void put(const std::string&, const std::string& value, std::uint64_t,
             const ports::completion<std::uint64_t>& done) {
        written.push_back(value);
        events.post([done] { done(std::uint64_t{1}); });
    }
};

struct record_fixture {
    net::loop events;
    record_store store{events};
    routing::crash_quarantine quarantine{{}};
    routing::request_quarantine requests{{}};
    quarantine_record<record_store> record{events, store, "entry-1", quarantine, requests};

    /// Another entry has lost one server with each of `count` requests.
    void add_record(std::uint64_t first_request, std::size_t count) {
        routing::request_evidence evidence{1, {}};
        for (std::uint64_t i = 0; i < count; ++i) {
            evidence.requests.push_back({first_request + i, {{i, i, 0ms}}, std::nullopt});
        }
        store.records.push_back({"quarantine/entry-" + std::to_string(store.records.size() + 2),
                                 encode_recorded_evidence({{}, evidence}, wall_clock_milliseconds()),
                                 store.records.size() + 1});
    }

    /// Reads the records, and returns how many iterations of the loop took up some of them.
    std::size_t read() {
        std::size_t busy_iterations = 0;
        std::size_t known = requests.suspect_count();
        std::size_t total = known;
        for (const ports::stored_item& each : store.records) {
            const auto recorded = decode_recorded_evidence(each.value, each.key, wall_clock_milliseconds());
            total += recorded->requests.requests.size();
        }
        // Runs once in each iteration.
        std::function<void()> count = [&] {
            busy_iterations += std::exchange(known, requests.suspect_count()) != known ? 1 : 0;
            events.post(count);
        };
        events.post(count);
        record.read();
        REQUIRE(events.run_until([&] { return known == total; }, hang_limit));
        return busy_iterations;
    }
};

} // namespace

// Guards against an entry that handles no callers, peers or answers of the store for seconds, because it
// takes up the records of all entries in one iteration of its loop.
TEST_CASE("an entry takes up the records of others one in each iteration of its loop") {
    record_fixture fixture;
    for (std::uint64_t i = 0; i < 20; ++i) {
        fixture.add_record(1 + i * 1000, 50);
    }
    CHECK(fixture.read() >= 20);
}

// Guards against records whose transfer fills the link of a thin entry: 330 of this size are 8 MB.
TEST_CASE("a record names a bounded number of requests and those that lost the most servers first") {
    record_fixture fixture;
    const time_point now = fixture.events.now();
    constexpr routing::request_key repeated = 1'000'000;
    fixture.requests.on_cut(repeated, {1, 1, 5s}, now);
    fixture.requests.on_cut(repeated, {2, 2, 3s}, now);
    for (std::uint64_t i = 0; i < 2000; ++i) {
        fixture.requests.on_cut(i, {i, i, 0ms}, now);
    }
    fixture.record.write();
    REQUIRE(fixture.events.run_until([&] { return !fixture.store.written.empty(); }, hang_limit));
    const std::string& value = fixture.store.written.front();
    CHECK(value.size() <= 25'000);
    const auto recorded = decode_recorded_evidence(value, "key", wall_clock_milliseconds());
    REQUIRE(recorded);
    CHECK(std::ranges::count(recorded->requests.requests, repeated, &routing::suspected_request::request) ==
          1);
}

#include "samphiretray/node/prefix_follower-inl.h"
#include "samphiretray/node/registration.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>

using namespace samphiretray;
using namespace samphiretray::node;

namespace {

/// Time after which a hanging test fails; results do not depend on it otherwise.
constexpr duration hang_limit = 10s;

error outage() {
    return make_error(errc::unavailable, step::receive, "store", "status 503");
}

/// Answers each call with the next queued result; if the queue is empty, the call stays pending.
struct scripted_store {
    net::loop& loop;
    std::deque<result<ports::store_listing>> listings;
    std::deque<result<ports::store_changes>> watches;
    std::deque<result<std::uint64_t>> grants;
    std::deque<result<std::uint64_t>> renewals;
    std::deque<result<std::uint64_t>> puts;
    std::vector<std::uint64_t> watched_after;
    std::vector<std::uint64_t> put_leases;

    template <typename T>
    void answer(std::deque<result<T>>& from, ports::completion<T> done) {
        if (from.empty()) {
            return;
        }
        loop.post([next = std::move(from.front()), done = std::move(done)] { done(next); });
        from.pop_front();
    }

    void list(const std::string&, ports::completion<ports::store_listing> done) {
        answer(listings, std::move(done));
    }
    void watch(const std::string&, std::uint64_t after, duration,
               ports::completion<ports::store_changes> done) {
        watched_after.push_back(after);
        answer(watches, std::move(done));
    }
    void grant_lease(duration, ports::completion<std::uint64_t> done) { answer(grants, std::move(done)); }
    void renew_lease(std::uint64_t, ports::completion<std::uint64_t> done) {
        answer(renewals, std::move(done));
    }
    void put(const std::string&, const std::string&, std::uint64_t lease,
             ports::completion<std::uint64_t> done) {
        put_leases.push_back(lease);
        answer(puts, std::move(done));
    }
};

struct reported_change {
    std::string key;
    std::optional<std::string> value;
    bool after_outage = false;
};

struct follower_fixture {
    net::loop loop;
    scripted_store store{loop, {}, {}, {}, {}, {}, {}, {}};
    std::vector<reported_change> changes;
    int synchronized = 0;
    prefix_follower<scripted_store> follower{
        loop,
        store,
        {.prefix = "op/", .min_watch_interval = 1ms, .base_backoff = 1ms, .max_backoff = 2ms},
        {.on_change =
             [this](const ports::store_change& change, bool after_outage) {
                 changes.push_back({change.key, change.value, after_outage});
             },
         .on_synchronized = [this] { ++synchronized; }}};

    void run_until(const std::function<bool()>& done) { REQUIRE(loop.run_until(done, hang_limit)); }
};

} // namespace

TEST_CASE("prefix_follower: the first watch starts at the revision of the listing") {
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 9});
    fixture.store.watches.push_back(ports::store_changes{{{"op/a", "2", 10}, {"op/b", "1", 11}}, 11});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.store.watched_after.size() == 2; });
    CHECK(fixture.store.watched_after == std::vector<std::uint64_t>{9, 11});
    REQUIRE(fixture.changes.size() == 3);
    CHECK(fixture.changes[1].value == "2");
    CHECK(fixture.follower.is_synchronized());
}

// Guards against a listing that a peer answers from before the last watch: keys added since would be reported
// as removed, and never again as added (CONFIG).
TEST_CASE("prefix_follower: a listing that is older than what has been reported changes nothing") {
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 9});
    fixture.store.watches.push_back(ports::store_changes{{{"op/b", "1", 12}}, 12});
    for (int i = 0; i < 2; ++i) {
        fixture.store.watches.push_back(
            make_error(errc::stale_revision, step::receive, "store", "status 410"));
    }
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 10});
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}, {"op/b", "1", 12}}, 13});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.store.watched_after.size() == 4; });
    CHECK(fixture.store.watched_after.back() == 13);
    CHECK(std::ranges::all_of(fixture.changes, [](const auto& each) { return each.value.has_value(); }));
}

TEST_CASE("prefix_follower: keys removed while the history was dropped are reported as removed") {
    // Otherwise an endpoint that was removed during that time would keep receiving requests.
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}, {"op/b", "1", 6}}, 9});
    fixture.store.watches.push_back(make_error(errc::stale_revision, step::receive, "store", "status 410"));
    fixture.store.listings.push_back(ports::store_listing{{{"op/b", "1", 6}}, 40});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.synchronized == 2; });
    CHECK(fixture.changes.back().key == "op/a");
    CHECK_FALSE(fixture.changes.back().value);
    CHECK(fixture.follower.revision() == 40);
}

TEST_CASE("prefix_follower: changes that are too large for one answer are listed in pages instead") {
    // Guards against an entry that asks for the same changes again and again, and learns nothing more
    // (FAULT).
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 9});
    fixture.store.watches.push_back(make_error(errc::too_large, step::receive, "store", "too long"));
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "2", 30}}, 40});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.synchronized == 2; });
    CHECK(fixture.changes.back().value == "2");
    CHECK(fixture.follower.revision() == 40);
}

TEST_CASE("prefix_follower: removals right after an outage are marked as after_outage") {
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 9});
    fixture.store.watches.push_back(outage());
    fixture.store.watches.push_back(outage());
    fixture.store.watches.push_back(outage());
    fixture.store.watches.push_back(ports::store_changes{{{"op/a", std::nullopt, 12}}, 12});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.changes.size() == 2; });
    CHECK(fixture.changes[1].after_outage);
    CHECK(fixture.follower.is_connected());
    CHECK(fixture.store.watched_after.back() == 9);
}

TEST_CASE("prefix_follower: a start during an outage retries until the first listing succeeds") {
    follower_fixture fixture;
    for (int i = 0; i < 6; ++i) {
        fixture.store.listings.push_back(outage());
    }
    fixture.store.listings.push_back(ports::store_listing{{}, 3});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.synchronized == 1; });
    CHECK(fixture.follower.revision() == 3);
}

// Guards against changes that are never seen after the store has come back from an older copy and has given
// the revision of the last read out again (CONFIG).
TEST_CASE("prefix_follower: a watch that answers from another era is followed by a new listing") {
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}, {"op/b", "1", 9}}, 9, 1});
    fixture.store.watches.push_back(ports::store_changes{{{"op/c", "1", 12}}, 12, 2});
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "2", 7}, {"op/c", "1", 12}}, 12, 2});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.synchronized == 2 && fixture.store.watched_after.size() == 2; });
    REQUIRE(fixture.changes.size() == 5);
    CHECK(fixture.changes[2].value == "2");
    CHECK(fixture.changes[4].key == "op/b");
    CHECK_FALSE(fixture.changes[4].value);
    CHECK(fixture.changes[4].after_outage);
}

TEST_CASE("prefix_follower: the store is watched from the revision of its new era, which may be lower") {
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 90, 1});
    fixture.store.watches.push_back(make_error(errc::stale_revision, step::receive, "store", "status 410"));
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 5}}, 40, 2});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.store.watched_after.size() == 2; });
    CHECK(fixture.store.watched_after == std::vector<std::uint64_t>{90, 40});
    CHECK(fixture.follower.revision() == 40);
}

TEST_CASE("prefix_follower: a listing of an older era is not taken") {
    follower_fixture fixture;
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "2", 5}}, 9, 2});
    fixture.store.watches.push_back(make_error(errc::stale_revision, step::receive, "store", "status 410"));
    fixture.store.watches.push_back(make_error(errc::stale_revision, step::receive, "store", "status 410"));
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "1", 50}}, 90, 1});
    fixture.store.listings.push_back(ports::store_listing{{{"op/a", "3", 11}}, 11, 2});
    fixture.follower.start();
    fixture.run_until([&] { return fixture.synchronized == 2; });
    REQUIRE(fixture.changes.size() == 2);
    CHECK(fixture.changes[1].value == "3");
}

TEST_CASE("prefix_follower: histories that are lost one after the other are not listed in a tight loop") {
    follower_fixture fixture;
    for (int i = 0; i < 200; ++i) {
        fixture.store.listings.push_back(ports::store_listing{{}, 9});
        fixture.store.watches.push_back(
            make_error(errc::stale_revision, step::receive, "store", "status 410"));
    }
    fixture.follower.start();
    fixture.loop.run_until([] { return false; }, 50ms);
    CHECK(fixture.synchronized < 40);
}

TEST_CASE("registration: a key that the store has lost is written again with a new lease") {
    net::loop loop;
    scripted_store store{loop, {}, {}, {}, {}, {}, {}, {}};
    store.grants = {std::uint64_t{7}, std::uint64_t{8}};
    store.puts = {std::uint64_t{1}, std::uint64_t{2}};
    registration<scripted_store> kept{loop, store, {.key = "entries/a", .value = "x"}};
    kept.start();
    REQUIRE(loop.run_until([&] { return store.puts.size() == 1; }, hang_limit));
    kept.renew_lost_key();
    kept.renew_lost_key();
    REQUIRE(loop.run_until([&] { return store.puts.empty(); }, hang_limit));
    CHECK(store.put_leases == std::vector<std::uint64_t>{7, 8});
}

TEST_CASE("registration: an expired lease is replaced and the key written again") {
    // Otherwise an entry whose lease expired while its process was frozen would stay unknown to its peers.
    net::loop loop;
    scripted_store store{loop, {}, {}, {}, {}, {}, {}, {}};
    store.grants = {std::uint64_t{7}, std::uint64_t{8}};
    store.puts = {std::uint64_t{1}, std::uint64_t{2}};
    store.renewals = {std::uint64_t{10'000},
                      make_error(errc::not_found, step::receive, "store", "status 404")};
    registration<scripted_store> kept{
        loop, store, {.key = "entries/a", .value = "x", .renew_interval = 1ms, .retry_delay = 1ms}};
    kept.start();
    REQUIRE(loop.run_until([&] { return store.put_leases.size() == 2; }, hang_limit));
    CHECK(store.put_leases == std::vector<std::uint64_t>{7, 8});
}

TEST_CASE("registration: failed calls to the store are retried") {
    net::loop loop;
    scripted_store store{loop, {}, {}, {}, {}, {}, {}, {}};
    store.grants = {outage(), std::uint64_t{7}};
    store.puts = {make_error(errc::timeout, step::receive, "store", "no answer"), std::uint64_t{2}};
    registration<scripted_store> kept{
        loop, store, {.key = "entries/a", .value = "x", .renew_interval = 1ms, .retry_delay = 1ms}};
    kept.start();
    REQUIRE(loop.run_until([&] { return store.put_leases.size() == 2; }, hang_limit));
    CHECK(store.put_leases == std::vector<std::uint64_t>{7, 7});
}

#include "samphiretray/node/prefix_replica.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <ranges>

using namespace samphiretray;
using namespace samphiretray::node;

namespace {

constexpr time_point start{};
constexpr duration max_age = 1500ms;

/// Model of a store that keeps its whole history.
struct history {
    std::uint64_t revision = 1;
    std::vector<ports::store_change> changes;

    void change(const std::string& key, std::optional<std::string> value) {
        changes.push_back({key, std::move(value), ++revision});
    }

    /// Keys and values as of a revision.
    [[nodiscard]] std::map<std::string, std::string> state(std::uint64_t at) const {
        std::map<std::string, std::string> keys;
        for (const auto& each : changes) {
            if (each.revision > at) {
                break;
            }
            if (each.value) {
                keys[each.key] = *each.value;
            } else {
                keys.erase(each.key);
            }
        }
        return keys;
    }

    [[nodiscard]] ports::store_listing list() const {
        ports::store_listing all;
        all.revision = revision;
        for (const auto& [key, value] : state(revision)) {
            const auto latest =
                std::ranges::find(changes | std::views::reverse, key, &ports::store_change::key);
            all.items.push_back({key, value, latest->revision});
        }
        return all;
    }

    [[nodiscard]] ports::store_changes since(std::uint64_t after) const {
        ports::store_changes found{{}, revision};
        std::ranges::copy_if(changes, std::back_inserter(found.changes),
                             [after](const auto& each) { return each.revision > after; });
        return found;
    }
};

/// Keys of an entry that has applied a replica's answers.
struct replica_client {
    std::uint64_t revision = 0;
    std::map<std::string, std::string> keys;

    void apply(const ports::store_changes& changes) {
        for (const auto& each : changes.changes) {
            if (each.value) {
                keys[each.key] = *each.value;
            } else {
                keys.erase(each.key);
            }
        }
        revision = std::max(revision, changes.revision);
    }
};

} // namespace

TEST_CASE("prefix_replica: serves listings and changes, and reports the age of its data") {
    history store;
    store.change("a", "1");
    prefix_replica replica{max_age};
    CHECK_FALSE(replica.listing(start));
    CHECK_FALSE(replica.age(start));
    replica.apply(store.list(), start);
    REQUIRE(replica.listing(start + 1s));
    CHECK(replica.listing(start + 1s)->items.size() == 1);
    CHECK(replica.age(start + 1s) == 1s);
    CHECK_FALSE(replica.has_changes_since(store.revision));
    const std::uint64_t before = store.revision;
    store.change("b", "2");
    store.change("a", std::nullopt);
    replica.apply(before, store.since(before), start + 1s);
    CHECK(replica.has_changes_since(before));
    const auto changes = replica.changes_since(before, start + 1s);
    REQUIRE(changes);
    CHECK(changes->revision == store.revision);
    REQUIRE(changes->changes.size() == 2);
    CHECK_FALSE(changes->changes[1].value);
}

TEST_CASE("prefix_replica: data that is too old or has gaps is not served") {
    history store;
    store.change("a", "1");
    prefix_replica replica{max_age};
    replica.apply(store.list(), start);
    CHECK_FALSE(replica.changes_since(store.revision, start + max_age + 1ms));
    // A peer with a newer revision is not an error.
    REQUIRE(replica.changes_since(store.revision + 1, start));
    CHECK(replica.changes_since(store.revision + 1, start)->changes.empty());
    CHECK(replica.changes_since(store.revision - 1, start).error().code == errc::stale_revision);
    // A gap: the change at revision `unseen` was never read.
    store.change("b", "1");
    const std::uint64_t unseen = store.revision;
    store.change("c", "1");
    replica.apply(unseen, store.since(unseen), start);
    CHECK_FALSE(replica.listing(start));
}

TEST_CASE("prefix_replica: data is never older than reported, and removed keys never reappear (property)") {
    CHECK(rc::check([] {
        history store;
        time_point now = start;
        std::vector<std::pair<time_point, std::uint64_t>> past{{now, store.revision}};
        std::vector<prefix_replica> readers(2, prefix_replica{max_age});
        std::vector<std::uint64_t> read(2, 0);
        std::vector<replica_client> entries(3);
        for (int step = 0; step < 60; ++step) {
            now += std::chrono::milliseconds{*rc::gen::inRange(0, 700)};
            const auto key = std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 4)));
            const int action = *rc::gen::inRange(0, 6);
            if (action == 0) {
                store.change(key, std::to_string(step));
            } else if (action == 1 && store.state(store.revision).contains(key)) {
                store.change(key, std::nullopt);
            }
            past.emplace_back(now, store.revision);
            // Each reader stalls and resumes independently of the other.
            const auto reader = *rc::gen::inRange<std::size_t>(0, 2);
            if (action == 2) {
                readers[reader].apply(store.list(), now);
                read[reader] = store.revision;
            } else if (action == 3 && read[reader] > 0) {
                readers[reader].apply(read[reader], store.since(read[reader]), now);
                read[reader] = store.revision;
            }
            replica_client& entry = entries[*rc::gen::inRange<std::size_t>(0, 3)];
            const auto listing = readers[reader].listing(now);
            if (entry.revision == 0 && listing) {
                entry.revision = listing->revision;
                for (const auto& each : listing->items) {
                    entry.keys[each.key] = each.value;
                }
            } else if (entry.revision > 0) {
                const auto changes = readers[reader].changes_since(entry.revision, now);
                if (changes) {
                    const std::uint64_t before = entry.revision;
                    entry.apply(*changes);
                    RC_ASSERT(entry.revision >= before);
                    const time_point as_of = now - *readers[reader].age(now);
                    RC_ASSERT(now - as_of <= max_age);
                    for (const auto& [at, revision] : past) {
                        RC_ASSERT(at > as_of || entry.revision >= revision || at == as_of);
                    }
                }
            }
            if (entry.revision > 0) {
                RC_ASSERT(entry.keys == store.state(entry.revision));
            }
        }
    }));
}

TEST_CASE("prefix_replica: removals are dropped after the retention time, and older peers must list again") {
    history store;
    store.change("a", "1");
    prefix_replica replica{max_age};
    replica.apply(store.list(), start);
    const std::uint64_t before = store.revision;
    store.change("a", std::nullopt);
    replica.apply(before, store.since(before), start + 1s);
    const time_point later = start + 1s + prefix_replica::removal_retention + 1s;
    replica.apply(store.revision, store.since(store.revision), later);
    CHECK(replica.changes_since(before, later).error().code == errc::stale_revision);
    CHECK(replica.changes_since(store.revision, later));
}

// Guards against replicas that keep the revisions of a history that is gone, and pass old values on (CONFIG).
TEST_CASE("prefix_replica: a listing of a newer era replaces all, whatever its revision") {
    prefix_replica replica{max_age};
    replica.apply(ports::store_listing{{{"a", "1", 50}, {"b", "1", 60}}, 60, 1}, start);
    replica.apply(ports::store_listing{{{"a", "2", 30}}, 40, 2}, start + 1s);
    const auto all = replica.listing(start + 1s);
    REQUIRE(all);
    CHECK(all->era == 2);
    CHECK(all->revision == 40);
    REQUIRE(all->items.size() == 1);
    CHECK(all->items[0].value == "2");
    CHECK_FALSE(replica.changes_since(20, start + 1s));
    replica.apply(ports::store_listing{{{"b", "1", 70}}, 70, 1}, start + 1s);
    CHECK(replica.listing(start + 1s)->items.size() == 1);
    replica.apply(40, ports::store_changes{{{"c", "1", 45}}, 45, 2}, start + 1s);
    CHECK(replica.changes_since(40, start + 1s)->changes.size() == 1);
}

TEST_CASE("prefix_replica: changes of another era empty it until the next listing") {
    prefix_replica replica{max_age};
    replica.apply(ports::store_listing{{{"a", "1", 50}}, 60, 1}, start);
    replica.apply(60, ports::store_changes{{{"a", "2", 65}}, 65, 2}, start + 1s);
    CHECK_FALSE(replica.listing(start + 1s));
    replica.apply(ports::store_listing{{{"a", "1", 70}}, 70, 1}, start + 1s);
    CHECK_FALSE(replica.listing(start + 1s));
    replica.apply(ports::store_listing{{{"a", "2", 65}}, 66, 2}, start + 1s);
    CHECK(replica.listing(start + 1s)->items[0].value == "2");
}

#include "samphiretray/net/http_server.h"
#include "samphiretray/node/prefix_follower-inl.h"
#include "samphiretray/node/shared_store_client-inl.h"

#include <catch2/catch.hpp>

#include <list>
#include <map>
#include <ranges>

using namespace samphiretray;
using namespace samphiretray::node;

namespace {

/// Time after which a hanging test fails; results do not depend on it otherwise.
constexpr duration hang_limit = 10s;

/// A store with one prefix.
struct fake_store {
    net::loop& loop;
    std::map<std::string, ports::store_change> keys;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    /// A watch from an earlier revision is refused.
    std::uint64_t history_begins_at = 0;

    /// Comes back from an older copy.
    void restore(std::map<std::string, ports::store_change> copy, std::uint64_t copied_revision) {
        keys = std::move(copy);
        revision = copied_revision;
        ++era;
    }

    [[nodiscard]] bool is_changed(std::uint64_t after) const {
        return std::ranges::any_of(keys, [after](const auto& each) { return each.second.revision > after; });
    }

    void change(const std::string& key, std::optional<std::string> value) {
        ++revision;
        keys[key] = {key, std::move(value), revision};
    }
};

/// Connection of one process to the store: counts its calls, can be made unavailable, and polls the store for
/// a watch until there is a change or the limit has passed.
struct store_connection {
    fake_store& store;
    bool is_unavailable = false;
    int calls = 0;

    void list(const std::string&, ports::completion<ports::store_listing> done) {
        ++calls;
        store.loop.post([this, done = std::move(done)] {
            if (is_unavailable) {
                done(make_error(errc::unavailable, step::receive, "store", "status 503"));
                return;
            }
            ports::store_listing all;
            all.revision = store.revision;
            all.era = store.era;
            for (const auto& [key, change] : store.keys) {
                if (change.value) {
                    all.items.push_back({key, *change.value, change.revision});
                }
            }
            done(all);
        });
    }

    void watch(const std::string&, std::uint64_t after, duration limit,
               ports::completion<ports::store_changes> done) {
        ++calls;
        poll(after, store.loop.now() + limit, std::move(done));
    }

    void poll(std::uint64_t after, time_point until, ports::completion<ports::store_changes> done) {
        auto timer = std::make_shared<net::timer_handle>();
        *timer = store.loop.after(1ms, [this, after, until, timer, done = std::move(done)] {
            if (is_unavailable) {
                done(make_error(errc::unavailable, step::receive, "store", "status 503"));
            } else if (after > store.revision || after < store.history_begins_at) {
                done(make_error(errc::stale_revision, step::receive, "store", "status 410"));
            } else if (store.is_changed(after) || store.loop.now() >= until) {
                ports::store_changes changes{{}, store.revision, store.era};
                for (const auto& [key, change] : store.keys) {
                    if (change.revision > after) {
                        changes.changes.push_back(change);
                    }
                }
                done(changes);
            } else {
                poll(after, until, done);
            }
            store.loop.post([timer] { timer->reset(); });
        });
    }
};

/// An entry that follows the prefix, with an HTTP server for its peers.
struct entry {
    net::loop& loop;
    std::string vm;
    store_connection path;
    duration wait;
    std::unique_ptr<net::http_client> client = net::http_client::create(loop);
    shared_store_client<store_connection> shared{loop,
                                                 *client,
                                                 path,
                                                 {.vm = vm,
                                                  .prefixes = {"servers/"},
                                                  .reader_watch_limit = 80ms,
                                                  .max_age = 200ms,
                                                  .max_peer_wait = 100ms,
                                                  .answer_timeout = 60ms,
                                                  .max_answer_time = 140ms}};
    std::unique_ptr<net::http_server> server;
    std::map<std::string, std::string> seen;
    bool answers = true;
    /// What a busy link adds to each query of a peer.
    duration answer_delay{0};
    std::vector<net::timer_handle> delays;
    std::vector<std::shared_ptr<net::http_response>> held_responses;
    prefix_follower<shared_store_client<store_connection>> follower{
        loop,
        shared,
        {.prefix = "servers/",
         .min_watch_interval = 10ms,
         .max_watch_wait = wait,
         .base_backoff = 5ms,
         .max_backoff = 20ms},
        {.on_change =
             [this](const ports::store_change& change, bool) {
                 if (change.value) {
                     seen[change.key] = *change.value;
                 } else {
                     seen.erase(change.key);
                 }
             },
         .on_synchronized = [] {}}};

    entry(net::loop& events, fake_store& store, std::string name, duration watch_time)
        : loop(events), vm(std::move(name)), path{store}, wait(watch_time) {
        auto created = net::http_server::create(
            loop, {{"127.0.0.1", 0}},
            [this](const net::http_request& request, std::shared_ptr<net::http_response> response) {
                if (answers && answer_delay > 0ms) {
                    delays.push_back(loop.after(
                        answer_delay, [this, request, response] { shared.answer(request, response); }));
                } else if (answers) {
                    shared.answer(request, response);
                } else {
                    held_responses.push_back(std::move(response));
                }
            });
        REQUIRE(created);
        server = std::move(*created);
    }
};

struct data_centre {
    net::loop loop;
    fake_store store{loop, {}, 1};
    std::vector<std::unique_ptr<entry>> entries;

    explicit data_centre(std::size_t count, duration wait = 20ms) {
        store.change("servers/a", "1");
        std::vector<reader_selector::member> members;
        for (std::size_t i = 0; i < count; ++i) {
            entries.push_back(std::make_unique<entry>(loop, store, "entry-" + std::to_string(i), wait));
            members.push_back({entries.back()->vm, entries.back()->server->local_address()});
        }
        for (const auto& each : entries) {
            each->shared.set_members(members);
            each->follower.start();
        }
        REQUIRE(loop.run_until([&] { return all_see("servers/a", "1"); }, hang_limit));
        run(200ms);
    }

    void run(duration time) {
        loop.run_until([] { return false; }, time);
    }

    [[nodiscard]] bool all_see(const std::string& key, std::optional<std::string> value) const {
        return std::ranges::all_of(entries, [&](const auto& each) {
            const auto found = each->seen.find(key);
            return value ? found != each->seen.end() && found->second == *value : found == each->seen.end();
        });
    }

    /// Runs for `time` and returns the number of calls that each entry made to the store.
    std::vector<int> calls_in(duration time) {
        std::vector<int> before;
        std::ranges::transform(entries, std::back_inserter(before),
                               [](const auto& each) { return each->path.calls; });
        run(time);
        std::vector<int> calls;
        for (std::size_t i = 0; i < entries.size(); ++i) {
            calls.push_back(entries[i]->path.calls - before[i]);
        }
        return calls;
    }

    /// From now on the store serves one entry only, which is no reader.
    entry& refuse_all_but_one() {
        const auto calls = calls_in(200ms);
        const auto served =
            static_cast<std::size_t>(std::distance(calls.begin(), std::ranges::find(calls, 0)));
        REQUIRE(served < calls.size());
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i]->path.is_unavailable = i != served;
        }
        return *entries[served];
    }

    /// One of the two entries that read from the store.
    entry& reader() {
        const auto calls = calls_in(200ms);
        const auto found = std::ranges::find_if(calls, [](int each) { return each > 0; });
        REQUIRE(found != calls.end());
        return *entries[static_cast<std::size_t>(std::distance(calls.begin(), found))];
    }
};

} // namespace

TEST_CASE("shared store reads: two of nine entries read from the store, and all see changes") {
    data_centre site{9};
    const auto calls = site.calls_in(300ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
    site.store.change("servers/b", "2");
    site.store.change("servers/a", std::nullopt);
    CHECK(site.loop.run_until([&] { return site.all_see("servers/b", "2"); }, 200ms));
    CHECK(site.loop.run_until([&] { return site.all_see("servers/a", std::nullopt); }, 200ms));
}

TEST_CASE("shared store reads: an entry with a newer revision than its reader still gets changes from it") {
    // Regression: the store's revision grows with writes to any key. An entry that had once read from the
    // store stayed ahead of its reader's prefix, which had no writes, and sent every later call to the store.
    data_centre site{9};
    for (const auto& each : site.entries) {
        each->answers = false;
    }
    site.run(400ms);
    for (const auto& each : site.entries) {
        each->answers = true;
    }
    // Long enough for the backoff after a failed reader to end, while writes elsewhere advance the revision.
    const auto elsewhere = site.loop.every(7ms, [&] { ++site.store.revision; });
    site.run(reader_selector::failure_backoff + 200ms);
    const auto calls = site.calls_in(300ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
    site.store.change("servers/b", "2");
    CHECK(site.loop.run_until([&] { return site.all_see("servers/b", "2"); }, 200ms));
}

TEST_CASE("shared store reads: on a prefix without writes, the store is read by the two readers only") {
    // Regression: with watches of 3 s, a reader's data was 6 s old before its next watch ended, which is more
    // than the maximum age.
    data_centre site{9, 150ms};
    const auto calls = site.calls_in(800ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
}

TEST_CASE(
    "shared store reads: entries fall back to the store in time if their readers stall or lose the store") {
    data_centre site{9};
    const bool is_cut_off = GENERATE(false, true);
    std::vector<std::size_t> readers;
    const auto calls = site.calls_in(200ms);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (calls[i] > 0) {
            readers.push_back(i);
        }
    }
    REQUIRE(readers.size() == 2);
    for (const std::size_t i : readers) {
        site.entries[i]->answers = is_cut_off;
        site.entries[i]->path.is_unavailable = is_cut_off;
    }
    site.store.change("servers/b", "2");
    site.store.change("servers/a", std::nullopt);
    const auto others_know = [&] {
        return std::ranges::all_of(std::views::iota(std::size_t{0}, site.entries.size()), [&](std::size_t i) {
            const bool is_reader = std::ranges::find(readers, i) != readers.end();
            const auto& seen = site.entries[i]->seen;
            return is_reader || (seen.contains("servers/b") && !seen.contains("servers/a"));
        });
    };
    // max_age, then max_peer_wait and answer_timeout for each of the two readers, and 200 ms for a busy
    // machine.
    CHECK(site.loop.run_until(others_know, 200ms + 2 * 160ms + 200ms));
}

TEST_CASE("shared store reads: an entry that the store refuses gets changes from its peers") {
    data_centre site{4};
    for (const std::size_t i : {0U, 1U, 2U, 3U}) {
        site.entries[i]->path.is_unavailable = true;
        site.run(50ms);
        site.store.change("servers/" + std::to_string(i), "new");
        CHECK(site.loop.run_until([&] { return site.all_see("servers/" + std::to_string(i), "new"); },
                                  hang_limit));
        site.entries[i]->path.is_unavailable = false;
        site.run(100ms);
    }
}

// Guards against entries that serve an old configuration for as long as the store turns them and the readers
// of their data centre away, although another entry knows the new one (CONFIG).
TEST_CASE(
    "shared store reads: an entry that the store refuses gets changes from the only one that it serves") {
    data_centre site{9};
    site.refuse_all_but_one();
    // All data is older than the readers may give.
    site.run(250ms);
    site.store.change("servers/b", "2");
    site.store.change("servers/a", std::nullopt);
    CHECK(site.loop.run_until([&] { return site.all_see("servers/b", "2"); }, 3s));
    CHECK(site.loop.run_until([&] { return site.all_see("servers/a", std::nullopt); }, 3s));
}

// Guards against entries that hear of each change late although they know who has fresh data (CONFIG).
TEST_CASE("shared store reads: later changes come at once from the entry that had fresh data") {
    data_centre site{9};
    site.refuse_all_but_one();
    site.run(250ms);
    site.store.change("servers/b", "2");
    REQUIRE(site.loop.run_until([&] { return site.all_see("servers/b", "2"); }, 3s));
    site.run(1s);
    site.store.change("servers/c", "3");
    CHECK(site.loop.run_until([&] { return site.all_see("servers/c", "3"); }, 600ms));
}

// Guards against entries that hear of no change for 2 s after one lost answer of the only entry that the
// store serves (CONFIG).
TEST_CASE("shared store reads: one lost answer of the only entry with fresh data delays changes little") {
    data_centre site{9};
    entry& served = site.refuse_all_but_one();
    site.run(250ms);
    site.store.change("servers/b", "2");
    REQUIRE(site.loop.run_until([&] { return site.all_see("servers/b", "2"); }, 3s));
    served.answers = false;
    REQUIRE(site.loop.run_until([&] { return served.held_responses.size() >= 8; }, hang_limit));
    served.answers = true;
    site.store.change("servers/c", "3");
    CHECK(site.loop.run_until([&] { return site.all_see("servers/c", "3"); }, 600ms));
}

// Guards against an entry that acts on an old configuration while it queries one stopped entry after another,
// although the store serves it again (CONFIG).
TEST_CASE("shared store reads: entries that do not answer keep none from a store that serves it again") {
    data_centre site{9};
    entry& alive = site.reader();
    for (const auto& each : site.entries) {
        each->answers = each.get() == &alive;
    }
    alive.path.is_unavailable = true;
    site.run(50ms);
    alive.path.is_unavailable = false;
    site.store.change("servers/b", "2");
    // max_peer_wait and answer_timeout of one query, and 200 ms for a busy machine.
    CHECK(site.loop.run_until([&] { return alive.seen.contains("servers/b"); }, 160ms + 200ms));
}

// Guards against an entry behind a busy link that gives up each query before its answer comes, and so learns
// nothing for as long as the link is busy (CONFIG).
TEST_CASE("shared store reads: answers that come late are used") {
    data_centre site{9};
    entry& behind_link = *site.entries[4];
    behind_link.path.is_unavailable = true;
    for (const auto& each : site.entries) {
        each->answer_delay = 90ms;
    }
    site.run(400ms);
    site.store.change("servers/b", "2");
    // The time of two answers, and 200 ms for a busy machine.
    CHECK(site.loop.run_until([&] { return behind_link.seen.contains("servers/b"); }, 2 * 140ms + 200ms));
}

// Guards against an entry that the store refuses and that never learns a change, because the others have
// lost the history since its last read (CONFIG).
TEST_CASE("shared store reads: a refused entry reads all keys from an entry whose history is gone") {
    data_centre site{9};
    entry& refused = site.reader();
    refused.path.is_unavailable = true;
    for (const auto& each : site.entries) {
        each->answers = each.get() == &refused;
    }
    // Nobody hears of this change, and the store forgets it before anybody reads again.
    site.store.change("servers/b", "2");
    site.store.history_begins_at = site.store.revision + 1;
    ++site.store.revision;
    site.run(600ms);
    for (const auto& each : site.entries) {
        each->answers = true;
    }
    CHECK(site.loop.run_until([&] { return site.all_see("servers/b", "2"); }, 3s));
}

// Guards against changes that no entry sees, or only those that read the store themselves, after the store
// has come back from an older copy (CONFIG).
TEST_CASE("shared store reads: after the store was restored, twice, all entries see what it holds") {
    const bool has_caught_up = GENERATE(false, true);
    data_centre site{9};
    for (const std::string round : {"1", "2"}) {
        const auto copy = site.store.keys;
        const std::uint64_t revision = site.store.revision;
        for (int i = 0; i < 5; ++i) {
            site.store.change("servers/lost" + round, std::to_string(i));
        }
        REQUIRE(site.loop.run_until([&] { return site.all_see("servers/lost" + round, "4"); }, 200ms));
        site.store.restore(copy, revision);
        // Revisions that had been given out are given out again before anybody reads.
        for (int i = 0; has_caught_up && i < 8; ++i) {
            site.store.change("servers/other", round);
        }
        site.store.change("servers/new" + round, "x");
        CHECK(site.loop.run_until([&] { return site.all_see("servers/new" + round, "x"); }, 400ms));
        CHECK(site.loop.run_until([&] { return site.all_see("servers/lost" + round, std::nullopt); }, 400ms));
        site.run(100ms);
    }
    const auto calls = site.calls_in(300ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
}

TEST_CASE("replica_update: encoding preserves arbitrary bytes, and malformed input is refused") {
    replica_update update;
    update.changes = {{{"servers/a", std::string("\x00\xff\"", 3), 5}, {"servers/b", std::nullopt, 6}}, 7};
    update.age = 300ms;
    const auto decoded = decode_replica_update(encode(update), "peer");
    REQUIRE(decoded);
    CHECK(decoded->age == 300ms);
    CHECK(decoded->changes.revision == 7);
    REQUIRE(decoded->changes.changes.size() == 2);
    CHECK(decoded->changes.changes[0].value == update.changes.changes[0].value);
    CHECK_FALSE(decoded->changes.changes[1].value);
    const std::string text =
        GENERATE("", "[]", "{\"revision\":1}", "{\"revision\":1,\"age_ms\":0,\"rows\":[[1,2,3]]}",
                 "{\"revision\":1,\"age_ms\":0,\"rows\":[[\"a\",2,\"*\"]]}",
                 "{\"revision\":-1,\"age_ms\":0,\"rows\":[]}");
    CHECK(decode_replica_update(text, "peer").error().code == errc::protocol_error);
}

#include "samphiretray/net/http_server.h"
#include "samphiretray/node/prefix_follower-inl.h"
#include "samphiretray/node/shared_reading-inl.h"

#include <catch2/catch.hpp>

#include <list>
#include <map>
#include <ranges>

using namespace samphiretray;
using namespace samphiretray::node;

namespace {

/// Bounds a hanging test; no verdict depends on it otherwise.
constexpr duration hang_limit = 10s;

/// A store with one prefix that counts its calls; a watch without news waits.
struct small_store {
    net::loop& loop;
    std::map<std::string, ports::store_change> keys;
    std::uint64_t revision = 1;

    [[nodiscard]] bool is_changed(std::uint64_t after) const {
        return std::ranges::any_of(keys, [after](const auto& each) { return each.second.revision > after; });
    }

    void change(const std::string& key, std::optional<std::string> value) {
        ++revision;
        keys[key] = {key, std::move(value), revision};
    }
};

/// The store as one process reaches it.
struct path_to_store {
    small_store& store;
    bool is_refused = false;
    int calls = 0;

    void list(const std::string&, ports::completion<ports::store_listing> done) {
        ++calls;
        store.loop.post([this, done = std::move(done)] {
            if (is_refused) {
                done(make_error(errc::unavailable, step::receive, "store", "status 503"));
                return;
            }
            ports::store_listing all;
            all.revision = store.revision;
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
        look(after, store.loop.now() + limit, std::move(done));
    }

    void look(std::uint64_t after, time_point until, ports::completion<ports::store_changes> done) {
        auto timer = std::make_shared<net::timer_handle>();
        *timer = store.loop.after(1ms, [this, after, until, timer, done = std::move(done)] {
            if (is_refused) {
                done(make_error(errc::unavailable, step::receive, "store", "status 503"));
            } else if (store.is_changed(after) || store.loop.now() >= until) {
                ports::store_changes changes{{}, store.revision};
                for (const auto& [key, change] : store.keys) {
                    if (change.revision > after) {
                        changes.changes.push_back(change);
                    }
                }
                done(changes);
            } else {
                look(after, until, done);
            }
            store.loop.post([timer] { timer->reset(); });
        });
    }
};

/// An entry that follows the prefix.
struct entry {
    net::loop& loop;
    std::string vm;
    path_to_store path;
    duration wait;
    std::unique_ptr<net::http_client> client = net::http_client::create(loop);
    shared_reading<path_to_store> shared{loop,
                                         *client,
                                         path,
                                         {.vm = vm,
                                          .prefixes = {"servers/"},
                                          .reader_watch = 80ms,
                                          .max_age = 200ms,
                                          .wait = 100ms,
                                          .answer_limit = 60ms}};
    std::unique_ptr<net::http_server> server;
    std::map<std::string, std::string> seen;
    bool answers = true;
    std::vector<std::shared_ptr<net::http_response>> silent;
    prefix_follower<shared_reading<path_to_store>> follower{
        loop,
        shared,
        {.prefix = "servers/", .pace = 10ms, .wait = wait, .backoff = 5ms, .max_backoff = 20ms},
        {.on_change =
             [this](const ports::store_change& change, bool) {
                 if (change.value) {
                     seen[change.key] = *change.value;
                 } else {
                     seen.erase(change.key);
                 }
             },
         .on_synchronized = [] {}}};

    entry(net::loop& events, small_store& store, std::string name, duration watch_time)
        : loop(events), vm(std::move(name)), path{store}, wait(watch_time) {
        auto created = net::http_server::create(
            loop, {{"127.0.0.1", 0}},
            [this](const net::http_request& request, std::shared_ptr<net::http_response> response) {
                if (answers) {
                    shared.answer(request, response);
                } else {
                    silent.push_back(std::move(response));
                }
            });
        REQUIRE(created);
        server = std::move(*created);
    }
};

struct data_centre {
    net::loop loop;
    small_store store{loop, {}, 1};
    std::vector<std::unique_ptr<entry>> entries;

    explicit data_centre(std::size_t count, duration wait = 20ms) {
        store.change("servers/a", "1");
        std::vector<reader_choice::member> members;
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

    /// Calls to the store of each entry in `time`.
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
};

} // namespace

TEST_CASE("however many entries a data centre has, two of them ask the store, and all learn of changes") {
    data_centre all{9};
    const auto calls = all.calls_in(300ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
    all.store.change("servers/b", "2");
    all.store.change("servers/a", std::nullopt);
    CHECK(all.loop.run_until([&] { return all.all_see("servers/b", "2"); }, 200ms));
    CHECK(all.loop.run_until([&] { return all.all_see("servers/a", std::nullopt); }, 200ms));
}

TEST_CASE("an entry that has read more than its reader is told of the next change all the same") {
    // Pattern: the store's revision grows with every key. An entry that had read from the store once was
    // ahead of its reader's quiet prefix for ever, and each of its calls went to the store.
    data_centre all{9};
    for (const auto& each : all.entries) {
        each->answers = false;
    }
    all.run(400ms);
    for (const auto& each : all.entries) {
        each->answers = true;
    }
    // Long enough for the pause after a failed reader to end, and the store's revision moves on all the time.
    const auto elsewhere = all.loop.every(7ms, [&] { ++all.store.revision; });
    all.run(reader_choice::pause + 200ms);
    const auto calls = all.calls_in(300ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
    all.store.change("servers/b", "2");
    CHECK(all.loop.run_until([&] { return all.all_see("servers/b", "2"); }, 200ms));
}

TEST_CASE("a quiet prefix is read as seldom as the readers' watches last, whoever asks them") {
    // Pattern: watches of three seconds made the reading six seconds old before the next one ended.
    data_centre all{9, 150ms};
    const auto calls = all.calls_in(800ms);
    CHECK(std::ranges::count_if(calls, [](int each) { return each > 0; }) == 2);
}

TEST_CASE(
    "entries whose readers have stalled or are cut off read from the store themselves, within the bound") {
    data_centre all{9};
    const bool is_cut_off = GENERATE(false, true);
    std::vector<std::size_t> readers;
    const auto calls = all.calls_in(200ms);
    for (std::size_t i = 0; i < calls.size(); ++i) {
        if (calls[i] > 0) {
            readers.push_back(i);
        }
    }
    REQUIRE(readers.size() == 2);
    for (const std::size_t i : readers) {
        all.entries[i]->answers = is_cut_off;
        all.entries[i]->path.is_refused = is_cut_off;
    }
    all.store.change("servers/b", "2");
    all.store.change("servers/a", std::nullopt);
    const auto others_know = [&] {
        return std::ranges::all_of(std::views::iota(std::size_t{0}, all.entries.size()), [&](std::size_t i) {
            const bool is_reader = std::ranges::find(readers, i) != readers.end();
            const auto& seen = all.entries[i]->seen;
            return is_reader || (seen.contains("servers/b") && !seen.contains("servers/a"));
        });
    };
    // The oldest reading that is taken, a wait, and the limit of its answer, for each of two readers; a busy
    // machine.
    CHECK(all.loop.run_until(others_know, 200ms + 2 * 160ms + 200ms));
}

TEST_CASE("an entry that the store turns away learns from its peers") {
    data_centre all{4};
    for (const std::size_t i : {0U, 1U, 2U, 3U}) {
        all.entries[i]->path.is_refused = true;
        all.run(50ms);
        all.store.change("servers/" + std::to_string(i), "new");
        CHECK(all.loop.run_until([&] { return all.all_see("servers/" + std::to_string(i), "new"); },
                                 hang_limit));
        all.entries[i]->path.is_refused = false;
        all.run(100ms);
    }
}

TEST_CASE("a page of a replica keeps any bytes, and what is no page is refused") {
    replica_page page;
    page.changes = {{{"servers/a", std::string("\x00\xff\"", 3), 5}, {"servers/b", std::nullopt, 6}}, 7};
    page.age = 300ms;
    const auto decoded = decode_replica_page(encode(page), "peer");
    REQUIRE(decoded);
    CHECK(decoded->age == 300ms);
    CHECK(decoded->changes.revision == 7);
    REQUIRE(decoded->changes.changes.size() == 2);
    CHECK(decoded->changes.changes[0].value == page.changes.changes[0].value);
    CHECK_FALSE(decoded->changes.changes[1].value);
    const std::string text =
        GENERATE("", "[]", "{\"revision\":1}", "{\"revision\":1,\"age_ms\":0,\"rows\":[[1,2,3]]}",
                 "{\"revision\":1,\"age_ms\":0,\"rows\":[[\"a\",2,\"*\"]]}",
                 "{\"revision\":-1,\"age_ms\":0,\"rows\":[]}");
    CHECK(decode_replica_page(text, "peer").error().code == errc::protocol_error);
}

#include "samphiretray/base/text.h"
#include "samphiretray/gateway/origin_exchange.h"
#include "samphiretray/gateway/origin_search.h"
#include "samphiretray/gateway/stream_continuation.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

const routing::stream_origin older{"assistants", "v1"};

std::vector<net::address> make_targets(std::size_t count) {
    std::vector<net::address> targets;
    for (std::size_t i = 0; i < count; ++i) {
        targets.push_back({"10.0.0." + std::to_string(i), 1});
    }
    return targets;
}

} // namespace

TEST_CASE("the likely processes are asked first, and the others only if these do not know the stream") {
    // Guards against a query to every process of the fleet for each stream that is taken up.
    origin_search search;
    REQUIRE(search.begin(1, make_targets(20)));
    const auto first = search.take_queries();
    CHECK(first.size() == origin_search::first_targets);
    CHECK(search.take_queries().empty());
    for (const auto& each : first) {
        search.on_answer(each.target, {});
    }
    const auto second = search.take_queries();
    CHECK(second.size() == 20 - origin_search::first_targets);
    CHECK(search.take_results().empty());
    search.on_answer(second.back().target, {{1, older}});
    const auto found = search.take_results();
    REQUIRE(found.size() == 1);
    CHECK(found.front().origin == older);
}

TEST_CASE("a stream that nobody knows ends as unknown, also if nobody can be asked") {
    // Guards against a caller that waits for its deadline, and against a guess.
    origin_search search;
    REQUIRE(search.begin(1, {}));
    const auto none = search.take_results();
    REQUIRE(none.size() == 1);
    CHECK_FALSE(none.front().origin);
    REQUIRE(search.begin(2, make_targets(2)));
    for (const auto& each : search.take_queries()) {
        search.on_answer(each.target, {});
    }
    REQUIRE(search.take_results().size() == 1);
    CHECK(search.size() == 0);
}

TEST_CASE("streams that are looked for together share the queries, and their number is bounded") {
    // Guards against a query for each stream after all entries were killed, and against made-up attempts.
    origin_search search;
    std::size_t begun = 0;
    for (routing::stream_key each = 0; each < 2 * origin_search::max_searches; ++each) {
        begun += search.begin(each, make_targets(4)) ? 1 : 0;
    }
    CHECK(begun == origin_search::max_searches);
    const auto queries = search.take_queries();
    REQUIRE(queries.size() == 4);
    CHECK(queries.front().streams.size() == origin_search::max_streams_in_query);
    CHECK(search.take_queries().empty());
}

TEST_CASE("property: each search ends once, with the origin if a process that is asked knows it") {
    // Guards against answers of an earlier query that count for a later search of the same stream.
    rc::check([] {
        origin_search search;
        std::vector<origin_search::query> open;
        // Odd streams are known to all processes, even ones to none.
        const auto answer = [&search](const origin_search::query& query) {
            std::vector<known_stream> known;
            for (const auto stream : query.streams) {
                if (stream % 2 == 1) {
                    known.push_back({stream, older});
                }
            }
            search.on_answer(query.target, known);
        };
        std::multiset<routing::stream_key> wanted;
        const auto drain = [&] {
            for (auto& each : search.take_queries()) {
                open.push_back(std::move(each));
            }
            for (const auto& each : search.take_results()) {
                RC_ASSERT(wanted.erase(each.stream) == 1U);
                RC_ASSERT((!each.origin || *each.origin == older));
                RC_ASSERT(each.origin.has_value() == (each.stream % 2 == 1));
            }
        };
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 12));
        for (const int step : steps) {
            if (step < 5) {
                const auto stream = static_cast<routing::stream_key>(step);
                if (!wanted.contains(stream)) {
                    wanted.insert(stream);
                }
                RC_ASSERT(search.begin(stream, make_targets(9)));
            } else if (!open.empty()) {
                const auto query = open[static_cast<std::size_t>(step) % open.size()];
                std::erase_if(open, [&](const auto& each) { return each.target == query.target; });
                answer(query);
            }
            drain();
        }
        while (!open.empty()) {
            const auto query = open.back();
            open.pop_back();
            answer(query);
            drain();
        }
        RC_ASSERT(wanted.empty());
        RC_ASSERT(search.size() == 0U);
    });
}

TEST_CASE("a stream that is looked for repeatedly in one turn of the loop ends once for each request") {
    // Guards against a search that ends twice: its second result had no waiting request and ended the
    // process.
    net::loop loop;
    const auto client = net::http_client::create(loop);
    origin_exchange exchange{loop, *client};
    std::vector<std::size_t> ended(4, 0);
    const auto seek = [&](std::size_t index) {
        return exchange.find(1, {}, [&, index](const auto& origin, std::size_t asked) {
            ++ended[index];
            CHECK_FALSE(origin);
            CHECK(asked == 0);
            if (index == 0) {
                // Begins a search of its own, since the first one has ended.
                CHECK(exchange.find(1, {}, [&](const auto&, std::size_t) {
                    ++ended.back();
                    loop.stop();
                }));
            }
        });
    };
    REQUIRE(seek(0));
    REQUIRE(seek(1));
    REQUIRE(seek(2));
    const auto give_up = loop.after(2s, [&] { loop.stop(); });
    loop.run();
    CHECK(ended == std::vector<std::size_t>{1, 1, 1, 1});
}

TEST_CASE("a stream goes on only where its route still leads and a server of its version does not drain") {
    // Guards against a stream that is sent to another service or version, or that waits for a server that
    // leaves.
    route from;
    from.services = {{"assistants", 1}};
    endpoint_directory directory;
    endpoint server;
    server.id = "i-1";
    server.service = older.service;
    server.software_version = older.software_version;
    directory.update(server);
    const time_point now{1000s};
    CHECK(classify_continuation(std::nullopt, from, directory, now) == continuation::unknown);
    CHECK(classify_continuation(older, from, directory, now) == continuation::possible);
    CHECK(classify_continuation(routing::stream_origin{"assistants", "v2"}, from, directory, now) ==
          continuation::gone);
    CHECK(classify_continuation(older, route{}, directory, now) == continuation::gone);
    server.draining = true;
    directory.update(server);
    CHECK(classify_continuation(older, from, directory, now) == continuation::gone);
}

TEST_CASE("agents of likely engines come before entries of the data centre, and each process once") {
    // Guards against queries that ask the processes last that most likely know the stream, or ask one twice.
    origin_sources sources{"north-a",
                           7,
                           {"10.0.0.2"},
                           {"10.0.0.1", "10.0.0.2"},
                           {{"far", {"10.0.1.2", 5}, "south-a"}, {"near", {"10.0.1.1", 5}, "north-a"}}};
    CHECK(order_origin_sources(sources) ==
          std::vector<net::address>{{"10.0.0.2", 7}, {"10.0.1.1", 5}, {"10.0.0.1", 7}, {"10.0.1.2", 5}});
    sources.agent_control_port = 0;
    CHECK(order_origin_sources(sources).size() == 2);
}

TEST_CASE("answers about streams survive the wire, and nothing else is taken for one") {
    // Guards against a version that is read from an answer that is none.
    routing::stream_origins known;
    known.note(0xAB, older, time_point{1s});
    const std::string text =
        answer_origin_query("streams=" + to_hex(0xAB) + ",zz," + to_hex(1), known, time_point{1s});
    const auto decoded = decode_origin_answer(text, "peer");
    REQUIRE(decoded);
    REQUIRE(decoded->size() == 1);
    CHECK(decoded->front().stream == 0xAB);
    CHECK(decoded->front().origin == older);
    for (const std::string bad : {"", "[]", R"({"zz":["a","b"]})", R"({"ab":["a"]})", R"({"ab":["a",1]})"}) {
        INFO(bad);
        CHECK_FALSE(decode_origin_answer(bad, "peer"));
    }
}

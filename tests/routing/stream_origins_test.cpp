#include "samphiretray/routing/stream_origins.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::routing;

namespace {

constexpr time_point start{1h};
const stream_origin older{"assistants", "v1"};
const stream_origin newer{"assistants", "v2"};

} // namespace

TEST_CASE("only a server of the service and the known version that began a stream may go on with it") {
    // Guards against text that is joined from two versions; an unknown version is equal to none, also not to
    // itself.
    CHECK(may_continue(older, "assistants", "v1"));
    CHECK_FALSE(may_continue(older, "assistants", "v2"));
    CHECK_FALSE(may_continue(older, "orders", "v1"));
    CHECK_FALSE(may_continue(older, "assistants", ""));
    CHECK_FALSE(may_continue({"assistants", ""}, "assistants", ""));
}

TEST_CASE("a stream that was noted with two versions belongs to none") {
    // Guards against an attempt id that is used twice, and against two processes that disagree.
    stream_origins origins;
    origins.note(1, older, start);
    CHECK(origins.find(1, start) == older);
    origins.note(1, newer, start + 1s);
    CHECK_FALSE(origins.find(1, start + 1s));
    origins.note(1, newer, start + 2s);
    CHECK_FALSE(origins.find(1, start + 2s));
}

TEST_CASE("a stream is remembered from its last noting on, and no longer than the retention") {
    // Guards against a long stream that is forgotten while it runs, and against memory that grows with age.
    stream_origins origins;
    origins.note(1, older, start);
    origins.note(1, older, start + 2min);
    CHECK(origins.find(1, start + 2min + stream_origins::retention) == older);
    CHECK_FALSE(origins.find(1, start + 2min + stream_origins::retention + 1ms));
    origins.note(2, older, start + 10min);
    CHECK(origins.size() == 1);
}

TEST_CASE("however many streams are begun, a bounded number is remembered, the newest ones") {
    // Guards against a caller that makes attempts up and fills the memory.
    stream_origins origins;
    for (stream_key each = 0; each < 3 * stream_origins::max_streams; ++each) {
        origins.note(each, each % 2 == 0 ? older : newer, start + std::chrono::milliseconds{each});
    }
    const time_point end = start + std::chrono::milliseconds{3 * stream_origins::max_streams};
    CHECK(origins.size() == stream_origins::max_streams);
    CHECK(origins.evicted() == 2 * stream_origins::max_streams);
    CHECK(origins.find(3 * stream_origins::max_streams - 1, end) == newer);
    CHECK_FALSE(origins.find(0, end));
}

TEST_CASE("the attempts of two organisations are two streams, whatever their ids") {
    // Guards against a caller that names another one's attempt.
    CHECK(make_stream_key("coop", "a-1") == make_stream_key("coop", "a-1"));
    CHECK(make_stream_key("coop", "a-1") != make_stream_key("shelter", "a-1"));
    CHECK(make_stream_key("coop", "a-1") != make_stream_key("coopa", "-1"));
}

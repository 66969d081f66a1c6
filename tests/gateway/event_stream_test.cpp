#include "samphiretray/gateway/event_stream.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

constexpr time_point start{};

} // namespace

TEST_CASE("whole events pass and the bytes of an incomplete one are held back") {
    event_stream stream;
    CHECK(stream.take("id: 1\ndata: a\n\nid: 2\nda", start).ends_with("data: a\n\n"));
    CHECK(stream.last_id() == "1");
    CHECK(stream.held() == "id: 2\nda");
    CHECK(stream.take("ta: b\r\n\r\n", start) == "id: 2\ndata: b\r\n\r\n");
    CHECK(stream.last_id() == "2");
    CHECK(stream.held().empty());
}

TEST_CASE("bytes that complete no event are no progress, however often they come") {
    // Pattern: a stalled engine that sends a byte or a comment now and then.
    event_stream stream;
    stream.resume(start);
    CHECK(stream.take("id: 1\n\n", start + 1s) == "id: 1\n\n");
    CHECK(stream.progress_at() == start + 1s);
    for (int i = 2; i < 20; ++i) {
        (void)stream.take(i % 2 == 0 ? ":\n\n" : "d", start + std::chrono::seconds{i});
    }
    CHECK(stream.progress_at() == start + 1s);
    CHECK(stream.last_id() == "1");
}

TEST_CASE("an event without end is told before it fills the memory") {
    event_stream stream;
    std::size_t taken = 0;
    while (!stream.is_overlong()) {
        CHECK(stream.take(std::string(10'000, 'x'), start).empty());
        taken += 10'000;
        REQUIRE(taken <= event_stream::max_event_bytes + 10'000);
    }
}

TEST_CASE("a stream that is resumed goes on behind its last whole event") {
    event_stream stream;
    std::string passed = stream.take("id: 1\n\nid: 2\n\nid: 3\ndata: ha", start);
    CHECK(stream.last_id() == "2");
    stream.resume(start + 1s);
    CHECK(stream.last_id() == "2");
    CHECK(stream.progress_at() == start + 1s);
    passed += stream.take("id: 3\ndata: half\n\n", start + 2s);
    CHECK(passed == "id: 1\n\nid: 2\n\nid: 3\ndata: half\n\n");
    CHECK(stream.last_id() == "3");
}

TEST_CASE("however a stream is cut into pieces, its events are the same") {
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange(1, 8);
        std::string whole;
        for (int i = 1; i <= count; ++i) {
            whole += "id: " + std::to_string(i) + "\ndata: " + std::string(i, 'x') + "\n\n";
        }
        event_stream stream;
        std::string passed;
        for (std::size_t at = 0; at < whole.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 12);
            passed += stream.take(std::string_view{whole}.substr(at, size), start);
            RC_ASSERT(passed.empty() || passed.ends_with("\n\n"));
            at += size;
        }
        RC_ASSERT(passed == whole);
        RC_ASSERT(stream.last_id() == std::to_string(count));
    }));
}

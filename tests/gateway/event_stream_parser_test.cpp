#include "samphiretray/gateway/event_stream_parser.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

constexpr time_point start{};

} // namespace

TEST_CASE("complete events are returned and the bytes of an incomplete one are kept") {
    event_stream_parser stream;
    CHECK(stream.append("id: 1\ndata: a\n\nid: 2\nda", start).ends_with("data: a\n\n"));
    CHECK(stream.last_event_id() == "1");
    CHECK(stream.incomplete_event() == "id: 2\nda");
    CHECK(stream.append("ta: b\r\n\r\n", start) == "id: 2\ndata: b\r\n\r\n");
    CHECK(stream.last_event_id() == "2");
    CHECK(stream.incomplete_event().empty());
}

// Guards against a stream that was broken off inside its first event and passed on as a whole one.
TEST_CASE(
    "a stream is inside an event from its first byte to the empty line behind it, and not in a comment") {
    const auto [bytes, is_inside] = GENERATE(table<std::string, bool>({
        {"", false},
        {"i", true},
        {"event: x\n", true},
        {"id: 1\ndata: a\n", true},
        {"id: 1\ndata: a\n\n", false},
        {"id: 1\r\ndata: a\r\n\r", true},
        {"id: 1\r\ndata: a\r\n\r\n", false},
        {"id: 1\n\nid: 2\nda", true},
        {"id: 1\n\n: alive", false},
        {": alive\nid: 2\n", true},
    }));
    INFO(bytes);
    event_stream_parser stream;
    (void)stream.append(bytes, start);
    CHECK(stream.is_inside_event() == is_inside);
}

TEST_CASE("events are counted for the current attempt only, and comments are none") {
    event_stream_parser stream;
    CHECK_FALSE(stream.has_events());
    (void)stream.append(":\n\nid: 1\n", start);
    CHECK_FALSE(stream.has_events());
    (void)stream.append("\n", start);
    CHECK(stream.has_events());
    stream.resume(start);
    CHECK_FALSE(stream.has_events());
}

TEST_CASE("bytes that complete no event do not count as progress") {
    // A stalled engine may still send single bytes or comments.
    event_stream_parser stream;
    stream.resume(start);
    CHECK(stream.append("id: 1\n\n", start + 1s) == "id: 1\n\n");
    CHECK(stream.last_progress_at() == start + 1s);
    for (int i = 2; i < 20; ++i) {
        (void)stream.append(i % 2 == 0 ? ":\n\n" : "d", start + std::chrono::seconds{i});
    }
    CHECK(stream.last_progress_at() == start + 1s);
    CHECK(stream.last_event_id() == "1");
}

TEST_CASE("an event above the size limit is detected before the buffer grows further") {
    event_stream_parser stream;
    std::size_t appended = 0;
    while (!stream.is_event_too_large()) {
        CHECK(stream.append(std::string(10'000, 'x'), start).empty());
        appended += 10'000;
        REQUIRE(appended <= event_stream_parser::max_event_bytes + 10'000);
    }
}

TEST_CASE("a resumed stream continues after its last complete event") {
    event_stream_parser stream;
    std::string received = stream.append("id: 1\n\nid: 2\n\nid: 3\ndata: ha", start);
    CHECK(stream.last_event_id() == "2");
    stream.resume(start + 1s);
    CHECK(stream.last_event_id() == "2");
    CHECK(stream.last_progress_at() == start + 1s);
    received += stream.append("id: 3\ndata: half\n\n", start + 2s);
    CHECK(received == "id: 1\n\nid: 2\n\nid: 3\ndata: half\n\n");
    CHECK(stream.last_event_id() == "3");
}

TEST_CASE("the events of a stream do not depend on how its bytes are split") {
    CHECK(rc::check([] {
        const auto count = *rc::gen::inRange(1, 8);
        std::string whole;
        for (int i = 1; i <= count; ++i) {
            whole += "id: " + std::to_string(i) + "\ndata: " + std::string(i, 'x') + "\n\n";
        }
        event_stream_parser stream;
        std::string received;
        for (std::size_t at = 0; at < whole.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 12);
            received += stream.append(std::string_view{whole}.substr(at, size), start);
            RC_ASSERT(received.empty() || received.ends_with("\n\n"));
            at += size;
        }
        RC_ASSERT(received == whole);
        RC_ASSERT(stream.last_event_id() == std::to_string(count));
    }));
}

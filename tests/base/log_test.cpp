#include "samphiretray/base/log.h"

#include <catch2/catch.hpp>

using namespace samphiretray;

// Guards against log injection: a line break in a value from a caller must not start a second log line.
TEST_CASE("a line break in a log value is escaped") {
    const std::string line = format_event("request_refused", {{"adapter", "a\nevent=fake"}, {"status", 503}});
    CHECK(line == "event=request_refused adapter=\"a\\x0aevent=fake\" status=503");
}

TEST_CASE("bytes of a log value that are not UTF-8 are escaped, and other text is written as it is") {
    CHECK(format_event("e", {{"adapter", "ni\xF1o7"}}) == "event=e adapter=\"ni\\xf1o7\"");
    CHECK(format_event("e", {{"adapter", "ni\xC3\xB1o7"}}) == "event=e adapter=ni\xC3\xB1o7");
}

// Guards against a null pointer for the precision of the time stamp, which crashed on the first line.
TEST_CASE("a log line is written without a call of configure_logging") {
    log_event(log_level::warning, "test_event", {{"count", 1}});
    SUCCEED("the line was written");
}

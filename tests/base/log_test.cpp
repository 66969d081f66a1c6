#include "samphiretray/base/log.h"

#include <catch2/catch.hpp>

using namespace samphiretray;

// A caller-supplied value with a line break must not start a second log line.
TEST_CASE("a log event is one line whatever its values hold") {
    const std::string line = format_event("request_refused", {{"adapter", "a\nevent=fake"}, {"status", 503}});
    CHECK(line == "event=request_refused adapter=\"a\\x0aevent=fake\" status=503");
}

// Guards against a null precision in the time format, which crashed on the first line.
TEST_CASE("a line is written without set-up") {
    log_event(log_level::warning, "test_event", {{"count", 1}});
    SUCCEED("the line was written");
}

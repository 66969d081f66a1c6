#include "samphiretray/base/log.h"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <string>

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

namespace {

/// What is written to standard output while this lives.
class captured_output {
public:
    captured_output() : original_(::dup(STDOUT_FILENO)) {
        std::fflush(stdout);
        REQUIRE(::pipe2(ends_.data(), O_CLOEXEC | O_NONBLOCK) == 0);
        ::dup2(ends_[1], STDOUT_FILENO);
    }
    ~captured_output() {
        ::dup2(original_, STDOUT_FILENO);
        ::close(original_);
        ::close(ends_[0]);
        ::close(ends_[1]);
    }
    captured_output(const captured_output&) = delete;
    captured_output& operator=(const captured_output&) = delete;

    [[nodiscard]] std::string text() const {
        std::string all(64U << 10U, '\0');
        const ssize_t size = ::read(ends_[0], all.data(), all.size());
        all.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return all;
    }

private:
    int original_;
    std::array<int, 2> ends_{};
};

} // namespace

// Guards against logs that do not tell when a busy entry applied a configuration: lines about requests used
// up the rate.
TEST_CASE("lines about requests do not displace those about the process") {
    std::string text;
    {
        const captured_output output;
        configure_logging(log_level::info, 100);
        for (int i = 0; i < 300; ++i) {
            log_event(log_level::info, "request_ended", {{"request", i}});
        }
        log_event(log_level::info, "configuration_applied", {{"version", 7}});
        text = output.text();
    }
    configure_logging(log_level::info);
    CHECK(text.find("configuration_applied") != std::string::npos);
    CHECK(text.find("log_lines_dropped") != std::string::npos);
}

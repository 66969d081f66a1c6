#include "samphiretray/agent/answer_checker.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphiretray;
using agent::answer_checker;

namespace {

const ports::adapter_version expected_version{"splint", "3"};

answer_checker streaming_checker() {
    answer_checker checker{expected_version};
    checker.start(200, "text/event-stream");
    return checker;
}

std::string event(const std::string& model) {
    return "data: {\"model\":\"" + model + "\",\"choices\":[]}\n\n";
}

} // namespace

// Guards against sending bytes of an answer to the caller before its model has been checked.
TEST_CASE("an event is buffered until it is complete and checked") {
    answer_checker checker = streaming_checker();
    const std::string whole = event("splint@3");
    CHECK(checker.feed(whole.substr(0, 10)).value().empty());
    CHECK(checker.feed(whole.substr(10)).value() == whole);
}

// Guards against an engine that switches to another adapter version in the middle of a stream.
TEST_CASE("a later event with another adapter version fails the answer") {
    answer_checker checker = streaming_checker();
    CHECK(checker.feed(event("splint@3")).has_value());
    const auto outcome = checker.feed(event("splint@2"));
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == errc::wrong_version);
}

// Guards against treating a truncated stream as complete.
TEST_CASE("a stream without [DONE] is reported as truncated") {
    answer_checker truncated = streaming_checker();
    CHECK(truncated.feed(event("splint@3")).has_value());
    REQUIRE_FALSE(truncated.finish());
    answer_checker whole = streaming_checker();
    CHECK(whole.feed(event("splint@3") + "data: [DONE]\n\n").has_value());
    CHECK(whole.finish());
}

TEST_CASE("a JSON body is checked as a whole and its token usage is read") {
    answer_checker checker{expected_version};
    checker.start(200, "application/json");
    const std::string body = R"({"model":"splint@3","usage":{"total_tokens":17}})";
    CHECK(checker.feed(body.substr(0, 20)).value().empty());
    CHECK(checker.feed(body.substr(20)).value().empty());
    CHECK(checker.finish().value() == body);
    CHECK(checker.tokens() == 17U);
}

TEST_CASE("an answer that has no model field or is not JSON fails with a protocol error") {
    for (const std::string body : {"{}", "[1", "{\"model\":3}"}) {
        answer_checker checker{expected_version};
        checker.start(200, "application/json");
        CHECK(checker.feed(body).has_value());
        const auto outcome = checker.finish();
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == errc::protocol_error);
    }
}

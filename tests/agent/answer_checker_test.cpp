#include "samphiretray/agent/answer_checker.h"

#include <catch2/catch.hpp>

#include <string>

using namespace samphiretray;
using agent::answer_checker;

namespace {

const ports::adapter_version target{"splint", "3"};

answer_checker streaming() {
    answer_checker checker{target};
    checker.start(200, "text/event-stream");
    return checker;
}

std::string event(const std::string& model) {
    return "data: {\"model\":\"" + model + "\",\"choices\":[]}\n\n";
}

} // namespace

// Guards against passing on the first bytes of an answer before its adapter is known.
TEST_CASE("an event is held back until it is complete and checked") {
    answer_checker checker = streaming();
    const std::string whole = event("splint@3");
    CHECK(checker.feed(whole.substr(0, 10)).value().empty());
    CHECK(checker.feed(whole.substr(10)).value() == whole);
}

// Guards against an engine that switches adapters in the middle of a stream.
TEST_CASE("a later event of another version fails the answer") {
    answer_checker checker = streaming();
    CHECK(checker.feed(event("splint@3")).has_value());
    const auto outcome = checker.feed(event("splint@2"));
    REQUIRE_FALSE(outcome);
    CHECK(outcome.error().code == errc::wrong_version);
}

// Guards against a cut stream that is taken for a whole one.
TEST_CASE("a stream is whole only after [DONE]") {
    answer_checker cut = streaming();
    CHECK(cut.feed(event("splint@3")).has_value());
    REQUIRE_FALSE(cut.finish());
    answer_checker whole = streaming();
    CHECK(whole.feed(event("splint@3") + "data: [DONE]\n\n").has_value());
    CHECK(whole.finish());
}

TEST_CASE("a plain body is checked as a whole and its usage is read") {
    answer_checker checker{target};
    checker.start(200, "application/json");
    const std::string body = R"({"model":"splint@3","usage":{"total_tokens":17}})";
    CHECK(checker.feed(body.substr(0, 20)).value().empty());
    CHECK(checker.feed(body.substr(20)).value().empty());
    CHECK(checker.finish().value() == body);
    CHECK(checker.tokens() == 17U);
}

TEST_CASE("an answer that names no model or is no JSON is refused") {
    for (const std::string body : {"{}", "[1", "{\"model\":3}"}) {
        answer_checker checker{target};
        checker.start(200, "application/json");
        CHECK(checker.feed(body).has_value());
        const auto outcome = checker.finish();
        REQUIRE_FALSE(outcome);
        CHECK(outcome.error().code == errc::protocol_error);
    }
}

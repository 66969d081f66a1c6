#include "samphiretray/entry/completion_request.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using entry::parse_completion;

TEST_CASE("completion_request: parses a valid body and adds the fields for the engine") {
    const auto request =
        parse_completion(R"({"model":"splint@3","prompt":"hi","max_tokens":7,"stream":true})");
    REQUIRE(request);
    CHECK(request->adapter == "splint");
    CHECK(request->version == "3");
    CHECK(request->streamed);
    CHECK(request->token_bound > 7);
    const std::string body = entry::forwarded_body(*request, "3", true);
    CHECK(body.find(R"("model":"splint@3")") != std::string::npos);
    CHECK(body.find(R"("priority":1)") != std::string::npos);
    CHECK(body.find(R"("include_usage":true)") != std::string::npos);
}

// Otherwise an engine would run bodies that the entry has not validated.
TEST_CASE("completion_request: the error for an invalid body names the field") {
    const auto message = [](const char* body) { return parse_completion(body).error().detail; };
    CHECK(message("nonsense") == "the body is not a JSON object");
    CHECK(message(R"({"prompt":"a"})").find("model") != std::string::npos);
    CHECK(message(R"({"model":"a@","prompt":"a"})").find("model") != std::string::npos);
    CHECK(message(R"({"model":"a@1@2","prompt":"a"})").find("model") != std::string::npos);
    CHECK(message(R"({"model":"a","prompt":"a","stream":"yes"})").find("stream") != std::string::npos);
    CHECK(message(R"({"model":"a","prompt":"a","max_tokens":-1})").find("max_tokens") != std::string::npos);
    CHECK(message(R"({"model":"a","prompt":"a","n":4})").find("n:") != std::string::npos);
    CHECK(message(R"({"model":"a","prompt":["x","y"]})").find("one prompt") != std::string::npos);
    CHECK(message(R"({"model":"a"})").find("prompt") != std::string::npos);
}

// Guards against a caller that bypasses the access check with a second "model" member.
TEST_CASE("completion_request: a duplicate JSON member is forwarded once, with the validated value") {
    const auto request = parse_completion(R"({"model":"a@1","prompt":"x","model":"b@2"})");
    REQUIRE(request);
    CHECK(request->adapter == "b");
    const std::string body = entry::forwarded_body(*request, request->version, false);
    CHECK(body.find("a@1") == std::string::npos);
}

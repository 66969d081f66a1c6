#include "samphiretray/gateway/crash_report.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

TEST_CASE("a message about crashes is read as it was written") {
    crash_message message;
    message.evidence.revision = 4;
    message.evidence.crashes = {{"10.0.0.1:80#7", 1500ms, {{11, {21, 22}}, {12, {}}}}};
    message.evidence.harmless = {{23, 250ms}};
    message.held = {{21, {22, 24}, 18s}, {25, {}, 0ms}};
    message.engine_started_at = 1'774'344'211'282;
    const auto read = decode_crash_message(encode(message), "peer");
    REQUIRE(read);
    CHECK(read->evidence.crashes.front().requests.front().parts == std::vector<routing::part_key>{21, 22});
    CHECK(read->evidence.harmless.front().age == 250ms);
    REQUIRE(read->held.size() == 2);
    CHECK(read->held[0].part == 21);
    CHECK(read->held[0].companions == std::vector<routing::part_key>{22, 24});
    CHECK(read->held[0].time_left == 18s);
    CHECK(read->held[1].time_left == 0ms);
    CHECK(read->engine_started_at == message.engine_started_at);
}

TEST_CASE("a message about crashes that is malformed is refused") {
    const std::string valid = R"({"revision":1,"crashes":[],"harmless":[],"held":)";
    CHECK(decode_crash_message(valid + "[[1,2]]}", "peer"));
    for (const char* held :
         {"[[1]]}", "[7]}", "[[1,-2]]}", R"([["a",2]]})", R"({"a":1}})", "7}", "[[[]]]}"}) {
        CHECK_FALSE(decode_crash_message(valid + held, "peer"));
    }
    CHECK_FALSE(decode_crash_message("", "peer"));
    CHECK_FALSE(decode_crash_message("[]", "peer"));
}

TEST_CASE("recorded evidence is older by the time since it was written") {
    recorded_evidence evidence;
    evidence.crashes.crashes = {{"10.0.0.1:80#7", 1500ms, {{11, {21, 22}}}}};
    evidence.requests.requests = {{31, {{41, 51, 1s}, {42, 52, 2s}}, 3s}, {32, {{43, 53, 4s}}, std::nullopt}};
    const std::string text = encode_recorded_evidence(evidence, 100'000);
    const auto later = decode_recorded_evidence(text, "key", 102'000);
    REQUIRE(later);
    CHECK(later->crashes.crashes.front().age == 3500ms);
    CHECK(later->crashes.crashes.front().requests.front().parts == std::vector<routing::part_key>{21, 22});
    REQUIRE(later->requests.requests.size() == 2);
    const routing::suspected_request& suspected = later->requests.requests.front();
    CHECK(suspected.request == 31);
    REQUIRE(suspected.cuts.size() == 2);
    CHECK(suspected.cuts[1].server == 42);
    CHECK(suspected.cuts[1].attempt == 52);
    CHECK(suspected.cuts[1].age == 4s);
    CHECK(suspected.answered == 5s);
    CHECK_FALSE(later->requests.requests[1].answered);
    // A reader whose clock is behind.
    const auto earlier = decode_recorded_evidence(text, "key", 99'000);
    REQUIRE(earlier);
    CHECK(earlier->crashes.crashes.front().age == 1500ms);
    CHECK(earlier->requests.requests.front().cuts.front().age == 1s);
}

TEST_CASE("recorded evidence that is malformed is refused") {
    const std::string valid = R"({"revision":1,"crashes":[],"harmless":[],"written_at_ms":)";
    CHECK(decode_recorded_evidence(valid + "5}", "key", 7));
    CHECK(decode_recorded_evidence(valid + "18446744073709551615}", "key", 7));
    for (const char* text : {"", "[]", "{}", R"({"revision":1,"crashes":[],"harmless":[]})",
                             R"({"written_at_ms":5,"crashes":7,"harmless":[],"revision":1})"}) {
        CHECK_FALSE(decode_recorded_evidence(text, "key", 7));
    }
    CHECK_FALSE(decode_recorded_evidence(valid + "-5}", "key", 7));
    const std::string with_requests = valid + "5,\"requests\":";
    CHECK(decode_recorded_evidence(with_requests + R"({"revision":1,"requests":[]}})", "key", 7));
    for (const char* requests :
         {"7}", "{}}", R"({"revision":1,"requests":7}})", R"({"revision":1,"requests":[7]}})",
          R"({"revision":1,"requests":[{"request":1}]}})",
          R"({"revision":1,"requests":[{"request":-1,"cuts":[]}]}})",
          R"({"revision":1,"requests":[{"request":1,"cuts":[[1,2]]}]}})"}) {
        CHECK_FALSE(decode_recorded_evidence(with_requests + requests, "key", 7));
    }
}

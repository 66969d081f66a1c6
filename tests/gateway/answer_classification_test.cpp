#include "samphiretray/gateway/answer_classification.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

TEST_CASE(
    "an answer is accepted only if it names the request and is unencoded, and is signed or says not run") {
    struct row {
        answer_summary head;
        answer_class expected;
    };
    const auto summary = [](std::string id, bool is_signed, bool not_run, bool has_content_encoding = false) {
        answer_summary head;
        head.attempt_id = std::move(id);
        head.is_signed = is_signed;
        head.not_run = not_run;
        head.has_content_encoding = has_content_encoding;
        return head;
    };
    const row each = GENERATE_COPY(values<row>({
        {summary("a1", true, false), answer_class::matching},
        {summary("a1", false, true), answer_class::not_run},
        {summary("a1", true, true), answer_class::not_run},
        {summary("a1", false, false), answer_class::mismatched},
        {summary("a1", true, false, true), answer_class::mismatched},
        {summary("a0", true, false), answer_class::mismatched},
        {summary("a0", false, true), answer_class::mismatched},
        {summary("", true, false), answer_class::mismatched},
        {summary("", false, true), answer_class::mismatched},
    }));
    CHECK(classify_answer(each.head, "a1") == each.expected);
}

TEST_CASE(
    "a successful answer on a streaming route is an event stream unless it names another content type") {
    const net::http_headers none;
    const net::http_headers events{{"Content-Type", "Text/Event-Stream; charset=utf-8"}};
    const net::http_headers text{{"content-type", "text/plain"}};
    CHECK(is_event_stream(call_kind::streaming, 200, none));
    CHECK(is_event_stream(call_kind::streaming, 200, events));
    CHECK_FALSE(is_event_stream(call_kind::streaming, 200, text));
    CHECK_FALSE(is_event_stream(call_kind::streaming, 500, events));
    CHECK_FALSE(is_event_stream(call_kind::safe, 200, events));
}

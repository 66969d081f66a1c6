#include "standins/answer_judge.h"
#include "standins/answer_text.h"
#include "standins/completion_form.h"
#include "standins/load_report.h"
#include "standins/load_schedule.h"
#include "standins/order_ledger.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace samphiretray;
using namespace samphiretray::standins;

namespace {

constexpr std::string_view plan_text = R"({
    // Two organisations share the entries.
    "targets": ["127.0.0.1:1", "127.0.0.1:2"], "seed": 7, "duration_ms": 20000,
    "adapters": [{"adapter": "a", "version": "1", "organisation": "x"},
                 {"adapter": "b", "version": "1", "organisation": "x"},
                 {"adapter": "c", "version": "2", "organisation": "y"}],
    "keys": {"x": "key-x"},
    "sources": [{"organisation": "x", "rate": 20, "foreign": 0.2},
                {"organisation": "y", "kind": "orders", "path": "/orders", "rate": 2, "end_ms": 5000}]})";

std::vector<planned_request> all_requests(const load_plan& plan) {
    load_schedule schedule{plan};
    std::vector<planned_request> requests;
    while (const auto request = schedule.next()) {
        requests.push_back(*request);
    }
    return requests;
}

planned_request streamed_request() {
    planned_request request;
    request.adapter = "a";
    request.version = "1";
    request.prompt = "p";
    request.max_tokens = 3;
    request.stream = true;
    return request;
}

/// A response that streams the first `tokens` tokens of the answer of adapter version `model` to `prompt`.
/// `header` is the value of `X-Adapter-Version`.
answer_reader streamed_answer(const std::string& model, const std::string& prompt, std::uint32_t tokens,
                              const std::string& header) {
    answer_reader answer;
    answer.on_head(200, {{"content-type", "text/event-stream"}, {"x-adapter-version", header}});
    const completion_writer writer{completion_kind::text, "id", model};
    const answer_generator generator{model, prompt};
    for (std::uint32_t index = 0; index < tokens; ++index) {
        answer.on_data(writer.token_event(generator.token(index)));
    }
    return answer;
}

check_result check_streamed(answer_reader answer, std::optional<error> failure = {},
                            std::string_view tail = "") {
    answer.on_data(tail);
    answer.on_end(std::move(failure));
    return check_completion(streamed_request(), answer, check_mode::system);
}

const std::string end_of_stream =
    completion_writer{completion_kind::text, "id", "a@1"}.last_event({1, 3, true});
const error broken_connection = make_error(errc::connection_closed, step::receive, "", "");

} // namespace

TEST_CASE("a schedule is deterministic, ordered by time and within the limits of its plan") {
    const auto plan = parse_load_plan(plan_text, "");
    REQUIRE(plan);
    const auto requests = all_requests(*plan);
    CHECK(requests.size() > 300);
    CHECK(requests.size() < 550);
    const auto again = all_requests(*plan);
    REQUIRE(again.size() == requests.size());
    std::size_t foreign = 0;
    for (std::size_t index = 0; index < requests.size(); ++index) {
        const planned_request& request = requests[index];
        CHECK(request.prompt == again[index].prompt);
        CHECK(request.at < 20s);
        CHECK((index == 0 || requests[index - 1].at <= request.at));
        CHECK((request.source == 0 || request.at < 5s));
        foreign += request.foreign ? 1 : 0;
        CHECK((request.adapter == "c") == request.foreign);
    }
    CHECK(foreign > 0);
}

TEST_CASE("plans with unknown fields, without adapters or with invalid addresses are refused") {
    CHECK_FALSE(parse_load_plan(R"({"targets": ["127.0.0.1:1"], "sources": [], "tragets": []})", ""));
    CHECK_FALSE(parse_load_plan(R"({"targets": ["127.0.0.1:1"], "sources": [{"organisation": "x"}]})", ""));
    CHECK_FALSE(parse_load_plan(R"({"targets": ["host:1"], "sources": []})", ""));
}

TEST_CASE("correct streams are accepted") {
    CHECK(check_streamed(streamed_answer("a@1", "p", 3, "a@1"), {}, end_of_stream).kind == outcome::answered);
}

// A caller cannot detect any of these violations from the response alone.
TEST_CASE("streams that violate a guarantee are reported as wrong") {
    CHECK(check_streamed(streamed_answer("b@1", "p", 3, "a@1"), {}, end_of_stream).detail ==
          "malformed_events");
    CHECK(check_streamed(streamed_answer("a@2", "p", 3, "a@2"), {}, "data: [DONE]\n\n").detail ==
          "wrong_version_header");
    CHECK(check_streamed(streamed_answer("a@1", "q", 3, "a@1"), {}, end_of_stream).detail == "wrong_prompt");
    CHECK(check_streamed(streamed_answer("a@1", "p", 2, "a@1"), {}, end_of_stream).detail == "truncated");
    CHECK(check_streamed(streamed_answer("a@1", "p", 2, "a@1")).detail == "clean_end_without_done");
    CHECK(check_streamed(streamed_answer("a@1", "p", 2, "a@1"), {}, "event: error\ndata: {}\n\n").detail ==
          "clean_end_after_error");
    CHECK(check_streamed(streamed_answer("a@1", "p", 3, ""), {}, end_of_stream).detail ==
          "no_version_header");
    CHECK(check_streamed(streamed_answer("a@1", "q", 1, "a@1"), broken_connection).detail ==
          "broken_wrong_prompt");
    CHECK(check_streamed(streamed_answer("a@1", "p", 1, "a@1"), broken_connection,
                         "event: error\ndata: {}\n\ndata: [DONE]\n\n")
              .detail == "done_after_error");
}

TEST_CASE("a stream that ends with an error event and a closed connection is broken, not wrong") {
    const auto result = check_streamed(streamed_answer("a@1", "p", 2, "a@1"), broken_connection,
                                       "event: error\ndata: {}\n\n");
    CHECK(result.kind == outcome::broken);
}

TEST_CASE("error responses are classified by their outcome") {
    answer_reader refused;
    refused.on_head(429, {{"x-outcome", "not_run"}});
    refused.on_data(R"({"error": {"code": "rate_limited"}})");
    refused.on_end({});
    const auto limited = check_completion(streamed_request(), refused, check_mode::system);
    CHECK(limited.kind == outcome::not_run);
    CHECK(limited.detail == "429/rate_limited");
    answer_reader unknown;
    unknown.on_head(502, {});
    unknown.on_data(R"({"error": {"code": "outcome_unknown", "outcome": "unknown"}})");
    unknown.on_end({});
    CHECK(check_order({}, unknown).kind == outcome::unknown);
}

TEST_CASE("an answer from an adapter of another organisation is reported as wrong") {
    planned_request request = streamed_request();
    request.foreign = true;
    answer_reader answer = streamed_answer("a@1", "p", 3, "a@1");
    answer.on_data(end_of_stream);
    answer.on_end({});
    CHECK(check_completion(request, answer, check_mode::system).detail == "foreign_adapter_answered");
}

TEST_CASE("order outcomes that contradict the run counts of the servers are reported") {
    order_ledger ledger;
    ledger.add("answered", "x", outcome::answered);
    ledger.add("lost", "x", outcome::answered);
    ledger.add("twice", "x", outcome::unknown);
    ledger.add("retried", "x", outcome::unknown);
    ledger.add("retried", "x", outcome::not_run);
    ledger.add("denied", "x", outcome::not_run);
    const auto violations = ledger.compare({{"answered", 1}, {"twice", 2}, {"retried", 1}, {"denied", 1}});
    std::vector<std::string> reasons(violations.size());
    std::ranges::transform(violations, reasons.begin(), &order_ledger::violation::reason);
    CHECK(reasons ==
          std::vector<std::string>{"order_ran_but_told_not_run", "answered_order_lost", "order_ran_twice"});
}

TEST_CASE("reports count outcomes and compute percentiles") {
    load_report report;
    for (int number = 1; number <= 100; ++number) {
        report.add({"x", {}, number * 1ms, number * 2ms});
    }
    report.add({"x", {outcome::not_run, "429/rate_limited"}, {}, 1ms});
    report.add({"y", {outcome::wrong, "truncated"}, {}, 1ms});
    CHECK(report.answered() == 100);
    CHECK(report.refused() == 1);
    CHECK(report.wrong() == 1);
    const auto json = report.to_json();
    CHECK(json["organisations"]["x"]["first_byte"]["p95_ms"] == 95);
    CHECK(json["organisations"]["x"]["total"]["p50_ms"] == 100);
    CHECK(json["organisations"]["x"]["details"]["not_run 429/rate_limited"] == 1);
    CHECK(percentile({}, 0.5) == 0ms);
}

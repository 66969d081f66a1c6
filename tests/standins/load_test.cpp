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

/// An answer that streams the text of `prompt` by adapter version `model`, up to `tokens` tokens.
answer_reader streamed_answer(const std::string& model, const std::string& prompt, std::uint32_t tokens,
                              const std::string& header) {
    answer_reader answer;
    answer.on_head(200, {{"content-type", "text/event-stream"}, {"x-adapter-version", header}});
    const completion_writer writer{completion_kind::text, "id", model};
    const answer_source source{model, prompt};
    for (std::uint32_t index = 0; index < tokens; ++index) {
        answer.on_data(writer.token_event(source.token(index)));
    }
    return answer;
}

verdict judged(answer_reader answer, std::optional<error> failure = {}, std::string_view tail = "") {
    answer.on_data(tail);
    answer.on_end(std::move(failure));
    return judge_completion(streamed_request(), answer, judge_mode::system);
}

const std::string whole_end = completion_writer{completion_kind::text, "id", "a@1"}.last_event({1, 3, true});
const error broken_connection = make_error(errc::connection_closed, step::receive, "", "");

} // namespace

TEST_CASE("a plan gives the same requests each time, in order and within its bounds") {
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

TEST_CASE("plans with unknown fields or without adapters are refused") {
    CHECK_FALSE(parse_load_plan(R"({"targets": ["127.0.0.1:1"], "sources": [], "tragets": []})", ""));
    CHECK_FALSE(parse_load_plan(R"({"targets": ["127.0.0.1:1"], "sources": [{"organisation": "x"}]})", ""));
    CHECK_FALSE(parse_load_plan(R"({"targets": ["host:1"], "sources": []})", ""));
}

TEST_CASE("right streams are accepted") {
    CHECK(judged(streamed_answer("a@1", "p", 3, "a@1"), {}, whole_end).kind == outcome::answered);
}

// Each case is a violation that a caller could not see by itself.
TEST_CASE("streams that break a guarantee are wrong") {
    CHECK(judged(streamed_answer("b@1", "p", 3, "a@1"), {}, whole_end).detail == "malformed_events");
    CHECK(judged(streamed_answer("a@2", "p", 3, "a@2"), {}, "data: [DONE]\n\n").detail ==
          "wrong_version_header");
    CHECK(judged(streamed_answer("a@1", "q", 3, "a@1"), {}, whole_end).detail == "wrong_prompt");
    CHECK(judged(streamed_answer("a@1", "p", 2, "a@1"), {}, whole_end).detail == "truncated");
    CHECK(judged(streamed_answer("a@1", "p", 2, "a@1")).detail == "clean_end_without_done");
    CHECK(judged(streamed_answer("a@1", "p", 2, "a@1"), {}, "event: error\ndata: {}\n\n").detail ==
          "clean_end_after_error");
    CHECK(judged(streamed_answer("a@1", "p", 3, ""), {}, whole_end).detail == "no_version_header");
    CHECK(judged(streamed_answer("a@1", "q", 1, "a@1"), broken_connection).detail == "broken_wrong_prompt");
    CHECK(judged(streamed_answer("a@1", "p", 1, "a@1"), broken_connection,
                 "event: error\ndata: {}\n\ndata: [DONE]\n\n")
              .detail == "done_after_error");
}

TEST_CASE("a stream that breaks visibly is broken, not wrong") {
    const auto result =
        judged(streamed_answer("a@1", "p", 2, "a@1"), broken_connection, "event: error\ndata: {}\n\n");
    CHECK(result.kind == outcome::broken);
}

TEST_CASE("refusals are told apart by their outcome") {
    answer_reader refused;
    refused.on_head(429, {{"x-outcome", "not_run"}});
    refused.on_data(R"({"error": {"code": "rate_limited"}})");
    refused.on_end({});
    const auto limited = judge_completion(streamed_request(), refused, judge_mode::system);
    CHECK(limited.kind == outcome::not_run);
    CHECK(limited.detail == "429/rate_limited");
    answer_reader unknown;
    unknown.on_head(502, {});
    unknown.on_data(R"({"error": {"code": "outcome_unknown", "outcome": "unknown"}})");
    unknown.on_end({});
    CHECK(judge_order({}, unknown).kind == outcome::unknown);
}

TEST_CASE("an adapter of another organisation must not answer") {
    planned_request request = streamed_request();
    request.foreign = true;
    answer_reader answer = streamed_answer("a@1", "p", 3, "a@1");
    answer.on_data(whole_end);
    answer.on_end({});
    CHECK(judge_completion(request, answer, judge_mode::system).detail == "foreign_adapter_answered");
}

TEST_CASE("orders are compared with what the servers ran") {
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

TEST_CASE("reports count outcomes and give percentiles") {
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

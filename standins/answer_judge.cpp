#include "standins/answer_judge.h"

#include "standins/answer_text.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace samphiretray::standins {

namespace {

constexpr int success_status = 200;

check_result wrong(std::string reason) {
    return {outcome::wrong, std::move(reason)};
}

/// The prompt text that the engine derives from the request body.
std::string engine_prompt(const planned_request& request) {
    return request.chat ? "user: " + request.prompt + "\n" : request.prompt;
}

/// Classifies a broken connection or an error status. Returns nothing for a complete response with a 2xx
/// status.
std::optional<check_result> classify_failure(const answer_reader& answer) {
    const bool has_head = answer.status() != 0;
    if (answer.failure() && (!has_head || answer.status() == success_status)) {
        return check_result{outcome::broken, answer.failure()->code.message()};
    }
    if (answer.status() >= success_status && answer.status() < 300) {
        return std::nullopt;
    }
    const std::string code = answer.error_code();
    const outcome kind = answer.outcome() == "not_run" ? outcome::not_run : outcome::unknown;
    return check_result{kind, std::to_string(answer.status()) + (code.empty() ? "" : "/" + code)};
}

/// The adapter version that must have produced the answer, or the reason why it cannot be determined.
struct expected_model {
    std::string model;
    std::string problem;
};

expected_model expect_model(const planned_request& request, const answer_reader& answer, check_mode mode) {
    if (mode == check_mode::direct) {
        return {request.model(), ""};
    }
    const std::string& header = answer.adapter_version();
    if (header.empty()) {
        return {"", "no_version_header"};
    }
    const bool matches =
        request.version.empty() ? header.starts_with(request.adapter + "@") : header == request.model();
    return matches ? expected_model{header, ""} : expected_model{"", "wrong_version_header"};
}

/// Checks an answer whose connection broke: the text that arrived must be a prefix of the expected text.
check_result check_broken_answer(const planned_request& request, const answer_reader& answer,
                                 const expected_model& model, check_result broken) {
    if (answer.is_done() && answer.has_error_event()) {
        return wrong("done_after_error");
    }
    if (!answer.is_event_stream() || answer.streamed_text().empty()) {
        return broken;
    }
    const answer_fault fault =
        check_answer(model.model, engine_prompt(request), request.max_tokens, answer.streamed_text());
    const bool matches = fault == answer_fault::none || fault == answer_fault::truncated;
    return matches ? broken : wrong("broken_" + std::string{name_of(fault)});
}

check_result check_text(const planned_request& request, const std::string& model,
                        const std::string& reported_model, const std::string& text) {
    if (reported_model != model) {
        return wrong("wrong_model_field");
    }
    const answer_fault fault = check_answer(model, engine_prompt(request), request.max_tokens, text);
    return fault == answer_fault::none ? check_result{} : wrong(std::string{name_of(fault)});
}

check_result check_stream(const planned_request& request, const answer_reader& answer,
                          const std::string& model) {
    if (answer.has_error_event()) {
        return wrong("clean_end_after_error");
    }
    if (!answer.is_done()) {
        return wrong("clean_end_without_done");
    }
    if (answer.is_malformed()) {
        return wrong("malformed_events");
    }
    return check_text(request, model, answer.streamed_model(), answer.streamed_text());
}

check_result check_body(const planned_request& request, const answer_reader& answer,
                        const std::string& model) {
    bool is_valid = true;
    std::string reported_model;
    const std::string text = text_of_choice(answer.body(), reported_model, is_valid);
    return is_valid ? check_text(request, model, reported_model, text) : wrong("malformed_body");
}

} // namespace

check_result check_completion(const planned_request& request, const answer_reader& answer, check_mode mode) {
    const auto failure = classify_failure(answer);
    const bool was_started = answer.status() == success_status;
    if (failure && !was_started) {
        return *failure;
    }
    if (request.foreign) {
        return wrong("foreign_adapter_answered");
    }
    const expected_model model = expect_model(request, answer, mode);
    if (!model.problem.empty()) {
        return wrong(model.problem);
    }
    if (failure) {
        return check_broken_answer(request, answer, model, *failure);
    }
    if (request.stream != answer.is_event_stream()) {
        return wrong("wrong_content_type");
    }
    return request.stream ? check_stream(request, answer, model.model)
                          : check_body(request, answer, model.model);
}

check_result check_order(const planned_request& request, const answer_reader& answer) {
    if (const auto failure = classify_failure(answer)) {
        return *failure;
    }
    const auto document = nlohmann::json::parse(answer.body(), nullptr, false);
    if (!document.is_object() || document.value("order", nlohmann::json{}) != request.order) {
        return wrong("answer_of_another_order");
    }
    return document.value("runs", nlohmann::json{}) == 1 ? check_result{} : wrong("order_ran_twice");
}

check_result check_call(const answer_reader& answer) {
    return classify_failure(answer).value_or(check_result{});
}

} // namespace samphiretray::standins

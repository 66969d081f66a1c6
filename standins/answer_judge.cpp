#include "standins/answer_judge.h"

#include "standins/answer_text.h"

#include <nlohmann/json.hpp>

#include <optional>

namespace samphiretray::standins {

namespace {

constexpr int success_status = 200;

verdict wrong(std::string reason) {
    return {outcome::wrong, std::move(reason)};
}

/// The prompt as the engine sees it.
std::string engine_prompt(const planned_request& request) {
    return request.chat ? "user: " + request.prompt + "\n" : request.prompt;
}

/// The verdict on everything but a successful answer; nothing for that.
std::optional<verdict> judge_failure(const answer_reader& answer) {
    const bool has_head = answer.status() != 0;
    if (answer.failure() && (!has_head || answer.status() == success_status)) {
        return verdict{outcome::broken, answer.failure()->code.message()};
    }
    if (answer.status() >= success_status && answer.status() < 300) {
        return std::nullopt;
    }
    const std::string code = answer.error_code();
    const outcome kind = answer.outcome() == "not_run" ? outcome::not_run : outcome::unknown;
    return verdict{kind, std::to_string(answer.status()) + (code.empty() ? "" : "/" + code)};
}

/// The adapter version whose answer the caller must have, or a reason why there is none.
struct expected_model {
    std::string model;
    std::string problem;
};

expected_model expect_model(const planned_request& request, const answer_reader& answer, judge_mode mode) {
    if (mode == judge_mode::direct) {
        return {request.model(), ""};
    }
    const std::string& header = answer.adapter_version();
    if (header.empty()) {
        return {"", "no_version_header"};
    }
    const bool fits =
        request.version.empty() ? header.starts_with(request.adapter + "@") : header == request.model();
    return fits ? expected_model{header, ""} : expected_model{"", "wrong_version_header"};
}

/// A broken answer may be short, but what arrived must be the beginning of the right one.
verdict judge_broken(const planned_request& request, const answer_reader& answer, const expected_model& model,
                     verdict broken) {
    if (answer.is_done() && answer.has_error_event()) {
        return wrong("done_after_error");
    }
    if (!answer.is_event_stream() || answer.streamed_text().empty()) {
        return broken;
    }
    const answer_fault fault =
        check_answer(model.model, engine_prompt(request), request.max_tokens, answer.streamed_text());
    const bool fits = fault == answer_fault::none || fault == answer_fault::truncated;
    return fits ? broken : wrong("broken_" + std::string{name_of(fault)});
}

verdict judge_text(const planned_request& request, const std::string& model, const std::string& echoed,
                   const std::string& text) {
    if (echoed != model) {
        return wrong("wrong_model_field");
    }
    const answer_fault fault = check_answer(model, engine_prompt(request), request.max_tokens, text);
    return fault == answer_fault::none ? verdict{} : wrong(std::string{name_of(fault)});
}

verdict judge_stream(const planned_request& request, const answer_reader& answer, const std::string& model) {
    if (answer.has_error_event()) {
        return wrong("clean_end_after_error");
    }
    if (!answer.is_done()) {
        return wrong("clean_end_without_done");
    }
    if (answer.is_malformed()) {
        return wrong("malformed_events");
    }
    return judge_text(request, model, answer.streamed_model(), answer.streamed_text());
}

verdict judge_whole(const planned_request& request, const answer_reader& answer, const std::string& model) {
    bool is_valid = true;
    std::string echoed;
    const std::string text = text_of_choice(answer.body(), echoed, is_valid);
    return is_valid ? judge_text(request, model, echoed, text) : wrong("malformed_body");
}

} // namespace

verdict judge_completion(const planned_request& request, const answer_reader& answer, judge_mode mode) {
    const auto failure = judge_failure(answer);
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
        return judge_broken(request, answer, model, *failure);
    }
    if (request.stream != answer.is_event_stream()) {
        return wrong("wrong_content_type");
    }
    return request.stream ? judge_stream(request, answer, model.model)
                          : judge_whole(request, answer, model.model);
}

verdict judge_order(const planned_request& request, const answer_reader& answer) {
    if (const auto failure = judge_failure(answer)) {
        return *failure;
    }
    const auto document = nlohmann::json::parse(answer.body(), nullptr, false);
    if (!document.is_object() || document.value("order", nlohmann::json{}) != request.order) {
        return wrong("answer_of_another_order");
    }
    return document.value("runs", nlohmann::json{}) == 1 ? verdict{} : wrong("order_ran_twice");
}

verdict judge_call(const answer_reader& answer) {
    return judge_failure(answer).value_or(verdict{});
}

} // namespace samphiretray::standins

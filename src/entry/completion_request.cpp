#include "samphiretray/entry/completion_request.h"

#include <nlohmann/json.hpp>

#include <limits>

namespace samphiretray::entry {

namespace {

using nlohmann::json;

error parse_error(std::string detail) {
    return make_error(errc::invalid_argument, step::parse, "caller", std::move(detail));
}

status parse_model(const json& body, completion_request& request) {
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get_ref<const std::string&>().empty()) {
        return parse_error("field model: expected \"<adapter>\" or \"<adapter>@<version>\"");
    }
    const auto& name = model->get_ref<const std::string&>();
    const std::size_t separator = name.find('@');
    request.adapter = name.substr(0, separator);
    request.version = separator == std::string::npos ? "" : name.substr(separator + 1);
    const bool is_version_missing = separator != std::string::npos && request.version.empty();
    if (request.adapter.empty() || is_version_missing || request.version.find('@') != std::string::npos) {
        return parse_error("field model: expected \"<adapter>\" or \"<adapter>@<version>\"");
    }
    return success();
}

status parse_stream(const json& body, completion_request& request) {
    const auto stream = body.find("stream");
    if (stream == body.end()) {
        return success();
    }
    if (!stream->is_boolean()) {
        return parse_error("field stream: expected true or false");
    }
    request.streamed = stream->get<bool>();
    return success();
}

status parse_max_tokens(const json& body, completion_request& request) {
    request.max_tokens = default_max_tokens;
    auto field = body.find("max_tokens");
    if (field == body.end()) {
        field = body.find("max_completion_tokens");
    }
    if (field == body.end()) {
        return success();
    }
    if (!field->is_number_unsigned() || field->get<std::uint64_t>() == 0 ||
        field->get<std::uint64_t>() > max_tokens_limit) {
        return parse_error("field max_tokens: expected a whole number from 1 to 32768");
    }
    request.max_tokens = field->get<std::uint32_t>();
    return success();
}

status require_prompt(const json& body) {
    const bool has_prompt = body.contains("prompt") || body.contains("messages");
    if (!has_prompt) {
        return parse_error("expected a field prompt or messages");
    }
    const auto prompt = body.find("prompt");
    const bool is_batch =
        prompt != body.end() && prompt->is_array() && prompt->size() > 1 && !prompt->front().is_number();
    return is_batch ? status{parse_error("field prompt: only one prompt is allowed")} : success();
}

/// Engines can generate several choices for a prompt, but only one is admitted and charged.
status require_single_choice(const json& body) {
    for (const char* const name : {"n", "best_of"}) {
        const auto field = body.find(name);
        if (field != body.end() && *field != 1) {
            return parse_error(std::string{"field "} + name + ": only 1 is allowed");
        }
    }
    return success();
}

/// A token of the usual vocabularies has at least one byte, so the body's length is an upper bound of the
/// prompt tokens. This estimate assumes three bytes per token of text; the difference is settled after the
/// answer.
std::uint32_t estimate_prompt_tokens(std::size_t body_bytes) {
    constexpr std::size_t bytes_per_token = 3;
    return static_cast<std::uint32_t>(std::min<std::size_t>(body_bytes / bytes_per_token + 1,
                                                            std::numeric_limits<std::uint32_t>::max() / 2));
}

} // namespace

result<completion_request> parse_completion(std::string_view text) {
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return parse_error("the body is not a JSON object");
    }
    completion_request request;
    for (const auto& outcome :
         {parse_model(body, request), parse_stream(body, request), parse_max_tokens(body, request),
          require_prompt(body), require_single_choice(body)}) {
        if (!outcome) {
            return outcome.error();
        }
    }
    request.token_bound = estimate_prompt_tokens(text.size()) + request.max_tokens;
    request.body = text;
    return request;
}

std::string forwarded_body(const completion_request& request, std::string_view version, bool priority) {
    json body = json::parse(request.body);
    body["model"] = request.adapter + "@" + std::string{version};
    body["max_tokens"] = request.max_tokens;
    body.erase("max_completion_tokens");
    body["priority"] = priority ? 1 : 0;
    if (request.streamed) {
        body["stream_options"] = {{"include_usage", true}};
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace samphiretray::entry

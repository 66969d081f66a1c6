#include "standins/completion_form.h"

#include <utility>

namespace samphiretray::standins {

namespace {

constexpr std::uint32_t default_max_tokens = 16;

std::string text_of_content(const nlohmann::json& content) {
    if (content.is_string()) {
        return content.get<std::string>();
    }
    std::string text;
    for (const nlohmann::json& part : content) {
        text += part.value("text", "");
    }
    return text;
}

nlohmann::json usage_object(const completion_usage& usage) {
    return {{"prompt_tokens", usage.prompt_tokens},
            {"completion_tokens", usage.completion_tokens},
            {"total_tokens", usage.prompt_tokens + usage.completion_tokens}};
}

std::string_view finish_reason(const completion_usage& usage) {
    return usage.reached_limit ? "length" : "stop";
}

std::string event(const nlohmann::json& data) {
    return "data: " + data.dump() + "\n\n";
}

} // namespace

std::string prompt_of(completion_kind kind, const nlohmann::json& body) {
    if (kind == completion_kind::text) {
        const nlohmann::json& prompt = body.at("prompt");
        const bool is_list = prompt.is_array() && prompt.size() == 1;
        return is_list ? prompt.at(0).get<std::string>() : prompt.get<std::string>();
    }
    std::string prompt;
    for (const nlohmann::json& message : body.at("messages")) {
        prompt +=
            message.at("role").get<std::string>() + ": " + text_of_content(message.at("content")) + "\n";
    }
    return prompt;
}

completion_request parse_completion(completion_kind kind, std::string_view body) {
    const nlohmann::json document = nlohmann::json::parse(body);
    completion_request request;
    request.kind = kind;
    request.stream = document.value("stream", false);
    request.batch.model = document.at("model").get<std::string>();
    request.batch.prompt = prompt_of(kind, document);
    request.batch.max_tokens = document.value("max_tokens", default_max_tokens);
    request.batch.priority = document.value("priority", 0);
    return request;
}

completion_writer::completion_writer(completion_kind kind, std::string id, std::string model)
    : kind_(kind), id_(std::move(id)), model_(std::move(model)) {}

std::string completion_writer::response_body(std::string_view text, const completion_usage& usage) const {
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason(usage)}};
    if (kind_ == completion_kind::chat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    nlohmann::json document = frame(false, std::move(choice));
    document["usage"] = usage_object(usage);
    return document.dump();
}

std::string completion_writer::token_event(std::string_view text) const {
    nlohmann::json choice = {{"index", 0}, {"finish_reason", nullptr}};
    if (kind_ == completion_kind::chat) {
        choice["delta"] = {{"content", text}};
    } else {
        choice["text"] = text;
    }
    return event(frame(true, std::move(choice)));
}

std::string completion_writer::last_event(const completion_usage& usage) const {
    nlohmann::json choice = {{"index", 0}, {"finish_reason", finish_reason(usage)}};
    if (kind_ == completion_kind::chat) {
        choice["delta"] = nlohmann::json::object();
    } else {
        choice["text"] = "";
    }
    nlohmann::json document = frame(true, std::move(choice));
    document["usage"] = usage_object(usage);
    return event(document) + "data: [DONE]\n\n";
}

nlohmann::json completion_writer::frame(bool streamed, nlohmann::json choice) const {
    const std::string_view chat = streamed ? "chat.completion.chunk" : "chat.completion";
    return {{"id", id_},
            {"object", kind_ == completion_kind::chat ? chat : "text_completion"},
            {"model", model_},
            {"choices", nlohmann::json::array({std::move(choice)})}};
}

} // namespace samphiretray::standins

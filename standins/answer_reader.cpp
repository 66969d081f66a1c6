#include "standins/answer_reader.h"

#include <nlohmann/json.hpp>

namespace samphiretray::standins {

namespace {

using nlohmann::json;

std::string error_field(const std::string& body, const char* name) {
    const json document = json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("error") || !document["error"].is_object()) {
        return "";
    }
    const json value = document["error"].value(name, json{});
    return value.is_string() ? value.get<std::string>() : "";
}

std::string content_of(const json& choice) {
    if (choice.contains("text")) {
        return choice.at("text").get<std::string>();
    }
    const json& message = choice.contains("delta") ? choice.at("delta") : choice.at("message");
    return message.value("content", "");
}

} // namespace

std::string text_of_choice(std::string_view document, std::string& model, bool& is_valid) {
    try {
        const json parsed = json::parse(document);
        model = parsed.at("model").get<std::string>();
        return content_of(parsed.at("choices").at(0));
    } catch (const json::exception&) {
        is_valid = false;
        return "";
    }
}

void answer_reader::on_head(int status, const net::http_headers& headers) {
    status_ = status;
    adapter_version_ = net::find_header(headers, "x-adapter-version");
    outcome_ = net::find_header(headers, "x-outcome");
    is_event_stream_ = net::find_header(headers, "content-type").starts_with("text/event-stream");
}

void answer_reader::on_data(std::string_view bytes) {
    if (!is_event_stream_) {
        body_ += bytes;
        return;
    }
    line_ += bytes;
    for (std::size_t end = line_.find('\n'); end != std::string::npos; end = line_.find('\n')) {
        const std::size_t length = end > 0 && line_[end - 1] == '\r' ? end - 1 : end;
        read_line(std::string_view{line_}.substr(0, length));
        line_.erase(0, end + 1);
    }
}

std::string answer_reader::outcome() const {
    return outcome_.empty() ? error_field(body_, "outcome") : outcome_;
}

std::string answer_reader::error_code() const {
    return error_field(body_, "code");
}

void answer_reader::read_line(std::string_view line) {
    constexpr std::string_view data_field = "data:";
    if (line.empty()) {
        in_error_event_ = false;
        return;
    }
    if (line.starts_with("event:") && line.find("error") != std::string_view::npos) {
        in_error_event_ = true;
        has_error_event_ = true;
        return;
    }
    if (line.starts_with(data_field) && !in_error_event_) {
        line.remove_prefix(data_field.size());
        line.remove_prefix(line.starts_with(' ') ? 1 : 0);
        read_event_data(line);
    }
}

void answer_reader::read_event_data(std::string_view data) {
    is_malformed_ = is_malformed_ || is_done_;
    if (data == "[DONE]") {
        is_done_ = true;
        return;
    }
    bool is_valid = true;
    std::string model;
    text_ += text_of_choice(data, model, is_valid);
    const bool changes_model = !model_.empty() && model != model_;
    is_malformed_ = is_malformed_ || !is_valid || changes_model;
    model_ = model;
}

} // namespace samphiretray::standins

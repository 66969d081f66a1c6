#include "samphiretray/agent/answer_checker.h"

#include "samphiretray/ports/http_engine.h"

#include <nlohmann/json.hpp>

namespace samphiretray::agent {

namespace {

using nlohmann::json;

constexpr std::size_t max_buffered_bytes = 8U << 20U;
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_prefix = "data:";

error receive_error(errc code, std::string detail) {
    return make_error(code, step::receive, "engine", std::move(detail));
}

/// The text after "data:" in the first data line of a server-sent event, without surrounding whitespace.
std::string_view event_data(std::string_view event) {
    const std::size_t start = event.find(data_prefix);
    if (start == std::string_view::npos) {
        return {};
    }
    std::string_view data = event.substr(start + data_prefix.size());
    data = data.substr(0, data.find('\n'));
    const std::size_t first = data.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const std::size_t last = data.find_last_not_of(" \t\r");
    return data.substr(first, last - first + 1);
}

std::optional<std::uint32_t> total_tokens(const json& body) {
    const auto usage = body.find("usage");
    if (usage == body.end() || !usage->is_object()) {
        return std::nullopt;
    }
    const auto total = usage->find("total_tokens");
    if (total == usage->end() || !total->is_number_unsigned()) {
        return std::nullopt;
    }
    return total->get<std::uint32_t>();
}

} // namespace

answer_checker::answer_checker(const ports::adapter_version& expected)
    : expected_model_(ports::to_string(expected)) {}

void answer_checker::start(int status, std::string_view content_type) {
    streamed_ = content_type.starts_with("text/event-stream");
    successful_ = status >= 200 && status < 300;
}

result<std::string> answer_checker::feed(std::string_view bytes) {
    buffered_ += bytes;
    if (buffered_.size() > max_buffered_bytes) {
        return receive_error(errc::too_large, "an event or body of the answer is larger than 8 MiB");
    }
    if (!streamed_ || !successful_) {
        return std::string{};
    }
    std::size_t checked = 0;
    for (std::size_t end = buffered_.find(event_end); end != std::string::npos;
         end = buffered_.find(event_end, checked)) {
        const std::string_view event = std::string_view{buffered_}.substr(checked, end - checked);
        if (auto outcome = check_event(event); !outcome) {
            return outcome.error();
        }
        checked = end + event_end.size();
    }
    std::string checked_bytes = buffered_.substr(0, checked);
    buffered_.erase(0, checked);
    return checked_bytes;
}

result<std::string> answer_checker::finish() {
    if (!successful_) {
        return std::exchange(buffered_, {});
    }
    if (streamed_) {
        if (!done_) {
            return receive_error(errc::connection_closed, "the stream ended without [DONE]");
        }
        return std::exchange(buffered_, {});
    }
    if (auto outcome = check_body(buffered_); !outcome) {
        return outcome.error();
    }
    return std::exchange(buffered_, {});
}

status answer_checker::check_event(std::string_view event) {
    const std::string_view data = event_data(event);
    if (data.empty()) {
        return success();
    }
    if (done_) {
        return receive_error(errc::protocol_error, "an event after [DONE]");
    }
    if (data == "[DONE]") {
        done_ = true;
        return success();
    }
    return check_body(data);
}

status answer_checker::check_body(std::string_view text) {
    const json body = json::parse(text, nullptr, false);
    if (!body.is_object()) {
        return receive_error(errc::protocol_error, "the engine's answer is not a JSON object");
    }
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string()) {
        return receive_error(errc::protocol_error, "the engine's answer names no model");
    }
    if (model->get_ref<const std::string&>() != expected_model_) {
        return receive_error(errc::wrong_version,
                             "expected " + expected_model_ + ", the engine ran " + model->get<std::string>());
    }
    if (const auto total = total_tokens(body)) {
        tokens_ = total;
    }
    return success();
}

} // namespace samphiretray::agent

#pragma once

#include "standins/batch_scheduler.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray::standins {

enum class completion_kind { text, chat };

/// A request to the text or chat completions API.
struct completion_request {
    completion_kind kind = completion_kind::text;
    bool stream = false;
    batch_request batch;
};

/// Throws `nlohmann::json::exception` if a field is missing or has the wrong type.
[[nodiscard]] completion_request parse_completion(completion_kind kind, std::string_view body);

/// The prompt of a request body: the field `prompt`, or the roles and texts of `messages`.
[[nodiscard]] std::string prompt_of(completion_kind kind, const nlohmann::json& body);

struct completion_usage {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    bool reached_limit = false;
};

/// Writes response bodies and server-sent events of the completions API.
class completion_writer {
public:
    completion_writer(completion_kind kind, std::string id, std::string model);

    /// The body of a response that is not streamed.
    [[nodiscard]] std::string response_body(std::string_view text, const completion_usage& usage) const;
    [[nodiscard]] std::string token_event(std::string_view text) const;
    /// The event with the finish reason and the usage, followed by `data: [DONE]`.
    [[nodiscard]] std::string last_event(const completion_usage& usage) const;

private:
    [[nodiscard]] nlohmann::json frame(bool streamed, nlohmann::json choice) const;

    completion_kind kind_;
    std::string id_;
    std::string model_;
};

} // namespace samphiretray::standins

#pragma once

#include "standins/batch_scheduler.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray::standins {

enum class completion_kind { text, chat };

/// A request in the usual completion form.
struct completion_request {
    completion_kind kind = completion_kind::text;
    bool stream = false;
    batch_request batch;
};

/// Throws `nlohmann::json::exception` if a field is missing or has the wrong type.
[[nodiscard]] completion_request parse_completion(completion_kind kind, std::string_view body);

/// The prompt that a request body contains: `prompt`, or the texts of `messages`.
[[nodiscard]] std::string prompt_of(completion_kind kind, const nlohmann::json& body);

struct completion_usage {
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    bool reached_limit = false;
};

/// Bodies of whole answers and server-sent events.
class completion_writer {
public:
    completion_writer(completion_kind kind, std::string id, std::string model);

    [[nodiscard]] std::string whole(std::string_view text, const completion_usage& usage) const;
    [[nodiscard]] std::string token_event(std::string_view text) const;
    /// The event with the usage, followed by `data: [DONE]`.
    [[nodiscard]] std::string last_event(const completion_usage& usage) const;

private:
    [[nodiscard]] nlohmann::json frame(bool streamed, nlohmann::json choice) const;

    completion_kind kind_;
    std::string id_;
    std::string model_;
};

} // namespace samphiretray::standins

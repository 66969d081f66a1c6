#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/http.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::standins {

/// Parses the response to one request: a single JSON body or a stream of server-sent events.
class answer_reader {
public:
    void on_head(int status, const net::http_headers& headers);
    void on_data(std::string_view bytes);
    /// `failure` is empty if the response arrived completely.
    void on_end(std::optional<error> failure) { failure_ = std::move(failure); }

    [[nodiscard]] int status() const noexcept { return status_; }
    [[nodiscard]] bool is_event_stream() const noexcept { return is_event_stream_; }
    [[nodiscard]] const std::optional<error>& failure() const noexcept { return failure_; }
    /// Value of `X-Adapter-Version`.
    [[nodiscard]] const std::string& adapter_version() const noexcept { return adapter_version_; }
    /// Value of `X-Outcome`, or else of `error.outcome` in the body; empty if there is neither.
    [[nodiscard]] std::string outcome() const;
    /// Value of `error.code` in the body; empty if there is none.
    [[nodiscard]] std::string error_code() const;

    /// Body of a response that is not an event stream.
    [[nodiscard]] const std::string& body() const noexcept { return body_; }
    /// The accessors below describe event streams. This one returns the concatenated text of all events.
    [[nodiscard]] const std::string& streamed_text() const noexcept { return text_; }
    /// True if `[DONE]` was received.
    [[nodiscard]] bool is_done() const noexcept { return is_done_; }
    [[nodiscard]] bool has_error_event() const noexcept { return has_error_event_; }
    /// The field `model` of the last event.
    [[nodiscard]] const std::string& streamed_model() const noexcept { return model_; }
    /// True if an event could not be parsed, had another `model` than the one before, or followed `[DONE]`.
    [[nodiscard]] bool is_malformed() const noexcept { return is_malformed_; }

private:
    void read_line(std::string_view line);
    void read_event_data(std::string_view data);

    int status_ = 0;
    bool is_event_stream_ = false;
    bool is_done_ = false;
    bool has_error_event_ = false;
    bool is_malformed_ = false;
    bool in_error_event_ = false;
    std::string adapter_version_;
    std::string outcome_;
    std::string body_;
    std::string line_;
    std::string text_;
    std::string model_;
    std::optional<error> failure_;
};

/// The text of the first choice in a text or chat completion, or in a chunk of either. Sets `model`, and sets
/// `is_valid` to false if the document cannot be parsed.
[[nodiscard]] std::string text_of_choice(std::string_view document, std::string& model, bool& is_valid);

} // namespace samphiretray::standins

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/ports/engine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::agent {

/// Checks the answer of an engine while it arrives. Bytes of a successful answer are released only after the
/// `model` field of their event (streamed answers) or of the whole body (other answers) has been found equal
/// to the requested adapter version.
class answer_checker {
public:
    explicit answer_checker(const ports::adapter_version& expected);

    /// Begins an answer. It is treated as a stream if its content type is `text/event-stream`.
    void start(int status, std::string_view content_type);

    /// Takes bytes from the engine and returns those that may be sent to the caller now. Errors (step
    /// `receive`): `wrong_version` if another model answered, `protocol_error` for an event that is not a
    /// JSON object with a model or that follows `[DONE]`, `too_large` for an event or body above 8 MiB.
    [[nodiscard]] result<std::string> feed(std::string_view bytes);

    /// Ends the answer and returns the bytes that are still buffered. Fails with `connection_closed` if a
    /// stream ended without its final `[DONE]`, and otherwise like `feed`.
    [[nodiscard]] result<std::string> finish();

    /// `usage.total_tokens`, once the engine has reported it.
    [[nodiscard]] std::optional<std::uint32_t> tokens() const noexcept { return tokens_; }

private:
    [[nodiscard]] status check_event(std::string_view event);
    [[nodiscard]] status check_body(std::string_view text);

    std::string expected_model_;
    std::string buffered_;
    std::optional<std::uint32_t> tokens_;
    bool streamed_ = false;
    /// False for error answers, which have no model field and are not checked.
    bool successful_ = false;
    bool done_ = false;
};

} // namespace samphiretray::agent

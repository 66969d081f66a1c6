#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/ports/engine.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::agent {

/// Checks the answer of an engine while it arrives: bytes are passed on only after the `model` field of the
/// event (streams) or of the whole body (other answers) has been found equal to the adapter version asked
/// for.
class answer_checker {
public:
    explicit answer_checker(const ports::adapter_version& expected);

    /// `streamed` follows from the content type `text/event-stream`.
    void start(int status, std::string_view content_type);

    /// Takes bytes from the engine and returns those that may be passed on now. Errors (step `receive`):
    /// `wrong_version` if another model answered, `protocol_error` for an event that is not JSON, `too_large`
    /// for an event or body above 8 MiB.
    [[nodiscard]] result<std::string> feed(std::string_view bytes);

    /// Ends the answer; returns the bytes held back. Fails with `connection_closed` if a stream ended without
    /// its final `[DONE]`, and like `feed`.
    [[nodiscard]] result<std::string> finish();

    /// `usage.total_tokens`, once reported.
    [[nodiscard]] std::optional<std::uint32_t> tokens() const noexcept { return tokens_; }

private:
    [[nodiscard]] status check_event(std::string_view event);
    [[nodiscard]] status check_body(std::string_view text);

    std::string expected_;
    std::string held_;
    std::optional<std::uint32_t> tokens_;
    bool streamed_ = false;
    /// Error answers have no model field.
    bool successful_ = false;
    bool done_ = false;
};

} // namespace samphiretray::agent

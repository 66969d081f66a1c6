#pragma once

#include "samphiretray/base/name_table.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray::standins {

/// Generates the answer of the engine stand-in to a prompt: a deterministic function of `<adapter>@<version>`
/// and the prompt. The first token names the model and the hash of the prompt, so a checker can tell which
/// request an answer belongs to.
class answer_generator {
public:
    answer_generator(std::string_view model, std::string_view prompt);

    /// Precondition: `index < length()`.
    [[nodiscard]] std::string token(std::uint32_t index) const;
    /// Number of tokens of the answer if `max_tokens` does not limit it.
    [[nodiscard]] std::uint32_t length() const noexcept { return length_; }
    /// The text of an answer of at most `max_tokens` tokens.
    [[nodiscard]] std::string text(std::uint32_t max_tokens) const;

private:
    std::string tag_;
    std::uint64_t seed_ = 0;
    std::uint32_t length_ = 0;
};

/// Number of tokens in `text`, at least 1. The stand-in counts each word as one token.
[[nodiscard]] std::uint32_t count_tokens(std::string_view text);

enum class answer_fault { none, wrong_adapter, wrong_prompt, truncated, corrupted };

/// Compares the text of an answer that arrived completely with the expected text.
[[nodiscard]] answer_fault check_answer(std::string_view model, std::string_view prompt,
                                        std::uint32_t max_tokens, std::string_view text);

} // namespace samphiretray::standins

namespace samphiretray {

template <>
inline constexpr auto name_table<standins::answer_fault> =
    std::to_array<std::pair<standins::answer_fault, std::string_view>>({
        {standins::answer_fault::none, "none"},
        {standins::answer_fault::wrong_adapter, "wrong_adapter"},
        {standins::answer_fault::wrong_prompt, "wrong_prompt"},
        {standins::answer_fault::truncated, "truncated"},
        {standins::answer_fault::corrupted, "corrupted"},
    });

} // namespace samphiretray

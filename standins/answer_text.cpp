#include "standins/answer_text.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace samphiretray::standins {

namespace {

constexpr std::uint32_t min_answer_tokens = 16;
constexpr std::uint32_t answer_length_range = 112;

constexpr std::array<std::string_view, 16> words = {"check", "the",  "valve",   "replace", "seal",  "then",
                                                    "test",  "pump", "panel",   "joint",   "clean", "measure",
                                                    "frame", "and",  "tighten", "report"};

std::string hex(std::uint64_t value) {
    std::array<char, 17> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(value));
    return digits.data();
}

std::string tag_of(std::string_view model, std::uint64_t prompt_hash) {
    return "<" + std::string{model} + "|" + hex(prompt_hash) + ">";
}

} // namespace

answer_generator::answer_generator(std::string_view model, std::string_view prompt)
    : tag_(tag_of(model, hash64(prompt))), seed_(hash64(tag_)),
      length_(min_answer_tokens + static_cast<std::uint32_t>(seed_ % answer_length_range)) {}

std::string answer_generator::token(std::uint32_t index) const {
    if (index == 0) {
        return tag_;
    }
    const std::uint64_t drawn = hash64(std::to_string(index), seed_);
    return " " + std::string{words[drawn % words.size()]} + std::to_string(drawn / words.size() % 100);
}

std::string answer_generator::text(std::uint32_t max_tokens) const {
    std::string all;
    for (std::uint32_t index = 0; index < std::min(max_tokens, length_); ++index) {
        all += token(index);
    }
    return all;
}

std::uint32_t count_tokens(std::string_view text) {
    std::uint32_t count = 0;
    bool in_word = false;
    for (const char character : text) {
        const bool is_space = std::isspace(static_cast<unsigned char>(character)) != 0;
        count += !is_space && !in_word ? 1 : 0;
        in_word = !is_space;
    }
    return std::max(count, 1U);
}

answer_fault check_answer(std::string_view model, std::string_view prompt, std::uint32_t max_tokens,
                          std::string_view text) {
    const answer_generator generator{model, prompt};
    const std::string expected = generator.text(max_tokens);
    if (text == expected) {
        return answer_fault::none;
    }
    if (expected.starts_with(text)) {
        return answer_fault::truncated;
    }
    if (text.starts_with(generator.token(0))) {
        return answer_fault::corrupted;
    }
    const std::string own_model = "<" + std::string{model} + "|";
    if (text.starts_with(own_model)) {
        return answer_fault::wrong_prompt;
    }
    return text.starts_with("<") ? answer_fault::wrong_adapter : answer_fault::corrupted;
}

} // namespace samphiretray::standins

#include "samphiretray/config/names.h"

#include <algorithm>

namespace samphiretray::config {

namespace {

constexpr bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_valid_name(std::string_view text, std::string_view punctuation) {
    const auto is_allowed = [punctuation](char c) {
        return is_alphanumeric(c) || punctuation.find(c) != punctuation.npos;
    };
    return !text.empty() && text.size() <= max_name_length && std::ranges::all_of(text, is_allowed);
}

} // namespace

bool is_name(std::string_view text) {
    return is_valid_name(text, "._-");
}

bool is_model_name(std::string_view text) {
    return is_valid_name(text, "._-/:+");
}

} // namespace samphiretray::config

#include "samphiretray/config/names.h"

#include <algorithm>

namespace samphiretray::config {

namespace {

constexpr bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool consists_of(std::string_view text, std::string_view others) {
    const auto is_allowed = [others](char c) { return is_alphanumeric(c) || others.find(c) != others.npos; };
    return !text.empty() && text.size() <= longest_name && std::ranges::all_of(text, is_allowed);
}

} // namespace

bool is_name(std::string_view text) {
    return consists_of(text, "._-");
}

bool is_model_name(std::string_view text) {
    return consists_of(text, "._-/:+");
}

} // namespace samphiretray::config

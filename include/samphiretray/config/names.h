#pragma once

#include <cstddef>
#include <string_view>

/// Which names operators may give to things.
namespace samphiretray::config {

inline constexpr std::size_t longest_name = 128;

inline constexpr std::string_view name_rule = "1 to 128 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view model_name_rule =
    "1 to 128 letters, digits, '.', '_', '-', '/', ':' or '+'";

/// Whether `text` may name an organisation, a service, an endpoint or a VM. These names appear in paths, keys
/// and log lines.
[[nodiscard]] bool is_name(std::string_view text);

/// Whether `text` may name an adapter, a version or a base model. '@' separates an adapter from its version.
[[nodiscard]] bool is_model_name(std::string_view text);

} // namespace samphiretray::config

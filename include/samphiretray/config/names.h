#pragma once

#include <cstddef>
#include <string_view>

/// Rules for the names that operators may choose.
namespace samphiretray::config {

inline constexpr std::size_t max_name_length = 128;

inline constexpr std::string_view name_rule = "1 to 128 letters, digits, '.', '_' or '-'";
inline constexpr std::string_view model_name_rule =
    "1 to 128 letters, digits, '.', '_', '-', '/', ':' or '+'";

/// Whether `text` is a valid name of an organisation, a service, an endpoint, a region, a data centre or a
/// VM. These names appear in paths, keys and log lines.
[[nodiscard]] bool is_name(std::string_view text);

/// Whether `text` is a valid name of an adapter, a version or a base model. '@' is not allowed because it
/// separates an adapter from its version.
[[nodiscard]] bool is_model_name(std::string_view text);

} // namespace samphiretray::config

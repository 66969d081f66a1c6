#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace samphiretray {

/// Encodes `bytes` in standard base64 with padding (RFC 4648 section 4).
[[nodiscard]] std::string to_base64(std::string_view bytes);
/// Returns the decoded bytes, or nothing if `text` is not valid base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace samphiretray

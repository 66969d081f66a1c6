#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace samphiretray {

/// Standard base64 with padding (RFC 4648 section 4).
[[nodiscard]] std::string to_base64(std::string_view bytes);
/// Nothing if `text` is not base64.
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

} // namespace samphiretray

#pragma once

namespace samphiretray::net {

/// The reason phrase of an HTTP status code.
[[nodiscard]] const char* http_reason(int status) noexcept;

} // namespace samphiretray::net

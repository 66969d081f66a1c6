#pragma once

namespace samphiretray::net {

/// The reason phrase of a status code.
[[nodiscard]] const char* http_reason(int status) noexcept;

} // namespace samphiretray::net

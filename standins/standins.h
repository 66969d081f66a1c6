#pragma once

#include <string_view>

namespace samphiretray::standins {

/// Version of the stand-ins; the same as that of the main program.
[[nodiscard]] std::string_view version() noexcept;

} // namespace samphiretray::standins

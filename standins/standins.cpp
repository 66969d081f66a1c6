#include "standins/standins.h"

namespace samphiretray::standins {

std::string_view version() noexcept {
    return SAMPHIRETRAY_VERSION;
}

} // namespace samphiretray::standins

#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include "standins/load_plan.h"

#include <cstddef>

namespace samphiretray::standins {

/// Loads the plan's adapters on each target, most requested first, until its slots are full. The targets must
/// be engines, as with `load --direct`. Returns the number of loads that succeeded, summed over all targets.
[[nodiscard]] std::size_t preload_adapters(net::loop& events, net::http_client& client,
                                           const load_plan& plan);

} // namespace samphiretray::standins

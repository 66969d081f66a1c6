#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include "standins/load_plan.h"

#include <cstddef>

namespace samphiretray::standins {

/// Loads the plan's adapters on every target, an engine, until its slots are full; for `load --direct`.
/// Returns the number of adapter versions that are loaded on all targets together.
[[nodiscard]] std::size_t preload_adapters(net::loop& events, net::http_client& client,
                                           const load_plan& plan);

} // namespace samphiretray::standins

#pragma once

#include "samphiretray/ports/vm_list.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::node {

/// Name of the duty that grants permits to load models. Agents query the entries in the order of preference
/// for this name.
inline constexpr std::string_view loads_duty = "loads";
/// Number of entries that contend for a duty, and that are queried to find its holder: the preferred one and
/// one more for each of two failures.
inline constexpr std::size_t candidates_per_duty = 3;

/// The VMs in order of preference for `duty`, by rendezvous hashing: all processes with the same list compute
/// the same order, and a change of the list moves few duties.
[[nodiscard]] std::vector<const ports::vm*>
rank_by_rendezvous_hash(std::string_view duty, std::span<const ports::vm* const> candidates);

/// Whether `vm` is among the first `count` VMs in the order of preference for `duty`.
[[nodiscard]] bool is_in_top(std::string_view duty, std::span<const ports::vm* const> candidates,
                             std::string_view vm, std::size_t count);

/// Whether `vm` is to contend for `duty`: it is among the first `count` of the `live` candidates, or there is
/// no live candidate. The second case keeps a duty with the last entry while that shuts down.
[[nodiscard]] bool should_contend_for(std::string_view duty, std::span<const ports::vm* const> live,
                                      std::string_view vm, std::size_t count);

} // namespace samphiretray::node

#pragma once

#include "samphiretray/ports/vm_list.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::node {

/// Name of the duty that grants load permits, and of its rank order; agents ask the entries in this order.
inline constexpr std::string_view loads_duty = "loads";
/// Entries that contend for a duty and that are asked for its holder: the preferred one and a successor for
/// each of two failures.
inline constexpr std::size_t duty_candidates = 3;

/// The VMs in the order in which they are to carry `duty`: by rendezvous hashing, so that all processes with
/// the same list agree, and a change of the list moves few duties.
[[nodiscard]] std::vector<const ports::vm*> rank_for(std::string_view duty,
                                                     std::span<const ports::vm* const> candidates);

/// Whether `vm` is among the first `count` of that order.
[[nodiscard]] bool is_ranked(std::string_view duty, std::span<const ports::vm* const> candidates,
                             std::string_view vm, std::size_t count);

/// Like `is_ranked` for a duty that an entry gives up when it leaves, unless no live candidate is left.
[[nodiscard]] bool carries_duty(std::string_view duty, std::span<const ports::vm* const> live,
                                std::string_view vm, std::size_t count);

} // namespace samphiretray::node

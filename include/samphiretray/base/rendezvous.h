#pragma once

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <ranges>
#include <string_view>
#include <utility>

namespace samphiretray {

/// The names with the greatest weights for a key come first in the order of preference for it, by rendezvous
/// hashing.
[[nodiscard]] inline std::pair<std::uint64_t, std::string_view> rendezvous_weight(std::string_view name,
                                                                                  std::uint64_t key) {
    return {hash64(name, key), name};
}

/// Number of `others` that come before `own` in the order of preference for `key`. All processes with the
/// same names compute the same order.
template <std::ranges::input_range Names>
[[nodiscard]] std::size_t rendezvous_rank(std::string_view own, const Names& others, std::uint64_t key) {
    const auto own_weight = rendezvous_weight(own, key);
    return static_cast<std::size_t>(std::ranges::count_if(
        others, [&](std::string_view each) { return rendezvous_weight(each, key) > own_weight; }));
}

} // namespace samphiretray

#pragma once

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <ranges>
#include <string>
#include <utility>

namespace samphiretray {

/// Number of `others` that come before `own` in the order of preference for `key`, by rendezvous hashing. All
/// processes with the same names compute the same order.
template <std::ranges::input_range Names>
[[nodiscard]] std::size_t rendezvous_rank(const std::string& own, const Names& others, std::uint64_t key) {
    const auto weight = [key](const std::string& name) { return std::pair{hash64(name, key), name}; };
    return static_cast<std::size_t>(
        std::ranges::count_if(others, [&, own_weight = weight(own)](const std::string& each) {
            return weight(each) > own_weight;
        }));
}

} // namespace samphiretray

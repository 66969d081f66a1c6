#include "samphiretray/node/rendezvous.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/base/rendezvous.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::node {

std::vector<const ports::vm*> rank_by_rendezvous_hash(std::string_view duty,
                                                      std::span<const ports::vm* const> candidates) {
    const std::uint64_t seed = hash64(duty);
    std::vector<const ports::vm*> ranked(candidates.begin(), candidates.end());
    std::ranges::sort(ranked, std::ranges::greater{},
                      [seed](const ports::vm* vm) { return rendezvous_weight(vm->name, seed); });
    return ranked;
}

bool is_in_top(std::string_view duty, std::span<const ports::vm* const> candidates, std::string_view vm,
               std::size_t count) {
    const auto ranked = rank_by_rendezvous_hash(duty, candidates);
    const auto first = std::views::take(ranked, static_cast<std::ptrdiff_t>(count));
    return std::ranges::any_of(first, [vm](const ports::vm* each) { return each->name == vm; });
}

bool should_contend_for(std::string_view duty, std::span<const ports::vm* const> live, std::string_view vm,
                        std::size_t count) {
    return live.empty() || is_in_top(duty, live, vm, count);
}

} // namespace samphiretray::node

#include "samphiretray/routing/prefix_memory.h"

#include "samphiretray/base/hash.h"

namespace samphiretray::routing {

void prefix_memory::set_capacity(std::uint64_t tokens) {
    capacity_ = tokens;
    evict();
}

std::uint32_t prefix_memory::kept(std::string_view adapter, std::span<const shared_part> prompt) const {
    std::uint64_t key = hash64(adapter);
    std::uint32_t tokens = 0;
    for (const shared_part& part : prompt) {
        key = hash64(part.id, key);
        if (!index_.contains(key)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_memory::remember(std::string_view adapter, std::span<const shared_part> prompt) {
    std::uint64_t key = hash64(adapter);
    for (const shared_part& part : prompt) {
        key = hash64(part.id, key);
        if (const auto found = index_.find(key); found != index_.end()) {
            order_.splice(order_.end(), order_, found->second);
            continue;
        }
        order_.push_back({key, part.tokens});
        index_.emplace(key, std::prev(order_.end()));
        used_ += part.tokens;
    }
    evict();
}

void prefix_memory::clear() {
    order_.clear();
    index_.clear();
    used_ = 0;
}

void prefix_memory::evict() {
    while (used_ > capacity_ && !order_.empty()) {
        used_ -= order_.front().tokens;
        index_.erase(order_.front().key);
        order_.pop_front();
    }
}

} // namespace samphiretray::routing

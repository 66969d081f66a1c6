#include "samphiretray/routing/prefix_cache_model.h"

#include "samphiretray/base/hash.h"

namespace samphiretray::routing {

void prefix_cache_model::set_capacity(std::uint64_t tokens) {
    capacity_tokens_ = tokens;
    evict();
}

std::uint32_t prefix_cache_model::cached_tokens(std::string_view adapter,
                                                std::span<const prompt_segment> prompt) const {
    std::uint64_t key = hash64(adapter);
    std::uint32_t tokens = 0;
    for (const prompt_segment& part : prompt) {
        key = hash64(part.id, key);
        if (!index_.contains(key)) {
            break;
        }
        tokens += part.tokens;
    }
    return tokens;
}

void prefix_cache_model::insert(std::string_view adapter, std::span<const prompt_segment> prompt) {
    std::uint64_t key = hash64(adapter);
    for (const prompt_segment& part : prompt) {
        key = hash64(part.id, key);
        if (const auto found = index_.find(key); found != index_.end()) {
            lru_.splice(lru_.end(), lru_, found->second);
            continue;
        }
        lru_.push_back({key, part.tokens});
        index_.emplace(key, std::prev(lru_.end()));
        used_tokens_ += part.tokens;
    }
    evict();
}

void prefix_cache_model::clear() {
    lru_.clear();
    index_.clear();
    used_tokens_ = 0;
}

void prefix_cache_model::evict() {
    while (used_tokens_ > capacity_tokens_ && !lru_.empty()) {
        used_tokens_ -= lru_.front().tokens;
        index_.erase(lru_.front().key);
        lru_.pop_front();
    }
}

} // namespace samphiretray::routing

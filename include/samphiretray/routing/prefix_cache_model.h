#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphiretray::routing {

/// A segment of a prompt that other requests may have in common.
struct prompt_segment {
    std::string_view id;
    std::uint32_t tokens = 0;
};

/// Models an engine's prefix cache to estimate which prompt segments it still holds: the least recently used
/// ones are evicted beyond its capacity. A segment is identified by its id, the adapter and all
/// segments before it; after another prefix or with another adapter it is a different cache entry.
class prefix_cache_model {
public:
    explicit prefix_cache_model(std::uint64_t capacity_tokens) : capacity_tokens_(capacity_tokens) {}

    void set_capacity(std::uint64_t tokens);
    /// Length in tokens of the cached prefix of the prompt, which needs no prefill.
    [[nodiscard]] std::uint32_t cached_tokens(std::string_view adapter,
                                              std::span<const prompt_segment> prompt) const;
    /// Records that the engine has prefilled this prompt.
    void insert(std::string_view adapter, std::span<const prompt_segment> prompt);
    void clear();

private:
    struct cached_segment {
        /// Chained hash of the adapter and all segments up to this one.
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };

    void evict();

    std::uint64_t capacity_tokens_;
    std::uint64_t used_tokens_ = 0;
    /// Least recently used first.
    std::list<cached_segment> lru_;
    std::unordered_map<std::uint64_t, std::list<cached_segment>::iterator> index_;
};

} // namespace samphiretray::routing

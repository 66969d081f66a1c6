#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace samphiretray::standins {

/// LRU cache of prompt prefixes in blocks of `block_tokens` words.
class prefix_cache {
public:
    static constexpr std::size_t block_tokens = 16;

    explicit prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

    /// Returns the number of leading tokens of the prompt whose blocks are cached, and caches the prompt's
    /// blocks.
    std::uint32_t lookup_and_insert(std::string_view model, std::string_view prompt);
    void clear();

private:
    /// Makes the block the most recently used one, inserting it if needed. Returns true if it was cached.
    bool touch(std::uint64_t block);

    std::size_t max_blocks_;
    std::list<std::uint64_t> lru_order_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> positions_;
};

} // namespace samphiretray::standins

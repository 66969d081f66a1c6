#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace samphiretray::standins {

/// Prompt prefixes in blocks of words, least recently used first out.
class prefix_cache {
public:
    static constexpr std::size_t block_tokens = 16;

    explicit prefix_cache(std::size_t max_blocks) : max_blocks_(max_blocks) {}

    /// Number of leading tokens of the prompt whose blocks are cached. Stores the prompt's blocks.
    std::uint32_t use(std::string_view model, std::string_view prompt);
    void clear();

private:
    /// True if the block was cached; makes it the most recently used one.
    bool touch(std::uint64_t block);

    std::size_t max_blocks_;
    std::list<std::uint64_t> by_use_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> position_;
};

} // namespace samphiretray::standins

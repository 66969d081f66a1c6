#pragma once

#include <cstdint>
#include <list>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

namespace samphiretray::routing {

/// One part of a prompt, as two requests may share it.
struct shared_part {
    std::string_view id;
    std::uint32_t tokens = 0;
};

/// Estimates which parts of prompts an engine still keeps: the ones used last, up to its memory. Parts are
/// kept for one adapter each and are found only behind all the parts before them.
class prefix_memory {
public:
    explicit prefix_memory(std::uint64_t capacity_tokens) : capacity_(capacity_tokens) {}

    void set_capacity(std::uint64_t tokens);
    /// Tokens at the start of the prompt that need no prefill.
    [[nodiscard]] std::uint32_t kept(std::string_view adapter, std::span<const shared_part> prompt) const;
    /// The engine has read this prompt.
    void remember(std::string_view adapter, std::span<const shared_part> prompt);
    void clear();

private:
    struct entry {
        std::uint64_t key = 0;
        std::uint32_t tokens = 0;
    };

    void evict();

    std::uint64_t capacity_;
    std::uint64_t used_ = 0;
    /// Least recently used first.
    std::list<entry> order_;
    std::unordered_map<std::uint64_t, std::list<entry>::iterator> index_;
};

} // namespace samphiretray::routing

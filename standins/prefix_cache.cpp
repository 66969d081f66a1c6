#include "standins/prefix_cache.h"

#include "samphiretray/base/hash.h"

#include <cctype>

namespace samphiretray::standins {

namespace {

/// Number of bytes that the first `tokens` words of `text` take up, or 0 if it has fewer words.
std::size_t length_of_words(std::string_view text, std::size_t tokens) {
    std::size_t words = 0;
    bool in_word = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool is_space = std::isspace(static_cast<unsigned char>(text[at])) != 0;
        if (is_space && in_word && words == tokens) {
            return at;
        }
        words += !is_space && !in_word ? 1 : 0;
        in_word = !is_space;
    }
    return words == tokens ? text.size() : 0;
}

} // namespace

std::uint32_t prefix_cache::lookup_and_insert(std::string_view model, std::string_view prompt) {
    std::uint64_t chain = hash64(model);
    std::uint32_t cached = 0;
    bool leading = true;
    for (std::size_t length = length_of_words(prompt, block_tokens); length > 0;
         length = length_of_words(prompt, block_tokens)) {
        chain = hash64(prompt.substr(0, length), chain);
        leading = touch(chain) && leading;
        cached += leading ? block_tokens : 0;
        prompt.remove_prefix(length);
    }
    return cached;
}

void prefix_cache::clear() {
    lru_order_.clear();
    positions_.clear();
}

bool prefix_cache::touch(std::uint64_t block) {
    const auto found = positions_.find(block);
    if (found != positions_.end()) {
        lru_order_.splice(lru_order_.end(), lru_order_, found->second);
        return true;
    }
    if (max_blocks_ == 0) {
        return false;
    }
    if (lru_order_.size() >= max_blocks_) {
        positions_.erase(lru_order_.front());
        lru_order_.pop_front();
    }
    positions_[block] = lru_order_.insert(lru_order_.end(), block);
    return false;
}

} // namespace samphiretray::standins

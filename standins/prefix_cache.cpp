#include "standins/prefix_cache.h"

#include "samphiretray/base/hash.h"

#include <cctype>

namespace samphiretray::standins {

namespace {

/// Length of the first `tokens` words of `text`, or 0 if it has fewer.
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

std::uint32_t prefix_cache::use(std::string_view model, std::string_view prompt) {
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
    by_use_.clear();
    position_.clear();
}

bool prefix_cache::touch(std::uint64_t block) {
    const auto found = position_.find(block);
    if (found != position_.end()) {
        by_use_.splice(by_use_.end(), by_use_, found->second);
        return true;
    }
    if (max_blocks_ == 0) {
        return false;
    }
    if (by_use_.size() >= max_blocks_) {
        position_.erase(by_use_.front());
        by_use_.pop_front();
    }
    position_[block] = by_use_.insert(by_use_.end(), block);
    return false;
}

} // namespace samphiretray::standins

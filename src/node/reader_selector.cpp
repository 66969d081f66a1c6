#include "samphiretray/node/reader_selector.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::node {

void reader_selector::set_members(std::vector<member> others) {
    std::erase_if(others, [this](const member& each) { return each.vm == vm_; });
    std::ranges::sort(others, {}, [](const member& each) { return std::pair{hash64(each.vm), each.vm}; });
    const auto own = std::pair{hash64(vm_), vm_};
    const auto before = std::ranges::count_if(others, [&own](const member& each) {
        return std::pair{hash64(each.vm), each.vm} < own;
    });
    is_reader_ = static_cast<std::size_t>(before) < reader_count;
    member_count_ = others.size() + 1;
    others.resize(std::min(others.size(), reader_count));
    // Spreads the load: about half of the other entries query the second reader first.
    if (others.size() == reader_count && hash64(vm_) % 2 == 1) {
        std::ranges::reverse(others);
    }
    other_readers_ = std::move(others);
}

bool reader_selector::is_reader() const {
    return is_reader_;
}

bool reader_selector::serves_peers() const {
    return is_reader_ && member_count_ > reader_count;
}

std::optional<reader_selector::member> reader_selector::assigned_reader(time_point now) const {
    return is_reader_ ? std::nullopt : fallback_reader(now);
}

std::optional<reader_selector::member> reader_selector::fallback_reader(time_point now) const {
    const auto found = std::ranges::find_if(other_readers_, [&](const member& each) {
        const auto backoff = backoff_until_.find(each.vm);
        return backoff == backoff_until_.end() || backoff->second <= now;
    });
    return found == other_readers_.end() ? std::nullopt : std::optional{*found};
}

void reader_selector::mark_failed(const std::string& vm, time_point now) {
    std::erase_if(backoff_until_, [now](const auto& each) { return each.second <= now; });
    backoff_until_[vm] = now + failure_backoff;
}

} // namespace samphiretray::node

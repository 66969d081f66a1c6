#include "samphiretray/node/reader_selector.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <ranges>

namespace samphiretray::node {

void reader_selector::set_members(std::vector<member> others, std::vector<member> remote) {
    std::erase_if(others, [this](const member& each) { return each.vm == vm_; });
    std::ranges::sort(others, {}, [](const member& each) { return std::pair{hash64(each.vm), each.vm}; });
    const auto own = std::pair{hash64(vm_), vm_};
    const auto before = std::ranges::count_if(others, [&own](const member& each) {
        return std::pair{hash64(each.vm), each.vm} < own;
    });
    is_reader_ = static_cast<std::size_t>(before) < reader_count;
    member_count_ = others.size() + 1;
    const auto readers = static_cast<std::ptrdiff_t>(std::min(others.size(), reader_count));
    // Each entry has an order of its own, so that not all of them query the same one.
    const auto own_order = [this](const member& each) { return hash64(vm_ + "/" + each.vm); };
    std::ranges::sort(others | std::views::drop(readers), {}, own_order);
    std::ranges::sort(remote, {}, own_order);
    non_readers_.assign(others.begin() + readers, others.end());
    std::ranges::move(remote, std::back_inserter(non_readers_));
    others.resize(static_cast<std::size_t>(readers));
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
    return is_reader_ ? std::nullopt : usable_reader(now);
}

std::vector<reader_selector::member> reader_selector::fallbacks(time_point now, std::size_t count) const {
    std::vector<member> usable;
    const auto is_usable_now = [this, now](const member& each) { return is_usable(each.vm, now); };
    std::ranges::copy_if(other_readers_, std::back_inserter(usable), is_usable_now);
    const auto reader_end = std::ssize(usable);
    std::ranges::copy_if(non_readers_, std::back_inserter(usable), is_usable_now);
    const auto fresh = std::ranges::find_if(usable, [this](const member& each) { return is_fresh(each.vm); });
    if (fresh != usable.end()) {
        return {*fresh};
    }
    std::ranges::stable_sort(usable | std::views::drop(reader_end), {},
                             [this](const member& each) { return last_backoff(each.vm); });
    usable.resize(std::min(usable.size(), count));
    return usable;
}

time_point reader_selector::last_backoff(const std::string& vm) const {
    const auto found = backoff_until_.find(vm);
    return found == backoff_until_.end() ? time_point{} : found->second;
}

std::optional<reader_selector::member> reader_selector::usable_reader(time_point now) const {
    const auto found = std::ranges::find_if(
        other_readers_, [this, now](const member& each) { return is_usable(each.vm, now); });
    return found == other_readers_.end() ? std::nullopt : std::optional{*found};
}

void reader_selector::mark_failed(const std::string& vm, time_point now) {
    std::erase_if(backoff_until_, [now](const auto& each) { return each.second + failure_memory <= now; });
    const bool was_fresh = is_fresh(vm);
    if (was_fresh) {
        fresh_vm_.clear();
    }
    backoff_until_[vm] = was_fresh ? now : now + failure_backoff;
}

} // namespace samphiretray::node

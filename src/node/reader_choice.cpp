#include "samphiretray/node/reader_choice.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <ranges>

namespace samphiretray::node {

void reader_choice::set_members(std::vector<member> others) {
    std::erase_if(others, [this](const member& each) { return each.vm == vm_; });
    std::ranges::sort(others, {}, [](const member& each) { return std::pair{hash64(each.vm), each.vm}; });
    const auto own = std::pair{hash64(vm_), vm_};
    const auto before = std::ranges::count_if(others, [&own](const member& each) {
        return std::pair{hash64(each.vm), each.vm} < own;
    });
    is_reader_ = static_cast<std::size_t>(before) < readers;
    members_ = others.size() + 1;
    others.resize(std::min(others.size(), readers));
    // Half of the others ask the second reader first.
    if (others.size() == readers && hash64(vm_) % 2 == 1) {
        std::ranges::reverse(others);
    }
    sources_ = std::move(others);
}

bool reader_choice::is_reader() const {
    return is_reader_;
}

bool reader_choice::reads_for_others() const {
    return is_reader_ && members_ > readers;
}

std::optional<reader_choice::member> reader_choice::source(time_point now) const {
    return is_reader_ ? std::nullopt : substitute(now);
}

std::optional<reader_choice::member> reader_choice::substitute(time_point now) const {
    const auto found = std::ranges::find_if(sources_, [&](const member& each) {
        const auto paused = paused_until_.find(each.vm);
        return paused == paused_until_.end() || paused->second <= now;
    });
    return found == sources_.end() ? std::nullopt : std::optional{*found};
}

void reader_choice::failed(const std::string& vm, time_point now) {
    std::erase_if(paused_until_, [now](const auto& each) { return each.second <= now; });
    paused_until_[vm] = now + pause;
}

} // namespace samphiretray::node

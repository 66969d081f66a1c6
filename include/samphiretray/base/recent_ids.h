#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>

namespace samphiretray {

/// The ids that were noted last, up to a fixed number.
class recent_ids {
public:
    explicit recent_ids(std::size_t max_ids) : max_ids_(max_ids) {}

    [[nodiscard]] bool contains(std::uint64_t id) const { return std::ranges::find(ids_, id) != ids_.end(); }
    void note(std::uint64_t id) {
        ids_.push_back(id);
        if (ids_.size() > max_ids_) {
            ids_.pop_front();
        }
    }

private:
    std::size_t max_ids_;
    std::deque<std::uint64_t> ids_;
};

} // namespace samphiretray

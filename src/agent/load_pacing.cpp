#include "samphiretray/agent/load_pacing.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <limits>

namespace samphiretray::agent {

namespace {

/// At least 0 and at most 1, evenly spread.
double unit_hash(const ports::adapter_version& adapter) {
    return static_cast<double>(hash64(adapter.adapter)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

bool load_pacing::remembers(const ports::adapter_version& adapter) const {
    return std::ranges::find(remembered_, adapter) != remembered_.end();
}

bool load_pacing::may_begin(const ports::adapter_version& adapter,
                            std::span<const ports::adapter_version> under_way, time_point now) const {
    if (under_way.size() >= settings_.most_loads) {
        return false;
    }
    if (remembers(adapter)) {
        return true;
    }
    const auto from_store = std::ranges::count_if(
        under_way, [this](const ports::adapter_version& each) { return !remembers(each); });
    return static_cast<std::size_t>(from_store) < settings_.store_loads && now >= store_not_before_;
}

void load_pacing::loaded(const ports::adapter_version& adapter, duration took, time_point now) {
    const auto found = std::ranges::find(remembered_, adapter);
    if (found != remembered_.end()) {
        remembered_.splice(remembered_.begin(), remembered_, found);
        return;
    }
    const duration beyond = std::max<duration>(took - settings_.usual_time, 0ms);
    store_not_before_ = now + scaled(beyond, settings_.pause_part * 2.0 * unit_hash(adapter));
    remembered_.push_front(adapter);
    if (remembered_.size() > settings_.remembered) {
        remembered_.pop_back();
    }
}

void load_pacing::restarted() {
    remembered_.clear();
    store_not_before_ = {};
}

} // namespace samphiretray::agent

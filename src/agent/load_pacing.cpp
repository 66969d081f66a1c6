#include "samphiretray/agent/load_pacing.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <limits>

namespace samphiretray::agent {

namespace {

/// Hash of the adapter's name, evenly distributed in [0, 1].
double unit_hash(const ports::adapter_version& adapter) {
    return static_cast<double>(hash64(adapter.adapter)) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

bool load_pacing::is_cached(const ports::adapter_version& adapter) const {
    return std::ranges::find(cached_, adapter) != cached_.end();
}

bool load_pacing::may_begin(const ports::adapter_version& adapter,
                            std::span<const ports::adapter_version> in_flight, time_point now) const {
    if (in_flight.size() >= settings_.max_loads) {
        return false;
    }
    if (is_cached(adapter)) {
        return true;
    }
    const auto from_store = std::ranges::count_if(
        in_flight, [this](const ports::adapter_version& each) { return !is_cached(each); });
    return static_cast<std::size_t>(from_store) < settings_.max_store_loads && now >= next_store_load_at_;
}

void load_pacing::on_loaded(const ports::adapter_version& adapter, duration took, time_point now) {
    const auto found = std::ranges::find(cached_, adapter);
    if (found != cached_.end()) {
        cached_.splice(cached_.begin(), cached_, found);
        return;
    }
    const duration excess = std::max<duration>(took - settings_.nominal_load_time, 0ms);
    next_store_load_at_ = now + scaled(excess, settings_.pause_factor * 2.0 * unit_hash(adapter));
    cached_.push_front(adapter);
    if (cached_.size() > settings_.cached_adapters) {
        cached_.pop_back();
    }
}

void load_pacing::on_engine_restart() {
    cached_.clear();
    next_store_load_at_ = {};
}

} // namespace samphiretray::agent

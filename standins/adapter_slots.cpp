#include "standins/adapter_slots.h"

namespace samphiretray::standins {

begin_load_result adapter_slots::begin_load(const std::string& name, std::uint64_t fencing) {
    if (is_fenced(fencing)) {
        return begin_load_result::fenced;
    }
    if (loaded_.contains(name)) {
        return begin_load_result::already_loaded;
    }
    if (loading_.contains(name)) {
        return begin_load_result::already_loading;
    }
    if (loaded_.size() + loading_.size() >= slots_) {
        return begin_load_result::no_slot;
    }
    loading_.insert(name);
    return begin_load_result::start;
}

void adapter_slots::finish_load(const std::string& name, bool succeeded) {
    if (loading_.erase(name) > 0 && succeeded) {
        loaded_.insert(name);
    }
}

unload_result adapter_slots::unload(const std::string& name, std::uint64_t fencing) {
    if (is_fenced(fencing)) {
        return unload_result::fenced;
    }
    return loaded_.erase(name) > 0 ? unload_result::done : unload_result::not_loaded;
}

void adapter_slots::clear() {
    loaded_.clear();
    loading_.clear();
    highest_fencing_ = 0;
}

bool adapter_slots::is_fenced(std::uint64_t fencing) {
    if (fencing >= highest_fencing_) {
        highest_fencing_ = fencing;
        return false;
    }
    ++stale_commands_;
    return checks_fencing_;
}

} // namespace samphiretray::standins

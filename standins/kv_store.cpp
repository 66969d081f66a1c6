#include "standins/kv_store.h"

#include <algorithm>
#include <utility>

namespace samphiretray::standins {

kv_write_result kv_store::put(const kv_write& write, time_point now) {
    expire(now);
    const std::uint64_t present = revision_of(write.key);
    if (write.value.size() > max_value_bytes) {
        return {kv_write_status::too_large, present};
    }
    if (present != write.expected) {
        return {kv_write_status::conflict, present};
    }
    stored_value& stored = values_[write.key];
    stored.value = write.value;
    stored.revision = ++last_revision_;
    stored.expires = write.lease ? std::optional{now + *write.lease} : std::nullopt;
    return {kv_write_status::done, stored.revision};
}

kv_write_result kv_store::erase(const std::string& key, std::uint64_t expected, time_point now) {
    expire(now);
    const std::uint64_t present = revision_of(key);
    if (present != expected) {
        return {kv_write_status::conflict, present};
    }
    values_.erase(key);
    return {kv_write_status::done, 0};
}

std::optional<stored_value> kv_store::read(const std::string& key, time_point now) {
    expire(now);
    const auto found = values_.find(key);
    return found == values_.end() ? std::nullopt : std::optional{found->second};
}

std::vector<std::string> kv_store::keys(std::string_view prefix, time_point now) {
    expire(now);
    std::vector<std::string> names;
    for (auto at = values_.lower_bound(prefix); at != values_.end() && at->first.starts_with(prefix); ++at) {
        names.push_back(at->first);
    }
    return names;
}

std::uint64_t kv_store::watch(std::string key, std::uint64_t after, time_point deadline) {
    watches_.emplace(++last_watch_, pending_watch{std::move(key), after, deadline});
    return last_watch_;
}

std::vector<kv_store::due_watch> kv_store::take_due(time_point now) {
    expire(now);
    std::vector<due_watch> due;
    std::erase_if(watches_, [&](const auto& item) {
        const pending_watch& pending = item.second;
        const bool is_due = pending.deadline <= now || revision_of(pending.key) != pending.after;
        if (is_due) {
            due.push_back({item.first, pending.key});
        }
        return is_due;
    });
    return due;
}

std::optional<time_point> kv_store::next_event() const {
    std::optional<time_point> next;
    const auto consider = [&next](time_point when) { next = next ? std::min(*next, when) : when; };
    for (const auto& [key, stored] : values_) {
        if (stored.expires) {
            consider(*stored.expires);
        }
    }
    for (const auto& [watch, pending] : watches_) {
        consider(pending.deadline);
    }
    return next;
}

void kv_store::expire(time_point now) {
    std::erase_if(values_, [now](const auto& item) {
        const std::optional<time_point>& expires = item.second.expires;
        return expires && *expires <= now;
    });
}

std::uint64_t kv_store::revision_of(const std::string& key) const {
    const auto found = values_.find(key);
    return found == values_.end() ? 0 : found->second.revision;
}

} // namespace samphiretray::standins

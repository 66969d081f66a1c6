#include "samphiretray/routing/stream_origins.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <iterator>

namespace samphiretray::routing {

stream_key make_stream_key(std::string_view organisation, std::string_view attempt_id) {
    return digest64({"stream", organisation, attempt_id});
}

bool may_continue(const stream_origin& origin, std::string_view service, std::string_view software_version) {
    return !origin.software_version.empty() && origin.service == service &&
           origin.software_version == software_version;
}

std::size_t stream_origins::intern(const stream_origin& origin) {
    const auto found = std::ranges::find(origins_, origin);
    if (found != origins_.end()) {
        return static_cast<std::size_t>(std::distance(origins_.begin(), found));
    }
    origins_.push_back(origin);
    return origins_.size() - 1;
}

void stream_origins::note(stream_key stream, const stream_origin& origin, time_point now) {
    expire(now);
    if (records_.empty()) {
        origins_.clear();
    }
    const std::size_t at = intern(origin);
    const auto [found, is_new] = records_.try_emplace(stream, record{at, now});
    record& known = found->second;
    if (known.origin != at) {
        known.origin.reset();
    }
    if (is_new || known.noted_at != now) {
        known.noted_at = now;
        order_.push_back({stream, now});
    }
    while (order_.size() > max_streams) {
        evicted_ += forget_oldest() ? 1 : 0;
    }
}

bool stream_origins::forget_oldest() {
    const noted_stream oldest = order_.front();
    order_.pop_front();
    const auto found = records_.find(oldest.stream);
    const bool is_last = found != records_.end() && found->second.noted_at == oldest.at;
    if (is_last) {
        records_.erase(found);
    }
    return is_last;
}

void stream_origins::expire(time_point now) {
    while (!order_.empty() && now - order_.front().at > retention) {
        (void)forget_oldest();
    }
}

std::optional<stream_origin> stream_origins::find(stream_key stream, time_point now) const {
    const auto found = records_.find(stream);
    if (found == records_.end() || !found->second.origin || now - found->second.noted_at > retention) {
        return std::nullopt;
    }
    return origins_[*found->second.origin];
}

} // namespace samphiretray::routing

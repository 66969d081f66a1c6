#include "samphiretray/routing/outlier_ejection.h"

#include <algorithm>
#include <cmath>

namespace samphiretray::routing {

namespace {

/// Limits the backoff factor, to keep it in range; ejections have reached their maximum duration long before.
constexpr std::uint32_t max_backoff_exponent = 20;

} // namespace

outlier_ejection::outlier_ejection(ejection_settings settings) : settings_(settings) {}

void outlier_ejection::replace_endpoints(std::string_view pool, const std::vector<std::string>& live) {
    const std::string name{pool};
    std::erase_if(records_, [&](const auto& known) {
        return known.second.pool == name && std::ranges::find(live, known.first) == live.end();
    });
    for (const std::string& endpoint : live) {
        records_[endpoint].pool = name;
    }
    pools_[name] = {live.size(),
                    static_cast<std::size_t>(std::ranges::count_if(records_, [&](const auto& known) {
                        return known.second.pool == name && known.second.phase != ejection_phase::in_use;
                    }))};
}

bool outlier_ejection::usable(std::string_view endpoint, time_point now) const {
    const auto found = records_.find(std::string{endpoint});
    if (found == records_.end() || found->second.phase == ejection_phase::in_use) {
        return true;
    }
    return found->second.phase == ejection_phase::ejected && now >= found->second.ejected_until;
}

void outlier_ejection::started(std::string_view endpoint, time_point now) {
    const auto found = records_.find(std::string{endpoint});
    if (found == records_.end()) {
        return;
    }
    record& target = found->second;
    if (target.phase == ejection_phase::ejected && now >= target.ejected_until) {
        target.phase = ejection_phase::probing;
    }
}

void outlier_ejection::count_attempt(record& target, bool failure, time_point now) const {
    if (now - target.window_start >= settings_.window) {
        target.window_start = now;
        target.attempts = 0;
        target.failures = 0;
    }
    ++target.attempts;
    target.failures += failure ? 1 : 0;
    target.consecutive_failures = failure ? target.consecutive_failures + 1 : 0;
}

bool outlier_ejection::is_outlier(const record& target) const {
    if (target.consecutive_failures >= settings_.consecutive_failures) {
        return true;
    }
    return target.attempts >= settings_.minimum_attempts &&
           target.failures >= settings_.failure_rate * target.attempts;
}

bool outlier_ejection::may_eject(std::string_view pool) const {
    const auto found = pools_.find(std::string{pool});
    if (found == pools_.end()) {
        return false;
    }
    const double limit = settings_.max_ejected_fraction * static_cast<double>(found->second.endpoints);
    return static_cast<double>(found->second.ejected + 1) <= limit;
}

void outlier_ejection::eject(record& target, time_point now) {
    if (now - target.ejected_until >= settings_.reset_time) {
        target.ejections = 0;
    }
    const double factor = std::exp2(std::min(target.ejections, max_backoff_exponent));
    const auto time = std::min<std::chrono::duration<double, std::micro>>(
        settings_.max_ejection_time, settings_.base_ejection_time * factor);
    if (target.phase == ejection_phase::in_use) {
        ++pools_[target.pool].ejected;
    }
    target.phase = ejection_phase::ejected;
    target.ejected_until = now + std::chrono::duration_cast<duration>(time);
    ++target.ejections;
    target.consecutive_failures = 0;
    target.attempts = 0;
    target.failures = 0;
}

void outlier_ejection::readmit(record& target) {
    target.phase = ejection_phase::in_use;
    --pools_[target.pool].ejected;
}

void outlier_ejection::succeeded(std::string_view endpoint, time_point now) {
    const auto found = records_.find(std::string{endpoint});
    if (found == records_.end()) {
        return;
    }
    count_attempt(found->second, false, now);
    if (found->second.phase == ejection_phase::probing) {
        readmit(found->second);
    }
}

void outlier_ejection::failed(std::string_view endpoint, time_point now) {
    const auto found = records_.find(std::string{endpoint});
    if (found == records_.end() || found->second.phase == ejection_phase::ejected) {
        return;
    }
    record& target = found->second;
    count_attempt(target, true, now);
    if (target.phase == ejection_phase::probing || (is_outlier(target) && may_eject(target.pool))) {
        eject(target, now);
    }
}

void outlier_ejection::abandoned(std::string_view endpoint, time_point now) {
    const auto found = records_.find(std::string{endpoint});
    if (found != records_.end() && found->second.phase == ejection_phase::probing) {
        found->second.phase = ejection_phase::ejected;
        found->second.ejected_until = now;
    }
}

std::size_t outlier_ejection::ejected_count(std::string_view pool) const {
    const auto found = pools_.find(std::string{pool});
    return found == pools_.end() ? 0 : found->second.ejected;
}

} // namespace samphiretray::routing

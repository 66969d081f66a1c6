#include "samphiretray/control/contact_tracker.h"

#include <algorithm>
#include <limits>

namespace samphiretray::control {

namespace {

// Largest number of revisions above the one in force for which evidence is kept. More of them would mean that
// the process has stopped fetching configurations.
constexpr std::size_t max_later_revisions = 64;

void advance_to(std::optional<time_point>& target, time_point value) {
    target = target ? std::max(*target, value) : value;
}

/// Rounds up, so that rounding never makes evidence look newer.
std::uint32_t age_in_ms(duration age) {
    const std::int64_t rounded = milliseconds_in(age + 1ms - duration{1});
    constexpr std::int64_t highest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(rounded, 0, highest));
}

std::optional<std::uint32_t> age_at(time_point now, const std::optional<time_point>& at) {
    if (!at) {
        return std::nullopt;
    }
    return age_in_ms(now - *at);
}

/// Converts an age in a reply to a time on the local clock, counted back from sending the pull.
std::optional<time_point> to_local_time(time_point sent, std::optional<std::uint32_t> age_ms) {
    if (!age_ms) {
        return std::nullopt;
    }
    return sent - std::chrono::milliseconds{*age_ms};
}

} // namespace

contact_tracker::contact_tracker(contact_settings settings) : settings_(std::move(settings)) {}

void contact_tracker::set_regions(std::span<const std::string> regions) {
    for (const std::string& region : regions) {
        regions_.try_emplace(region);
    }
}

void contact_tracker::on_own_success(time_point sent, std::uint64_t revision) {
    add_evidence(sent, revision);
    on_own_answer(sent);
}

void contact_tracker::on_own_answer(time_point sent) {
    advance_to(regions_[settings_.region].last_answer, sent);
}

void contact_tracker::on_own_failure(time_point sent) {
    advance_to(regions_[settings_.region].last_failure, sent);
}

void contact_tracker::on_reply(time_point sent, const wire::state_reply& reply) {
    if (const auto at = to_local_time(sent, reply.contact_age_ms)) {
        add_evidence(*at, reply.revision);
    }
    for (const wire::region_evidence& evidence : reply.regions) {
        region_evidence_times& times = regions_[evidence.region];
        if (const auto at = to_local_time(sent, evidence.contact_age_ms)) {
            advance_to(times.last_answer, *at);
        }
        if (const auto at = to_local_time(sent, evidence.failure_age_ms)) {
            advance_to(times.last_failure, *at);
        }
    }
}

void contact_tracker::add_evidence(time_point at, std::uint64_t revision) {
    if (revision <= revision_in_force_) {
        advance_to(in_force_evidence_, at);
        return;
    }
    const auto [found, is_new] = later_evidence_.emplace(revision, at);
    found->second = std::max(found->second, at);
    if (later_evidence_.size() > max_later_revisions) {
        later_evidence_.erase(later_evidence_.begin());
    }
}

void contact_tracker::on_in_force(std::uint64_t revision) {
    revision_in_force_ = std::max(revision_in_force_, revision);
    while (!later_evidence_.empty() && later_evidence_.begin()->first <= revision_in_force_) {
        advance_to(in_force_evidence_, later_evidence_.begin()->second);
        later_evidence_.erase(later_evidence_.begin());
    }
}

std::optional<duration> contact_tracker::age(time_point now) const {
    if (!in_force_evidence_) {
        return std::nullopt;
    }
    return now - *in_force_evidence_;
}

std::optional<time_point> contact_tracker::newest_answer() const {
    std::optional<time_point> newest = in_force_evidence_;
    for (const auto& [revision, at] : later_evidence_) {
        advance_to(newest, at);
    }
    for (const auto& [region, times] : regions_) {
        if (times.last_answer) {
            advance_to(newest, *times.last_answer);
        }
    }
    return newest;
}

bool contact_tracker::is_recent(const std::optional<time_point>& at, time_point now) const {
    return at && now - *at <= settings_.max_evidence_age;
}

contact_state contact_tracker::state(time_point now) const {
    if (is_recent(in_force_evidence_, now)) {
        return contact_state::fresh;
    }
    const auto reports_outage = [&](const auto& region) {
        return is_recent(region.second.last_failure, now) && !is_recent(region.second.last_answer, now);
    };
    const bool is_down = !regions_.empty() && std::ranges::all_of(regions_, reports_outage);
    return is_down ? contact_state::service_down : contact_state::cut_off;
}

void contact_tracker::fill_reply(time_point now, wire::state_reply& reply) const {
    reply.revision = revision_in_force_;
    reply.contact_age_ms = age_at(now, in_force_evidence_);
    reply.regions.clear();
    for (const auto& [region, times] : regions_) {
        if (times.last_answer || times.last_failure) {
            reply.regions.push_back(
                {region, age_at(now, times.last_answer), age_at(now, times.last_failure)});
        }
    }
}

} // namespace samphiretray::control

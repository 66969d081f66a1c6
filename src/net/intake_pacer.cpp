#include "samphiretray/net/intake_pacer.h"

#include <algorithm>
#include <cmath>

namespace samphiretray::net {

namespace {

constexpr int default_backlog = 4096;
/// Enough for the new connections of one iteration of the loop.
constexpr int min_backlog = 64;
/// What waits to be accepted may fill the link for this long.
constexpr duration backlog_time = 200ms;
constexpr duration measure_interval = 1s;
constexpr double mean_weight = 0.3;
/// Larger requests than before fill the link at once, smaller ones only leave room on it.
constexpr double rising_mean_weight = 0.7;
constexpr double min_request_bytes = 512;
/// What is being received may keep the link busy for this long.
constexpr duration receiving_time = 200ms;
/// Requests; enough to keep a link busy whose round trip is short.
constexpr double min_receiving = 8;
/// A request that is not received within this time is not counted any more: its sender is slow.
constexpr duration max_receiving_time = 2s;
/// The same on a link that is not busy; enough for the first bytes of a request.
constexpr duration max_receiving_time_if_calm = 100ms;
constexpr duration sample_interval = 20ms;
/// A request that has not come yet counts as one of this size at least: it may be larger than earlier ones.
constexpr double min_expected_bytes = 8192;
/// Part of the link from whose use on it counts as busy.
constexpr double busy_link_use = 0.5;
/// One request on each connection that is kept open on a busy link takes this long.
constexpr duration kept_requests_time = 1s;
/// Time after which it is checked again whether requests have been received.
constexpr duration receiving_check_interval = 10ms;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void intake_pacer::bucket::refill(double bytes, double burst) {
    level = std::min(level + bytes, burst);
}

void intake_pacer::bucket::take(double bytes, double max_debt) {
    level = std::max(level - bytes, -max_debt);
}

intake_pacer::intake_pacer(double link_bytes_per_s) : bytes_per_s_(link_bytes_per_s * usable_fraction) {}

void intake_pacer::refill(time_point now) {
    const double elapsed = refilled_at_ ? std::max(seconds(now - *refilled_at_), 0.0) : seconds(burst_time);
    refilled_at_ = now;
    const double burst = bytes_per_s_ * seconds(burst_time);
    received_.refill(bytes_per_s_ * elapsed, burst);
    expected_.refill(bytes_per_s_ * elapsed, burst);
}

void intake_pacer::on_received(std::uint64_t total, time_point now) {
    if (bytes_per_s_ <= 0) {
        return;
    }
    refill(now);
    received_.take(static_cast<double>(total - total_), bytes_per_s_ * seconds(max_debt_time));
    total_ = total;
    sample(now);
    measure(now);
}

void intake_pacer::sample(time_point now) {
    sampled_at_ = sampled_at_.value_or(now);
    const duration elapsed = now - *sampled_at_;
    if (elapsed >= sample_interval) {
        current_use_ = static_cast<double>(total_ - sampled_total_) / seconds(elapsed) /
                       (bytes_per_s_ / usable_fraction);
        sampled_at_ = now;
        sampled_total_ = total_;
    }
}

void intake_pacer::measure(time_point now) {
    measured_at_ = measured_at_.value_or(now);
    const duration elapsed = now - *measured_at_;
    if (elapsed < measure_interval) {
        return;
    }
    const auto bytes = static_cast<double>(total_ - measured_total_);
    const auto requests = static_cast<double>(requests_ - measured_requests_);
    link_use_ = bytes / seconds(elapsed) / (bytes_per_s_ / usable_fraction);
    if (requests > 0) {
        const double mean = std::max(bytes / requests, min_request_bytes);
        const double weight = mean > mean_request_bytes_ ? rising_mean_weight : mean_weight;
        mean_request_bytes_ += (mean - mean_request_bytes_) * weight;
    }
    measured_at_ = now;
    measured_total_ = total_;
    measured_requests_ = requests_;
}

void intake_pacer::on_accepted(time_point now) {
    if (bytes_per_s_ <= 0) {
        return;
    }
    refill(now);
    paused_at_.reset();
    expected_.take(mean_request_bytes_, bytes_per_s_ * seconds(max_debt_time));
}

void intake_pacer::on_receiving(const void* connection, time_point now) {
    if (bytes_per_s_ > 0 && !receiving_positions_.contains(connection)) {
        receiving_positions_[connection] = receiving_.insert(receiving_.end(), {connection, now});
    }
}

void intake_pacer::on_request(const void* connection) {
    ++requests_;
    on_not_receiving(connection);
}

void intake_pacer::on_not_receiving(const void* connection) {
    const auto found = receiving_positions_.find(connection);
    if (found == receiving_positions_.end()) {
        return;
    }
    if (found->second != receiving_.end()) {
        receiving_.erase(found->second);
    }
    receiving_positions_.erase(found);
}

double intake_pacer::expected_request_bytes() const {
    return std::max(mean_request_bytes_, min_expected_bytes);
}

bool intake_pacer::is_receiving_enough(time_point now) {
    const duration max_time = current_use_ >= busy_link_use ? max_receiving_time : max_receiving_time_if_calm;
    while (!receiving_.empty() && now - receiving_.front().began_at >= max_time) {
        receiving_positions_[receiving_.front().connection] = receiving_.end();
        receiving_.pop_front();
    }
    const double limit =
        std::max(bytes_per_s_ * seconds(receiving_time) / expected_request_bytes(), min_receiving);
    return static_cast<double>(receiving_.size()) >= limit;
}

duration intake_pacer::bucket_wait() const {
    const double debt = -std::min(received_.level, expected_.level);
    return debt < 0 ? duration::zero()
                    : std::chrono::ceil<duration>(std::chrono::duration<double>((debt + 1) / bytes_per_s_));
}

duration intake_pacer::wait(time_point now) {
    if (bytes_per_s_ <= 0) {
        return duration::zero();
    }
    refill(now);
    const duration receiving_wait = is_receiving_enough(now) ? receiving_check_interval : duration::zero();
    const duration needed = std::max(bucket_wait(), receiving_wait);
    if (needed <= duration::zero()) {
        paused_at_.reset();
        return duration::zero();
    }
    paused_at_ = paused_at_.value_or(now);
    return std::clamp<duration>(*paused_at_ + max_pause - now, duration::zero(), needed);
}

bool intake_pacer::should_close(std::size_t open_connections, time_point now) {
    if (bytes_per_s_ <= 0) {
        return false;
    }
    refill(now);
    const bool is_busy = received_.level < 0 || link_use_ >= busy_link_use;
    const double kept = bytes_per_s_ * seconds(kept_requests_time) / expected_request_bytes();
    return is_busy && static_cast<double>(open_connections) > kept;
}

int intake_pacer::backlog() const {
    if (bytes_per_s_ <= 0) {
        return default_backlog;
    }
    const double connections = bytes_per_s_ * seconds(backlog_time) / mean_request_bytes_;
    return static_cast<int>(std::clamp<double>(connections, min_backlog, default_backlog));
}

} // namespace samphiretray::net

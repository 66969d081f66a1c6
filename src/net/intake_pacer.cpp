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
constexpr double min_request_bytes = 512;

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
    measure(now);
}

void intake_pacer::measure(time_point now) {
    measured_at_ = measured_at_.value_or(now);
    const duration elapsed = now - *measured_at_;
    if (elapsed < measure_interval) {
        return;
    }
    const auto bytes = static_cast<double>(total_ - measured_total_);
    const auto connections = static_cast<double>(accepted_ - measured_accepted_);
    link_use_ = bytes / seconds(elapsed) / (bytes_per_s_ / usable_fraction);
    if (connections > 0) {
        const double mean = std::max(bytes / connections, min_request_bytes);
        mean_request_bytes_ += (mean - mean_request_bytes_) * mean_weight;
    }
    measured_at_ = now;
    measured_total_ = total_;
    measured_accepted_ = accepted_;
}

void intake_pacer::on_accepted(time_point now) {
    if (bytes_per_s_ <= 0) {
        return;
    }
    refill(now);
    ++accepted_;
    paused_at_.reset();
    expected_.take(mean_request_bytes_, bytes_per_s_ * seconds(max_debt_time));
}

duration intake_pacer::wait(time_point now) {
    if (bytes_per_s_ <= 0) {
        return duration::zero();
    }
    refill(now);
    const double debt = -std::min(received_.level, expected_.level);
    if (debt < 0) {
        paused_at_.reset();
        return duration::zero();
    }
    paused_at_ = paused_at_.value_or(now);
    const auto paid_in =
        std::chrono::ceil<duration>(std::chrono::duration<double>((debt + 1) / bytes_per_s_));
    return std::clamp<duration>(*paused_at_ + max_pause - now, duration::zero(), paid_in);
}

int intake_pacer::backlog() const {
    if (bytes_per_s_ <= 0) {
        return default_backlog;
    }
    const double connections = bytes_per_s_ * seconds(backlog_time) / mean_request_bytes_;
    return static_cast<int>(std::clamp<double>(connections, min_backlog, default_backlog));
}

} // namespace samphiretray::net

#include "samphiretray/rate/region_shares.h"

#include "samphiretray/base/text.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace samphiretray::rate {

namespace {

constexpr std::string_view header_line = "shares 1";
// Time constants of the moving average of the demand. The average decides on transfers, since one that
// follows a momentary peak would come too late. It falls more slowly than it rises, so that a pause in the
// demand does not cause a transfer.
constexpr double rise_time_constant_seconds = 5;
constexpr double fall_time_constant_seconds = 8;

error parse_failure(std::string_view detail) {
    return make_error(errc::protocol_error, step::parse, {}, "shares record: " + std::string{detail});
}

result<share_line> parse_line(std::string_view line) {
    const auto fields = split(line, ' ');
    if (fields.size() != 4) {
        return parse_failure("a line does not have four fields");
    }
    const auto share = parse_number<std::uint32_t>(fields[1]);
    const auto wanted = parse_number<std::uint32_t>(fields[2]);
    const auto owner = parse_number<std::uint64_t>(fields[3]);
    if (fields[0].empty() || !share || !wanted || !owner || *share > full_share || *wanted > full_share) {
        return parse_failure("a field of a line is malformed or out of range");
    }
    return share_line{std::string{fields[0]}, *share, *wanted, *owner};
}

std::uint64_t assigned(const shares_record& record) {
    return std::transform_reduce(record.lines.begin(), record.lines.end(), std::uint64_t{0}, std::plus<>{},
                                 [](const share_line& each) { return std::uint64_t{each.share}; });
}

const share_line* find_line(const shares_record& record, std::string_view region) {
    const auto found = std::ranges::find(record.lines, region, &share_line::region);
    return found == record.lines.end() ? nullptr : &*found;
}

void set_line(shares_record& record, share_line line) {
    const auto found = std::ranges::find(record.lines, line.region, &share_line::region);
    if (found != record.lines.end()) {
        *found = std::move(line);
    } else {
        record.lines.push_back(std::move(line));
    }
}

/// The largest bound up to which the wants of all regions can be met together (max-min fairness).
std::uint32_t max_min_fair_bound(std::vector<std::uint32_t> wants) {
    std::ranges::sort(wants);
    std::uint32_t left = full_share;
    for (std::size_t served = 0; served < wants.size(); ++served) {
        const auto bound = static_cast<std::uint32_t>(left / (wants.size() - served));
        if (wants[served] > bound) {
            return bound;
        }
        left -= wants[served];
    }
    return full_share;
}

} // namespace

std::string shares_key(std::string_view organisation) {
    return "shares/" + std::string{organisation};
}

std::string format_shares(const shares_record& record) {
    std::string text{header_line};
    text += '\n';
    for (const share_line& each : record.lines) {
        text += each.region + ' ' + std::to_string(each.share) + ' ' + std::to_string(each.wanted) + ' ' +
                std::to_string(each.owner) + '\n';
    }
    return text;
}

result<shares_record> parse_shares(std::string_view text) {
    shares_record record;
    const auto lines = split(text, '\n');
    if (lines.empty()) {
        return record;
    }
    if (lines.front() != header_line) {
        return parse_failure("the header line is not \"shares 1\"");
    }
    for (const std::string_view line : std::vector(lines.begin() + 1, lines.end())) {
        auto parsed = parse_line(line);
        if (!parsed) {
            return parsed.error();
        }
        if (find_line(record, parsed->region) != nullptr) {
            return parse_failure("a region has more than one line");
        }
        record.lines.push_back(*std::move(parsed));
    }
    if (assigned(record) > full_share) {
        return parse_failure("the shares sum to more than 1000000");
    }
    return record;
}

std::uint32_t unassigned(const shares_record& record) {
    return full_share - static_cast<std::uint32_t>(std::min<std::uint64_t>(assigned(record), full_share));
}

region_shares::region_shares(std::string organisation, std::string region, std::uint64_t owner,
                             std::size_t regions, region_shares_options options)
    : organisation_(std::move(organisation)), region_(std::move(region)), owner_(owner),
      regions_(std::max<std::size_t>(regions, 1)), options_(options) {}

std::optional<shares_call> region_shares::next_call(const region_demand& demand, bucket_limits whole,
                                                    bool lowered, time_point now) {
    const std::uint32_t want = update_wanted(demand, whole, now);
    if (fenced_ || pending_call_ || now < retry_at_) {
        return std::nullopt;
    }
    if (must_read_ || (!pending_write_ && now >= next_read_)) {
        next_read_ = now + options_.read_interval;
        return start_read();
    }
    if (!pending_write_) {
        plan_write(want, now);
        // A lowered share must be in force before it is written.
        return pending_write_ && !write_lowers_share() ? std::optional{start_write()} : std::nullopt;
    }
    return lowered || !write_lowers_share() ? std::optional{start_write()} : std::nullopt;
}

std::uint32_t region_shares::update_wanted(const region_demand& demand, bucket_limits whole, time_point now) {
    const double by_rate = whole.rate > 0 ? demand.tokens_per_second / whole.rate : 0;
    const double by_burst = whole.burst > 0 ? demand.largest_reservation / whole.burst : 0;
    const double elapsed = std::chrono::duration<double>(now - smoothed_demand_at_).count();
    const double time_constant =
        by_rate > smoothed_demand_ ? rise_time_constant_seconds : fall_time_constant_seconds;
    smoothed_demand_ +=
        (by_rate - smoothed_demand_) * (1 - std::exp(-std::max(0.0, elapsed) / time_constant));
    smoothed_demand_at_ = now;
    const double want = std::min(1.0, std::max(smoothed_demand_, by_burst));
    return std::max(min_share(), static_cast<std::uint32_t>(want * full_share));
}

std::uint32_t region_shares::min_share() const {
    return static_cast<std::uint32_t>(options_.min_share_sum / regions_);
}

/// The share that is fair to all regions. If they want more than the whole together, the wanted share is
/// bounded by max-min fairness. Otherwise it is increased by a portion of the surplus: half of the surplus is
/// split equally and half by the square roots of the wants, since random variation grows with the square root
/// of the demand. Regions without a line count with the minimum share.
std::uint32_t region_shares::target(std::uint32_t wanted) const {
    std::vector<std::uint32_t> wants{wanted};
    for (const share_line& each : record_->lines) {
        if (each.region != region_) {
            wants.push_back(std::max(each.wanted, min_share()));
        }
    }
    wants.resize(std::max(wants.size(), regions_), min_share());
    const std::uint64_t sum = std::accumulate(wants.begin(), wants.end(), std::uint64_t{0});
    if (sum > full_share) {
        return std::min(wanted, max_min_fair_bound(wants));
    }
    const double equal_fraction = 1 / static_cast<double>(wants.size());
    const double root_sum =
        std::transform_reduce(wants.begin(), wants.end(), 0.0, std::plus<>{},
                              [](std::uint32_t want) { return std::sqrt(static_cast<double>(want)); });
    const double root_fraction = std::sqrt(static_cast<double>(wanted)) / root_sum;
    const double headroom = static_cast<double>(full_share - sum) * (root_fraction + equal_fraction) / 2;
    return wanted + static_cast<std::uint32_t>(headroom);
}

std::uint32_t region_shares::attainable(std::uint32_t goal) const {
    const std::uint32_t mine = own_line() == nullptr ? 0 : own_line()->share;
    return goal <= mine ? goal : mine + std::min(goal - mine, unassigned(*record_));
}

void region_shares::plan_write(std::uint32_t wanted, time_point now) {
    if (!claimed_) {
        const bool known = own_line() != nullptr;
        const auto equal = static_cast<std::uint32_t>(full_share / regions_);
        set_pending_write(known ? own_line()->share : attainable(equal),
                          known ? own_line()->wanted : min_share());
        return;
    }
    if (now < next_write_) {
        return;
    }
    const share_line mine = *own_line();
    const std::uint32_t share = attainable(target(wanted));
    const auto differs = [this](std::uint32_t a, std::uint32_t b) {
        return std::max(a, b) - std::min(a, b) >= options_.hysteresis;
    };
    const bool has_shortfall = mine.share < wanted && share > mine.share;
    if (has_shortfall || differs(share, mine.share) || differs(wanted, mine.wanted)) {
        set_pending_write(share, wanted);
    }
}

void region_shares::set_pending_write(std::uint32_t share, std::uint32_t wanted) {
    shares_record record = *record_;
    set_line(record, {.region = region_, .share = share, .wanted = wanted, .owner = owner_});
    share_in_force_ = std::min(share_in_force_, share);
    ports::swap_request swap{.key = shares_key(organisation_),
                             .value = format_shares(record),
                             .expected_revision = revision_,
                             .lease = {}};
    pending_write_ = pending_write{.swap = std::move(swap), .record = std::move(record)};
}

bool region_shares::write_lowers_share() const {
    return own_line() != nullptr && find_line(pending_write_->record, region_)->share < own_line()->share;
}

const share_line* region_shares::own_line() const {
    return find_line(*record_, region_);
}

shares_call region_shares::start_read() {
    pending_call_ = ++last_call_;
    return read_shares{.call = last_call_, .key = shares_key(organisation_)};
}

shares_call region_shares::start_write() {
    pending_call_ = ++last_call_;
    return write_shares{.call = last_call_, .swap = pending_write_->swap};
}

void region_shares::on_read(std::uint64_t call, const result<ports::versioned_value>& answer,
                            time_point now) {
    if (pending_call_ != call) {
        return;
    }
    pending_call_.reset();
    if (!answer) {
        retry_at_ = now + options_.retry_interval;
        return;
    }
    auto record = parse_shares(answer->value);
    if (!record) {
        retry_at_ = now + options_.retry_interval;
        return;
    }
    must_read_ = false;
    // While the record is at the expected revision, an earlier attempt of the write may still take effect, so
    // the pending write is not changed.
    const bool unresolved = pending_write_ && answer->revision == pending_write_->swap.expected_revision;
    if (!unresolved) {
        pending_write_.reset();
        apply_record(*std::move(record), answer->revision);
    }
}

void region_shares::on_written(std::uint64_t call, const result<std::uint64_t>& answer, time_point now) {
    if (pending_call_ != call) {
        return;
    }
    pending_call_.reset();
    if (claimed_) {
        next_write_ = now + options_.write_interval;
    }
    if (!answer) {
        must_read_ = true;
        const bool conflict = answer.error().code == errc::conflict;
        retry_at_ = conflict ? now : now + options_.retry_interval;
        return;
    }
    shares_record record = std::move(pending_write_->record);
    pending_write_.reset();
    apply_record(std::move(record), *answer);
}

void region_shares::apply_record(shares_record record, std::uint64_t revision) {
    record_ = std::move(record);
    revision_ = revision;
    const share_line* mine = own_line();
    const std::uint64_t owner = mine == nullptr ? 0 : mine->owner;
    fenced_ = owner > owner_;
    claimed_ = owner == owner_;
    share_in_force_ = claimed_ ? mine->share : 0;
}

bucket_limits region_shares::limits(bucket_limits whole) const {
    const double fraction = static_cast<double>(share_in_force_) / full_share;
    return {.rate = whole.rate * fraction, .burst = whole.burst * fraction};
}

} // namespace samphiretray::rate

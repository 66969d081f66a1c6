#include "samphiretray/rate/region_shares.h"

#include "samphiretray/base/split.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace samphiretray::rate {

namespace {

constexpr std::string_view first_line = "shares 1";
// The demand that decides is averaged, since a transfer for a moment's demand would come too late. It falls
// more slowly than it rises, so that a pause in the demand does not start a transfer.
constexpr double rise_seconds = 5;
constexpr double fall_seconds = 8;

error parse_failure(std::string_view detail) {
    return make_error(errc::protocol_error, step::parse, {}, "shares record: " + std::string{detail});
}

result<region_part> parse_part(std::string_view line) {
    const auto fields = split(line, ' ');
    if (fields.size() != 4) {
        return parse_failure("a line has not four fields");
    }
    const auto part = parse_number<std::uint32_t>(fields[1]);
    const auto wanted = parse_number<std::uint32_t>(fields[2]);
    const auto owner = parse_number<std::uint64_t>(fields[3]);
    if (fields[0].empty() || !part || !wanted || !owner || *part > whole_part || *wanted > whole_part) {
        return parse_failure("a field of a line is out of range");
    }
    return region_part{std::string{fields[0]}, *part, *wanted, *owner};
}

std::uint64_t assigned(const shares_record& record) {
    return std::transform_reduce(record.parts.begin(), record.parts.end(), std::uint64_t{0}, std::plus<>{},
                                 [](const region_part& each) { return std::uint64_t{each.part}; });
}

const region_part* find_line(const shares_record& record, std::string_view region) {
    const auto found = std::ranges::find(record.parts, region, &region_part::region);
    return found == record.parts.end() ? nullptr : &*found;
}

void set_line(shares_record& record, region_part line) {
    const auto found = std::ranges::find(record.parts, line.region, &region_part::region);
    if (found != record.parts.end()) {
        *found = std::move(line);
    } else {
        record.parts.push_back(std::move(line));
    }
}

/// The largest bound to which all wants can be served together (max-min fairness).
std::uint32_t fair_bound(std::vector<std::uint32_t> wants) {
    std::ranges::sort(wants);
    std::uint32_t left = whole_part;
    for (std::size_t served = 0; served < wants.size(); ++served) {
        const auto bound = static_cast<std::uint32_t>(left / (wants.size() - served));
        if (wants[served] > bound) {
            return bound;
        }
        left -= wants[served];
    }
    return whole_part;
}

} // namespace

std::string shares_key(std::string_view organisation) {
    return "shares/" + std::string{organisation};
}

std::string format_shares(const shares_record& record) {
    std::string text{first_line};
    text += '\n';
    for (const region_part& each : record.parts) {
        text += each.region + ' ' + std::to_string(each.part) + ' ' + std::to_string(each.wanted) + ' ' +
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
    if (lines.front() != first_line) {
        return parse_failure("the first line is unknown");
    }
    for (const std::string_view line : std::vector(lines.begin() + 1, lines.end())) {
        auto part = parse_part(line);
        if (!part) {
            return part.error();
        }
        if (find_line(record, part->region) != nullptr) {
            return parse_failure("a region has two lines");
        }
        record.parts.push_back(*std::move(part));
    }
    if (assigned(record) > whole_part) {
        return parse_failure("the parts sum to more than the whole");
    }
    return record;
}

std::uint32_t unassigned(const shares_record& record) {
    return whole_part - static_cast<std::uint32_t>(std::min<std::uint64_t>(assigned(record), whole_part));
}

region_shares::region_shares(std::string organisation, std::string region, std::uint64_t owner,
                             std::size_t regions, region_shares_options options)
    : organisation_(std::move(organisation)), region_(std::move(region)), owner_(owner),
      regions_(std::max<std::size_t>(regions, 1)), options_(options) {}

std::optional<shares_call> region_shares::next_call(const region_demand& demand, bucket_limits whole,
                                                    bool lowered, time_point now) {
    const std::uint32_t want = wanted(demand, whole, now);
    if (fenced_ || pending_call_ || now < retry_at_) {
        return std::nullopt;
    }
    if (must_read_ || (!write_ && now >= next_read_)) {
        next_read_ = now + options_.read_interval;
        return start_read();
    }
    if (!write_) {
        propose(want, now);
        // The caller has to bring a lowered part into force first.
        return write_ && !write_lowers() ? std::optional{start_write()} : std::nullopt;
    }
    return lowered || !write_lowers() ? std::optional{start_write()} : std::nullopt;
}

std::uint32_t region_shares::wanted(const region_demand& demand, bucket_limits whole, time_point now) {
    const double by_rate = whole.rate > 0 ? demand.tokens_per_second / whole.rate : 0;
    const double by_burst = whole.burst > 0 ? demand.largest_reservation / whole.burst : 0;
    const double elapsed = std::chrono::duration<double>(now - smoothed_at_).count();
    const double time = by_rate > smoothed_ ? rise_seconds : fall_seconds;
    smoothed_ += (by_rate - smoothed_) * (1 - std::exp(-std::max(0.0, elapsed) / time));
    smoothed_at_ = now;
    const double want = std::min(1.0, std::max(smoothed_, by_burst));
    return std::max(floor(), static_cast<std::uint32_t>(want * whole_part));
}

std::uint32_t region_shares::floor() const {
    return static_cast<std::uint32_t>(options_.floor / regions_);
}

/// The part that is fair to all regions: what they want, bounded fairly if that is too much, plus a part of
/// what nobody wants. Random variation grows with the square root of the demand, so the room above it does as
/// well. Regions without a line count with the floor.
std::uint32_t region_shares::target(std::uint32_t wanted) const {
    std::vector<std::uint32_t> wants{wanted};
    for (const region_part& each : record_->parts) {
        if (each.region != region_) {
            wants.push_back(std::max(each.wanted, floor()));
        }
    }
    wants.resize(std::max(wants.size(), regions_), floor());
    const std::uint64_t sum = std::accumulate(wants.begin(), wants.end(), std::uint64_t{0});
    if (sum > whole_part) {
        return std::min(wanted, fair_bound(wants));
    }
    const double equal = 1 / static_cast<double>(wants.size());
    const double roots =
        std::transform_reduce(wants.begin(), wants.end(), 0.0, std::plus<>{},
                              [](std::uint32_t want) { return std::sqrt(static_cast<double>(want)); });
    const double by_root = std::sqrt(static_cast<double>(wanted)) / roots;
    const double room = static_cast<double>(whole_part - sum) * (by_root + equal) / 2;
    return wanted + static_cast<std::uint32_t>(room);
}

std::uint32_t region_shares::reachable(std::uint32_t goal) const {
    const std::uint32_t mine = own() == nullptr ? 0 : own()->part;
    return goal <= mine ? goal : mine + std::min(goal - mine, unassigned(*record_));
}

void region_shares::propose(std::uint32_t wanted, time_point now) {
    if (!claimed_) {
        const bool known = own() != nullptr;
        const auto equal = static_cast<std::uint32_t>(whole_part / regions_);
        prepare(known ? own()->part : reachable(equal), known ? own()->wanted : floor());
        return;
    }
    if (now < next_write_) {
        return;
    }
    const region_part mine = *own();
    const std::uint32_t part = reachable(target(wanted));
    const auto differs = [this](std::uint32_t a, std::uint32_t b) {
        return std::max(a, b) - std::min(a, b) >= options_.hysteresis;
    };
    const bool short_of_want = mine.part < wanted && part > mine.part;
    if (short_of_want || differs(part, mine.part) || differs(wanted, mine.wanted)) {
        prepare(part, wanted);
    }
}

void region_shares::prepare(std::uint32_t part, std::uint32_t wanted) {
    shares_record record = *record_;
    set_line(record, {.region = region_, .part = part, .wanted = wanted, .owner = owner_});
    in_force_ = std::min(in_force_, part);
    ports::swap_request swap{
        .key = shares_key(organisation_), .value = format_shares(record), .expected = revision_, .lease = {}};
    write_ = pending_write{.swap = std::move(swap), .record = std::move(record)};
}

bool region_shares::write_lowers() const {
    return own() != nullptr && find_line(write_->record, region_)->part < own()->part;
}

const region_part* region_shares::own() const {
    return find_line(*record_, region_);
}

shares_call region_shares::start_read() {
    pending_call_ = ++last_call_;
    return read_shares{.call = last_call_, .key = shares_key(organisation_)};
}

shares_call region_shares::start_write() {
    pending_call_ = ++last_call_;
    return write_shares{.call = last_call_, .swap = write_->swap};
}

void region_shares::on_read(std::uint64_t call, const result<ports::versioned_value>& answer,
                            time_point now) {
    if (pending_call_ != call) {
        return;
    }
    pending_call_.reset();
    if (!answer) {
        retry_at_ = now + options_.retry;
        return;
    }
    auto record = parse_shares(answer->value);
    if (!record) {
        retry_at_ = now + options_.retry;
        return;
    }
    must_read_ = false;
    // At the expected revision an earlier attempt of the write may still arrive, so the write stays as it is.
    const bool unresolved = write_ && answer->revision == write_->swap.expected;
    if (!unresolved) {
        write_.reset();
        adopt(*std::move(record), answer->revision);
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
        retry_at_ = conflict ? now : now + options_.retry;
        return;
    }
    shares_record record = std::move(write_->record);
    write_.reset();
    adopt(std::move(record), *answer);
}

void region_shares::adopt(shares_record record, std::uint64_t revision) {
    record_ = std::move(record);
    revision_ = revision;
    const region_part* mine = own();
    const std::uint64_t owner = mine == nullptr ? 0 : mine->owner;
    fenced_ = owner > owner_;
    claimed_ = owner == owner_;
    in_force_ = claimed_ ? mine->part : 0;
}

bucket_limits region_shares::limits(bucket_limits whole) const {
    const double part = static_cast<double>(in_force_) / whole_part;
    return {.rate = whole.rate * part, .burst = whole.burst * part};
}

} // namespace samphiretray::rate

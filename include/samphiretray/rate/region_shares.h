#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/ports/key_value.h"
#include "samphiretray/rate/grant_issuer.h"
#include "samphiretray/rate/token_bucket.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphiretray::rate {

/// Parts are counted in millionths of the organisation's rate and burst.
inline constexpr std::uint32_t whole_part = 1'000'000;

/// One region's line of the record `shares/<organisation>`.
struct region_part {
    std::string region;
    std::uint32_t part = 0;
    /// Part that the region would use; larger than `part` if it lacks some.
    std::uint32_t wanted = 0;
    /// Fencing number of the duty holder that wrote the line.
    std::uint64_t owner = 0;
};

struct shares_record {
    std::vector<region_part> parts;
};

[[nodiscard]] std::string shares_key(std::string_view organisation);
/// Text form: a first line "shares 1", then one line "<region> <part> <wanted> <owner>" for each region.
[[nodiscard]] std::string format_shares(const shares_record& record);
/// Fails with `errc::protocol_error` (step `parse`); parts that sum to more than the whole are an error.
/// An empty text is an empty record.
[[nodiscard]] result<shares_record> parse_shares(std::string_view text);
/// Part of the whole that is assigned to no region.
[[nodiscard]] std::uint32_t unassigned(const shares_record& record);

struct region_shares_options {
    /// Least time between two writes of this object, except for the first one.
    duration write_interval = 5s;
    duration read_interval = 2s;
    /// Wait after a failed call.
    duration retry = 1s;
    /// Least part of a region, divided by the number of regions.
    std::uint32_t floor = whole_part / 20;
    /// Least change of the own part that is worth a write. A region below its want takes any amount.
    std::uint32_t hysteresis = whole_part / 20;
};

struct read_shares {
    std::uint64_t call = 0;
    std::string key;
};
struct write_shares {
    std::uint64_t call = 0;
    ports::swap_request swap;
};
using shares_call = std::variant<read_shares, write_shares>;

/// One region's part of one organisation's rate and burst, for one term of the region's duty.
///
/// The part in force never exceeds any part that the record holds or can still come to hold: a decrease is in
/// force before it is written, an increase only after its write is known to have succeeded, and the first
/// write of a term makes any delayed write of an earlier term fail. No step depends on time for safety.
class region_shares {
public:
    /// `owner` is the duty's fencing number, `regions` the number of regions in the settings.
    region_shares(std::string organisation, std::string region, std::uint64_t owner, std::size_t regions,
                  region_shares_options options = {});

    /// The next call to the service, if one is due. `whole` are the organisation's limits over the whole
    /// fleet; `lowered` tells that `part()` is in force locally (`grant_issuer::within_limits`). One call is
    /// pending at a time.
    [[nodiscard]] std::optional<shares_call> next_call(const region_demand& demand, bucket_limits whole,
                                                       bool lowered, time_point now);
    /// Results; those of other than the pending call are dropped.
    void on_read(std::uint64_t call, const result<ports::versioned_value>& answer, time_point now);
    void on_written(std::uint64_t call, const result<std::uint64_t>& answer, time_point now);

    /// Part in force; 0 until the first write of the term succeeded.
    [[nodiscard]] std::uint32_t part() const noexcept { return in_force_; }
    /// The part's rate and burst. Apply after every call to this object.
    [[nodiscard]] bucket_limits limits(bucket_limits whole) const;
    /// True if the record names a newer owner of this region; this object then makes no more calls.
    [[nodiscard]] bool fenced() const noexcept { return fenced_; }

private:
    struct pending_write {
        ports::swap_request swap;
        shares_record record;
    };

    [[nodiscard]] const region_part* own() const;
    [[nodiscard]] std::uint32_t floor() const;
    [[nodiscard]] std::uint32_t wanted(const region_demand& demand, bucket_limits whole, time_point now);
    [[nodiscard]] std::uint32_t target(std::uint32_t wanted) const;
    [[nodiscard]] std::uint32_t reachable(std::uint32_t goal) const;
    void propose(std::uint32_t wanted, time_point now);
    void prepare(std::uint32_t part, std::uint32_t wanted);
    [[nodiscard]] bool write_lowers() const;
    [[nodiscard]] shares_call start_read();
    [[nodiscard]] shares_call start_write();
    void adopt(shares_record record, std::uint64_t revision);

    std::string organisation_;
    std::string region_;
    std::uint64_t owner_;
    std::size_t regions_;
    region_shares_options options_;
    std::uint32_t in_force_ = 0;
    bool claimed_ = false;
    bool fenced_ = false;
    bool must_read_ = true;
    std::optional<shares_record> record_;
    std::uint64_t revision_ = 0;
    std::optional<pending_write> write_;
    std::optional<std::uint64_t> pending_call_;
    std::uint64_t last_call_ = 0;
    double smoothed_ = 0;
    time_point smoothed_at_;
    time_point next_write_;
    time_point next_read_;
    time_point retry_at_;
};

} // namespace samphiretray::rate

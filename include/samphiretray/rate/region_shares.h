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

/// The whole of an organisation's rate and burst. Shares are counted in millionths of it.
inline constexpr std::uint32_t full_share = 1'000'000;

/// One region's line of the record `shares/<organisation>`.
struct share_line {
    std::string region;
    std::uint32_t share = 0;
    /// Share that the region would use; larger than `share` if that is too small.
    std::uint32_t wanted = 0;
    /// Fencing number of the duty holder that wrote the line.
    std::uint64_t owner = 0;
};

struct shares_record {
    std::vector<share_line> lines;
};

[[nodiscard]] std::string shares_key(std::string_view organisation);
/// Text form: a first line "shares 1", then one line "<region> <part> <wanted> <owner>" for each region.
[[nodiscard]] std::string format_shares(const shares_record& record);
/// Fails with `errc::protocol_error` (step `parse`), also if the shares sum to more than `full_share`.
/// An empty text is an empty record.
[[nodiscard]] result<shares_record> parse_shares(std::string_view text);
/// Share that is assigned to no region.
[[nodiscard]] std::uint32_t unassigned(const shares_record& record);

struct region_shares_options {
    /// Minimum time between two writes of this object, except for the first one.
    duration write_interval = 5s;
    duration read_interval = 2s;
    /// Delay after a failed call.
    duration retry_interval = 1s;
    /// Minimum share of all regions together; each region gets an equal fraction of it.
    std::uint32_t min_share_sum = full_share / 20;
    /// Smallest change of the own share that causes a write. A region with less than it wants takes any
    /// amount.
    std::uint32_t hysteresis = full_share / 20;
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

/// Maintains one region's share of one organisation's rate and burst, for one term of the region's duty.
///
/// The share in force never exceeds any share that the record holds or can still come to hold: a decrease is
/// in force before it is written, an increase only after its write is known to have succeeded, and the first
/// write of a term makes any delayed write of an earlier term fail. Safety does not depend on time.
class region_shares {
public:
    /// `owner` is the duty's fencing number, `regions` the number of regions in the settings.
    region_shares(std::string organisation, std::string region, std::uint64_t owner, std::size_t regions,
                  region_shares_options options = {});

    /// The next call to the key-value service, if one is due. `whole` are the organisation's limits for the
    /// whole fleet. `lowered` is true once the issuer complies with the limits of `share()`
    /// (`grant_issuer::within_limits`). One call is pending at a time.
    [[nodiscard]] std::optional<shares_call> next_call(const region_demand& demand, bucket_limits whole,
                                                       bool lowered, time_point now);
    /// Results of calls. Those of any call but the pending one are dropped.
    void on_read(std::uint64_t call, const result<ports::versioned_value>& answer, time_point now);
    void on_written(std::uint64_t call, const result<std::uint64_t>& answer, time_point now);

    /// Share in force; 0 until the first write of the term has succeeded.
    [[nodiscard]] std::uint32_t share() const noexcept { return share_in_force_; }
    /// Rate and burst of the share in force. Apply them after every call to this object.
    [[nodiscard]] bucket_limits limits(bucket_limits whole) const;
    /// True if the record names a newer owner of this region; this object then makes no more calls.
    [[nodiscard]] bool fenced() const noexcept { return fenced_; }

private:
    struct pending_write {
        ports::swap_request swap;
        shares_record record;
    };

    [[nodiscard]] const share_line* own_line() const;
    [[nodiscard]] std::uint32_t min_share() const;
    [[nodiscard]] std::uint32_t update_wanted(const region_demand& demand, bucket_limits whole,
                                              time_point now);
    [[nodiscard]] std::uint32_t target(std::uint32_t wanted) const;
    [[nodiscard]] std::uint32_t attainable(std::uint32_t goal) const;
    void plan_write(std::uint32_t wanted, time_point now);
    void set_pending_write(std::uint32_t share, std::uint32_t wanted);
    [[nodiscard]] bool write_lowers_share() const;
    [[nodiscard]] shares_call start_read();
    [[nodiscard]] shares_call start_write();
    void apply_record(shares_record record, std::uint64_t revision);

    std::string organisation_;
    std::string region_;
    std::uint64_t owner_;
    std::size_t regions_;
    region_shares_options options_;
    std::uint32_t share_in_force_ = 0;
    bool claimed_ = false;
    bool fenced_ = false;
    bool must_read_ = true;
    std::optional<shares_record> record_;
    std::uint64_t revision_ = 0;
    std::optional<pending_write> pending_write_;
    std::optional<std::uint64_t> pending_call_;
    std::uint64_t last_call_ = 0;
    double smoothed_demand_ = 0;
    time_point smoothed_demand_at_;
    time_point next_write_;
    time_point next_read_;
    time_point retry_at_;
};

} // namespace samphiretray::rate

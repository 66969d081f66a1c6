#pragma once

#include <chrono>
#include <cstdint>

namespace samphiretray {

/// Microseconds; the resolution of every timer and timeout.
using duration = std::chrono::microseconds;

/// Tag of the monotonic clock that the event loop passes to the decision modules. It counts time in which
/// the process or the VM is paused.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// Reads CLOCK_BOOTTIME. Decision modules take the time as an argument instead of calling this.
    [[nodiscard]] static time_point now() noexcept;
};

using time_point = monotonic_clock::time_point;

using namespace std::chrono_literals;

/// Whole milliseconds in `value`, rounded towards zero.
[[nodiscard]] constexpr std::int64_t milliseconds_in(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// `value` times `factor`, rounded towards zero.
[[nodiscard]] constexpr duration scaled(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

} // namespace samphiretray

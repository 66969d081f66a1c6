#pragma once

#include <chrono>
#include <cstdint>

namespace samphiretray {

/// Microseconds, the resolution of all timers and timeouts.
using duration = std::chrono::microseconds;

/// The monotonic clock of all timers and timeouts. It also advances while the process or the VM is suspended.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;

    /// Reads CLOCK_BOOTTIME. Only the event loop and other I/O code call this; the control logic takes the
    /// time as an argument.
    [[nodiscard]] static time_point now() noexcept;
};

using time_point = monotonic_clock::time_point;

using namespace std::chrono_literals;

/// Converts to whole milliseconds, rounded towards zero.
[[nodiscard]] constexpr std::int64_t milliseconds_in(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

/// Multiplies `value` by `factor` and rounds towards zero to microseconds.
[[nodiscard]] constexpr duration scaled(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

} // namespace samphiretray

#include "samphiretray/base/time.h"

#include <ctime>

namespace samphiretray {

monotonic_clock::time_point monotonic_clock::now() noexcept {
    timespec reading{};
    clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point{std::chrono::seconds{reading.tv_sec} +
                      std::chrono::duration_cast<duration>(std::chrono::nanoseconds{reading.tv_nsec})};
}

} // namespace samphiretray

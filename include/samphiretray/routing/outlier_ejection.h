#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphiretray::routing {

struct ejection_settings {
    /// Consecutive failures that eject an endpoint.
    std::uint32_t consecutive_failures = 5;
    /// Fraction of failed attempts within one window that ejects an endpoint...
    double failure_rate = 0.5;
    /// ...if the window has at least this many attempts.
    std::uint32_t minimum_attempts = 20;
    duration window = 10s;
    /// Duration of the first ejection; it doubles with each further one, up to the maximum below.
    duration base_ejection_time = 5s;
    duration max_ejection_time = 5min;
    /// After this time without an ejection, the next one is as short as the first.
    duration reset_time = 10min;
    /// Fraction of a pool's endpoints that may be ejected at the same time.
    double max_ejected_fraction = 0.5;
};

/// Ejects failing endpoints for a limited time. A failure is a connection failure, a timeout or a 5xx status
/// of the endpoint, not a refusal because of load.
class outlier_ejection {
public:
    explicit outlier_ejection(ejection_settings settings);

    /// Replaces the endpoints of a pool. The records of endpoints that remain are kept.
    void replace_endpoints(std::string_view pool, const std::vector<std::string>& live);

    /// False while an endpoint is ejected, and afterwards while its probe request runs. Unknown endpoints are
    /// usable.
    [[nodiscard]] bool usable(std::string_view endpoint, time_point now) const;

    /// An attempt was sent. The first one after an ejection is the probe request. Every call is followed by
    /// exactly one of `succeeded`, `failed` and `abandoned`.
    void started(std::string_view endpoint, time_point now);
    void succeeded(std::string_view endpoint, time_point now);
    void failed(std::string_view endpoint, time_point now);
    /// The attempt ended without showing whether the endpoint works, such as after a cancellation.
    void abandoned(std::string_view endpoint, time_point now);

    /// Number of endpoints of a pool that are ejected or probed.
    [[nodiscard]] std::size_t ejected_count(std::string_view pool) const;

private:
    enum class ejection_phase { in_use, ejected, probing };

    struct record {
        std::string pool;
        ejection_phase phase = ejection_phase::in_use;
        std::uint32_t consecutive_failures = 0;
        /// Attempts and failures since `window_start`.
        std::uint32_t attempts = 0;
        std::uint32_t failures = 0;
        time_point window_start;
        time_point ejected_until;
        /// Ejections so far, which set the duration of the next one.
        std::uint32_t ejections = 0;
    };

    void count_attempt(record& target, bool failure, time_point now) const;
    [[nodiscard]] bool is_outlier(const record& target) const;
    void eject(record& target, time_point now);
    void readmit(record& target);
    [[nodiscard]] bool may_eject(std::string_view pool) const;

    ejection_settings settings_;
    std::unordered_map<std::string, record> records_;
    struct pool_counts {
        std::size_t endpoints = 0;
        std::size_t ejected = 0;
    };
    std::unordered_map<std::string, pool_counts> pools_;
};

} // namespace samphiretray::routing

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
    std::uint32_t consecutive_failures = 5;
    /// Failures as a part of the attempts of one window that eject an endpoint...
    double failure_rate = 0.5;
    /// ...if the window has at least this many attempts.
    std::uint32_t minimum_attempts = 20;
    duration window = 10s;
    /// Time of the first ejection; doubles with each further one.
    duration base_time = 5s;
    duration max_time = 5min;
    /// An endpoint without an ejection for this time starts again at `base_time`.
    duration forgiveness = 10min;
    /// Part of a pool's endpoints that may be ejected at once.
    double max_ejected = 0.5;
};

/// Takes failing endpoints out of use for a time. A failure is a connection failure, a timeout or a 5xx of
/// the endpoint, not a refusal because of load.
class outlier_ejection {
public:
    explicit outlier_ejection(ejection_settings settings);

    /// Replaces the endpoints of a pool. What is known about endpoints that stay is kept.
    void replace_endpoints(std::string_view pool, const std::vector<std::string>& live);

    /// False while an endpoint is ejected, and after that while its trial request runs. Endpoints that are
    /// not known are usable.
    [[nodiscard]] bool usable(std::string_view endpoint, time_point now) const;

    /// An attempt was sent. After an ejection the first one is the trial request. Every call is followed by
    /// one of `succeeded`, `failed` and `abandoned`.
    void started(std::string_view endpoint, time_point now);
    void succeeded(std::string_view endpoint, time_point now);
    void failed(std::string_view endpoint, time_point now);
    /// The attempt ended without evidence, as after a cancel.
    void abandoned(std::string_view endpoint, time_point now);

    [[nodiscard]] std::size_t ejected(std::string_view pool) const;

private:
    enum class phase { in_use, ejected, trial };

    struct record {
        std::string pool;
        phase now = phase::in_use;
        std::uint32_t consecutive = 0;
        std::uint32_t attempts = 0;
        std::uint32_t failures = 0;
        time_point window_start;
        time_point ejected_until;
        std::uint32_t ejections = 0;
    };

    void count(record& target, bool failure, time_point now) const;
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

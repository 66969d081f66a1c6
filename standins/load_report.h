#pragma once

#include "samphiretray/base/time.h"

#include "standins/answer_judge.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::standins {

/// The result of one request.
struct finished_request {
    std::string organisation;
    check_result result;
    /// Measured from the planned send time, as `total` is; empty if no data arrived.
    std::optional<duration> first_byte;
    duration total{0};
};

/// Counts and latencies of a run, by organisation.
class load_report {
public:
    void add(const finished_request& request);
    /// Counts a connection that failed before anything was sent, after which another target may be tried.
    void add_failed_connection() { ++failed_connections_; }
    /// Counts an order that was sent again with the same idempotency key.
    void add_repeat() { ++repeats_; }
    void add_skipped() { ++skipped_; }
    /// Records a violation that is found only after the run.
    void add_violation(const std::string& organisation, const std::string& reason);

    [[nodiscard]] std::uint64_t answered() const;
    /// Number of requests with the outcome `not_run`, `unknown` or `broken`.
    [[nodiscard]] std::uint64_t refused() const;
    [[nodiscard]] std::uint64_t wrong() const;

    /// A table for human readers: a line for each organisation, and one for each kind of refusal and
    /// violation.
    [[nodiscard]] std::string table() const;
    [[nodiscard]] nlohmann::json to_json() const;

private:
    struct organisation_report {
        std::map<outcome, std::uint64_t> outcomes;
        /// "<outcome> <detail>" → count.
        std::map<std::string, std::uint64_t> details;
        std::vector<duration> first_bytes;
        std::vector<duration> totals;
    };

    [[nodiscard]] std::uint64_t sum(outcome kind) const;

    std::map<std::string, organisation_report> organisations_;
    std::uint64_t failed_connections_ = 0;
    std::uint64_t repeats_ = 0;
    std::uint64_t skipped_ = 0;
};

/// The nearest-rank percentile: the smallest element that at least `share` of the elements do not exceed.
/// Zero if there are no elements.
[[nodiscard]] duration percentile(std::vector<duration> values, double share);

} // namespace samphiretray::standins

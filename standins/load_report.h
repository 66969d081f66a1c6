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

/// What became of one request.
struct finished_request {
    std::string organisation;
    verdict result;
    /// From the planned sending; set for answers.
    std::optional<duration> first_byte;
    duration total{0};
};

/// Counts and times of a run, by organisation.
class load_report {
public:
    void add(const finished_request& request);
    /// A connection that failed before anything was sent; the request went to another target.
    void add_failed_connection() { ++failed_connections_; }
    /// A repeated send of an order with the same idempotency key.
    void add_repeat() { ++repeats_; }
    void add_skipped() { ++skipped_; }
    /// A violation that shows only after the run.
    void add_violation(const std::string& organisation, const std::string& reason);

    [[nodiscard]] std::uint64_t answered() const;
    /// Everything that was not answered, except wrong answers.
    [[nodiscard]] std::uint64_t refused() const;
    [[nodiscard]] std::uint64_t wrong() const;

    /// A table for people: a line for each organisation and one for each refusal and violation.
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

/// The smallest element that at least `share` of the elements do not exceed; zero if there are none.
[[nodiscard]] duration percentile(std::vector<duration> values, double share);

} // namespace samphiretray::standins

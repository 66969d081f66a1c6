#include "standins/load_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace samphiretray::standins {

namespace {

constexpr std::array shares = {0.5, 0.95, 0.99};

std::uint64_t count_in(const std::map<outcome, std::uint64_t>& outcomes, outcome kind) {
    const auto found = outcomes.find(kind);
    return found == outcomes.end() ? 0 : found->second;
}

std::string padded(const std::string& text, std::size_t width, bool left = false) {
    const std::string space(width > text.size() ? width - text.size() : 0, ' ');
    return left ? text + space : space + text;
}

std::string percentile_cells(const std::vector<duration>& values) {
    std::string cells;
    for (const double share : shares) {
        cells += padded(std::to_string(milliseconds_in(percentile(values, share))), 7);
    }
    return cells;
}

nlohmann::json percentiles_json(const std::vector<duration>& values) {
    return {{"p50_ms", milliseconds_in(percentile(values, shares[0]))},
            {"p95_ms", milliseconds_in(percentile(values, shares[1]))},
            {"p99_ms", milliseconds_in(percentile(values, shares[2]))}};
}

constexpr std::size_t name_width = 22;
constexpr std::array reported_outcomes = {outcome::answered, outcome::not_run, outcome::unknown,
                                          outcome::broken, outcome::wrong};

std::string header_lines() {
    std::string line = padded("organisation", name_width, true);
    for (const outcome kind : reported_outcomes) {
        line += padded(std::string{name_of(kind)}, 9);
    }
    return line + "  |  first byte ms 50/95/99 |  total ms 50/95/99\n";
}

} // namespace

duration percentile(std::vector<duration> values, double share) {
    if (values.empty()) {
        return duration{0};
    }
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const std::size_t index = std::max<std::size_t>(1, static_cast<std::size_t>(rank)) - 1;
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

void load_report::add(const finished_request& request) {
    organisation_report& report = organisations_[request.organisation];
    ++report.outcomes[request.result.kind];
    if (request.result.kind != outcome::answered) {
        ++report.details[std::string{name_of(request.result.kind)} + " " + request.result.detail];
        return;
    }
    report.first_bytes.push_back(request.first_byte.value_or(request.total));
    report.totals.push_back(request.total);
}

void load_report::add_violation(const std::string& organisation, const std::string& reason) {
    organisation_report& report = organisations_[organisation];
    ++report.outcomes[outcome::wrong];
    ++report.details["wrong " + reason];
}

std::uint64_t load_report::answered() const {
    return sum(outcome::answered);
}

std::uint64_t load_report::refused() const {
    return sum(outcome::not_run) + sum(outcome::unknown) + sum(outcome::broken);
}

std::uint64_t load_report::wrong() const {
    return sum(outcome::wrong);
}

std::string load_report::table() const {
    std::string lines = header_lines();
    for (const auto& [name, report] : organisations_) {
        lines += padded(name, name_width, true);
        for (const outcome kind : reported_outcomes) {
            lines += padded(std::to_string(count_in(report.outcomes, kind)), 9);
        }
        lines +=
            "  |  " + percentile_cells(report.first_bytes) + "   |" + percentile_cells(report.totals) + "\n";
        for (const auto& [detail, count] : report.details) {
            lines += "    " + detail + ": " + std::to_string(count) + "\n";
        }
    }
    return lines + "failed connections: " + std::to_string(failed_connections_) +
           ", repeated sends: " + std::to_string(repeats_) + ", skipped: " + std::to_string(skipped_) + "\n";
}

nlohmann::json load_report::to_json() const {
    nlohmann::json organisations = nlohmann::json::object();
    for (const auto& [name, report] : organisations_) {
        nlohmann::json entry = {{"details", report.details},
                                {"first_byte", percentiles_json(report.first_bytes)},
                                {"total", percentiles_json(report.totals)}};
        for (const outcome kind : reported_outcomes) {
            entry[std::string{name_of(kind)}] = count_in(report.outcomes, kind);
        }
        organisations[name] = std::move(entry);
    }
    return {{"answered", answered()},
            {"refused", refused()},
            {"wrong", wrong()},
            {"failed_connections", failed_connections_},
            {"repeated_sends", repeats_},
            {"skipped", skipped_},
            {"organisations", organisations}};
}

std::uint64_t load_report::sum(outcome kind) const {
    std::uint64_t total = 0;
    for (const auto& [name, report] : organisations_) {
        total += count_in(report.outcomes, kind);
    }
    return total;
}

} // namespace samphiretray::standins

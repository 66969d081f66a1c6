#pragma once

#include "samphiretray/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Deployments and seeded traces of requests.
namespace samphiretray::measure {

struct deployment {
    std::string name;
    std::vector<std::string> regions;
    std::uint32_t engines_per_region = 3;
    std::uint32_t slots = 8;
    /// Requests that an engine batches at once.
    std::uint32_t batch = 8;
    std::uint32_t adapters = 3000;
    /// Loads a second of the weight store.
    double loads_per_second = 2.0;
    /// Requests a second in steady state.
    double request_rate = 6.0;
};

enum class scenario { steady, rush, greedy, priority, slow_store, restart, cut_off };

inline constexpr std::array scenarios{
    scenario::steady,     scenario::rush,    scenario::greedy,  scenario::priority,
    scenario::slow_store, scenario::restart, scenario::cut_off,
};

[[nodiscard]] std::string_view name_of(scenario of);
[[nodiscard]] const std::vector<deployment>& deployments();

/// Organisations and their parts of the traffic; the last one is the rare priority customer.
inline constexpr std::array<double, 6> organisation_parts{0.40, 0.30, 0.15, 0.10, 0.05, 0.0};
inline constexpr std::uint32_t priority_organisation = 5;
/// The organisation that exceeds its rate.
inline constexpr std::uint32_t greedy_organisation = 1;
inline constexpr double greedy_factor = 5.0;

/// Warm-up that is not counted, then the counted time; faults and changes take the middle third of it.
inline constexpr duration warm_up = 600s;
inline constexpr duration counted = 300s;
inline constexpr duration change_begins = warm_up + counted / 3;
inline constexpr duration change_ends = warm_up + counted * 2 / 3;
inline constexpr duration request_timeout = 60s;

struct trace_request {
    /// Since the start of the run.
    duration arrival{};
    std::uint32_t organisation = 0;
    std::uint32_t adapter = 0;
    /// Region of the entry that the caller reaches.
    std::uint32_t region = 0;
    std::uint32_t prompt = 0;
    std::uint32_t output = 0;
    /// Upper bound of the tokens, as the caller states it.
    std::uint32_t bound = 0;
    std::uint32_t bytes = 0;
    bool priority = false;
    /// True if the organisation is within its rate and burst.
    bool within_rate = true;
};

/// Requests in order of arrival. The same arguments give the same trace.
[[nodiscard]] std::vector<trace_request> make_trace(const deployment& of, scenario kind, std::uint64_t seed);

} // namespace samphiretray::measure

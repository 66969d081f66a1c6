#pragma once

#include "samphiretray/base/time.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Simulated deployments and seeded request traces.
namespace samphiretray::measure {

struct deployment {
    std::string name;
    std::vector<std::string> regions;
    std::uint32_t engines_per_region = 3;
    std::uint32_t slots = 8;
    /// Maximum number of requests in an engine's batch.
    std::uint32_t batch = 8;
    std::uint32_t adapters = 3000;
    /// Adapter loads per second that the weight store allows the whole deployment.
    double loads_per_second = 2.0;
    /// Requests per second in steady state.
    double request_rate = 6.0;
};

/// `rush`: traffic rises and moves to other adapters. `greedy`: one organisation exceeds its rate.
/// `priority`: a priority customer requests cold adapters while the fleet is overloaded. `slow_store`: loads
/// are slow and some fail. `restart`: two engines restart. `cut_off`: one region loses the network connection
/// to the others.
enum class scenario { steady, rush, greedy, priority, slow_store, restart, cut_off };

inline constexpr std::array scenarios{
    scenario::steady,     scenario::rush,    scenario::greedy,  scenario::priority,
    scenario::slow_store, scenario::restart, scenario::cut_off,
};

[[nodiscard]] std::string_view name_of(scenario of);
[[nodiscard]] const std::vector<deployment>& deployments();

/// Each organisation's share of the traffic. The last one is the priority customer, whose few requests are
/// added in the `priority` scenario only.
inline constexpr std::array<double, 6> traffic_shares{0.40, 0.30, 0.15, 0.10, 0.05, 0.0};
inline constexpr std::uint32_t priority_organisation = 5;
/// The organisation that exceeds its rate in the `greedy` scenario.
inline constexpr std::uint32_t greedy_organisation = 1;
inline constexpr double greedy_factor = 5.0;

/// Requests that arrive during the warm-up are not measured. Faults and traffic changes take the middle third
/// of the measured time.
inline constexpr duration warm_up = 600s;
inline constexpr duration measured_time = 300s;
inline constexpr duration change_begins = warm_up + measured_time / 3;
inline constexpr duration change_ends = warm_up + measured_time * 2 / 3;
inline constexpr duration request_timeout = 60s;

struct trace_request {
    /// Time since the start of the run.
    duration arrival{};
    std::uint32_t organisation = 0;
    std::uint32_t adapter = 0;
    /// Region of the entry that receives the request.
    std::uint32_t region = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
    /// Upper bound of prompt and output tokens together that the caller states.
    std::uint32_t max_tokens = 0;
    std::uint32_t bytes = 0;
    bool priority = false;
    /// True if the organisation's token bucket covers the request.
    bool within_rate = true;
};

/// Requests in order of arrival. The same arguments give the same trace.
[[nodiscard]] std::vector<trace_request> make_trace(const deployment& of, scenario kind, std::uint64_t seed);

} // namespace samphiretray::measure

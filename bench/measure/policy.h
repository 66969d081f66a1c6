#pragma once

#include "samphiretray/agent/fair_queue.h"
#include "samphiretray/agent/slot_table.h"
#include "samphiretray/routing/placement.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::measure {

/// The policies that are compared: `ours` uses this project's decision modules as they are. The others are
/// baselines that evict the least recently used adapter, serve requests in order of arrival and ignore
/// priority.
enum class policy { ours, random, least_outstanding, hashing };

inline constexpr std::array policies{policy::ours, policy::random, policy::least_outstanding,
                                     policy::hashing};

[[nodiscard]] std::string_view name_of(policy of);

[[nodiscard]] agent::slot_settings slot_settings_of(policy of, std::size_t slots);
[[nodiscard]] agent::queue_settings queue_settings_of(policy of);

/// Selects the endpoint of each attempt at one entry.
class endpoint_selector {
public:
    endpoint_selector(policy kind, const std::vector<routing::endpoint>& fleet, routing::location here,
                      std::uint64_t seed);

    using usable_predicate = routing::placement::usable_predicate;

    [[nodiscard]] std::optional<std::string> choose(const routing::placement_request& request, time_point now,
                                                    const usable_predicate& usable);
    void sent(const std::string& endpoint);
    void finished(const std::string& endpoint, std::optional<duration> occupied);
    [[nodiscard]] routing::placement& placement() { return placement_; }

private:
    [[nodiscard]] double rank(std::size_t endpoint, const routing::placement_request& request);

    policy kind_;
    routing::placement placement_;
    std::vector<std::string> names_;
    std::vector<std::uint32_t> outstanding_;
    std::mt19937_64 random_;
};

} // namespace samphiretray::measure

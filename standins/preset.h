#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::standins {

struct preset_organisation {
    std::string name;
    std::uint64_t rate = 0;
    std::uint64_t burst = 0;
    bool priority = false;
    /// Fraction of the preset's adapters that belong to the organisation.
    double share = 0;
};

struct preset_service {
    std::string name;
    bool open = false;
    bool repeatable = true;
    /// Number of servers in the whole deployment.
    std::uint32_t servers = 0;
};

/// Parameters of an example deployment on loopback addresses.
struct preset {
    std::string name;
    std::vector<std::string> regions;
    std::vector<preset_organisation> organisations;
    std::string engine_service;
    std::string base_model;
    std::vector<preset_service> plain_services;
    std::uint32_t engines = 0;
    std::uint32_t entries_per_region = 2;
    std::uint32_t adapters = 3000;
    std::uint32_t slots = 16;
    double loads_per_second = 2;
    std::uint16_t first_port = 0;
    /// Writes shorter drain times into the settings, for demonstrations.
    bool short_drain = false;
};

/// The preset with the given name, bagwis or cuenca; nothing for other names.
[[nodiscard]] std::optional<preset> find_preset(std::string_view name);

/// Reduces the numbers of VMs and adapters but keeps regions and services, for demonstrations on one machine.
[[nodiscard]] preset reduce(preset full);

/// The contents of an example's files by their path in its folder: `rules.json`, `inventory.json`,
/// `vms.json`, `settings/<vm>.json`, and `standins.txt` with the arguments of one stand-in on each line.
[[nodiscard]] std::map<std::string, std::string> make_example(const preset& wanted, std::uint64_t seed);

} // namespace samphiretray::standins

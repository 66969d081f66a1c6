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
    /// Share of the adapters.
    double share = 0;
};

struct preset_service {
    std::string name;
    bool open = false;
    bool repeatable = true;
    /// Plain servers in the whole deployment.
    std::uint32_t servers = 0;
};

/// An example deployment on loopback addresses.
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
    /// Shorter notice times, for demonstrations.
    bool quick = false;
};

/// The preset called `name`: bagwis or cuenca.
[[nodiscard]] std::optional<preset> find_preset(std::string_view name);

/// Fewer VMs and adapters with the same regions and services, for demonstrations on one machine.
[[nodiscard]] preset reduce(preset full);

/// The files of an example by their path below its folder: `rules.json`, `inventory.json`, `vms.json`,
/// `settings/<vm>.json`, and `standins.txt` with the arguments of one stand-in on each line.
[[nodiscard]] std::map<std::string, std::string> make_example(const preset& wanted, std::uint64_t seed);

} // namespace samphiretray::standins

#include "standins/preset.h"

#include "standins/random_source.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace samphiretray::standins {

namespace {

using nlohmann::ordered_json;

// Port offsets from the first port of a deployment.
constexpr std::uint32_t vm_list_port = 1;
constexpr std::uint32_t weight_store_port = 2;
constexpr std::uint32_t key_value_ports = 10;
constexpr std::uint32_t peer_ports = 100;
constexpr std::uint32_t admin_ports = 200;
constexpr std::uint32_t caller_ports = 300;
constexpr std::uint32_t endpoint_ports = 400;

/// One adapter in this many, on average, has a second version that is not the current one.
constexpr std::uint64_t two_version_ratio = 10;

/// The VM of an entry, or of an agent and its endpoint.
struct planned_vm {
    std::string name;
    std::string region;
    std::string data_centre;
    std::uint32_t index = 0;
    bool is_entry = false;
    /// The fields from here on are set for agents only.
    std::string endpoint{};
    std::string service{};
    bool is_engine = false;
};

std::string address(const preset& wanted, std::uint32_t offset) {
    return "127.0.0.1:" + std::to_string(wanted.first_port + offset);
}

std::string key_value_address(const preset& wanted, const std::string& region) {
    const auto found = std::ranges::find(wanted.regions, region);
    return address(wanted, key_value_ports + static_cast<std::uint32_t>(found - wanted.regions.begin()));
}

class deployment {
public:
    explicit deployment(const preset& wanted) : wanted_(&wanted) {
        for (std::uint32_t number = 0; number < entries(); ++number) {
            add("entry-" + std::to_string(number + 1), number).is_entry = true;
        }
        for (std::uint32_t number = 0; number < wanted.engines; ++number) {
            add_agent("engine-" + std::to_string(number + 1), wanted.engine_service, number).is_engine = true;
        }
        for (const preset_service& service : wanted.plain_services) {
            for (std::uint32_t number = 0; number < service.servers; ++number) {
                add_agent(service.name + "-" + std::to_string(number + 1), service.name, number);
            }
        }
    }

    [[nodiscard]] const std::vector<planned_vm>& vms() const noexcept { return vms_; }

private:
    [[nodiscard]] std::uint32_t entries() const {
        return wanted_->entries_per_region * static_cast<std::uint32_t>(wanted_->regions.size());
    }

    /// Distributes VMs in turn over the regions and, within a region, over its two data centres.
    planned_vm& add(const std::string& name, std::uint32_t number) {
        const std::string& region = wanted_->regions[number % wanted_->regions.size()];
        const bool second = number / wanted_->regions.size() % 2 == 1;
        const auto index = static_cast<std::uint32_t>(vms_.size());
        vms_.push_back({name, region, region + (second ? "-2" : "-1"), index});
        return vms_.back();
    }

    planned_vm& add_agent(const std::string& endpoint, const std::string& service, std::uint32_t number) {
        planned_vm& vm = add("vm-" + endpoint, number);
        vm.endpoint = endpoint;
        vm.service = service;
        return vm;
    }

    const preset* wanted_;
    std::vector<planned_vm> vms_;
};

std::string dump(const ordered_json& document) {
    return document.dump(2) + "\n";
}

std::string make_rules(const preset& wanted) {
    ordered_json rules = {{"organisations", ordered_json::array()}, {"services", ordered_json::array()}};
    for (const preset_organisation& item : wanted.organisations) {
        rules["organisations"].push_back(
            {{"name", item.name}, {"rate", item.rate}, {"burst", item.burst}, {"priority", item.priority}});
    }
    rules["services"].push_back(
        {{"name", wanted.engine_service}, {"kind", "engine"}, {"base_model", wanted.base_model}});
    for (const preset_service& item : wanted.plain_services) {
        rules["services"].push_back(
            {{"name", item.name}, {"kind", "plain"}, {"open", item.open}, {"repeatable", item.repeatable}});
    }
    rules["endpoints"] = ordered_json::array();
    for (std::uint32_t number = 1; number <= wanted.engines; ++number) {
        // Every third engine ignores fencing numbers, because the platform does not guarantee that engines
        // check them.
        rules["endpoints"].push_back(
            {{"name", "engine-" + std::to_string(number)}, {"checks_fencing", number % 3 != 0}});
    }
    return dump(rules);
}

ordered_json inventory_row(const std::string& adapter, std::uint64_t version, const std::string& organisation,
                           const preset& wanted, bool current) {
    return {{"adapter", adapter},
            {"version", std::to_string(version)},
            {"organisation", organisation},
            {"service", wanted.engine_service},
            {"current", current}};
}

std::string make_inventory(const preset& wanted, std::uint64_t seed) {
    random_source random{seed};
    std::string text = "[\n";
    const auto add_row = [&text](const ordered_json& row) {
        text += (text.size() > 2 ? ",\n" : "") + row.dump();
    };
    for (const preset_organisation& item : wanted.organisations) {
        const auto count = static_cast<std::uint32_t>(std::lround(item.share * wanted.adapters));
        for (std::uint32_t number = 1; number <= std::max(1U, count); ++number) {
            const std::string adapter = item.name + "-" + std::to_string(number);
            const std::uint64_t version = 1 + random.below(5);
            add_row(inventory_row(adapter, version, item.name, wanted, true));
            if (random.below(two_version_ratio) == 0) {
                add_row(inventory_row(adapter, version + 1, item.name, wanted, false));
            }
        }
    }
    return text + "\n]\n";
}

std::string make_vm_list(const preset& wanted, const deployment& planned) {
    ordered_json list = ordered_json::array();
    for (const planned_vm& vm : planned.vms()) {
        ordered_json item = {{"name", vm.name},
                             {"kind", vm.is_entry ? "entry" : "agent"},
                             {"region", vm.region},
                             {"data_centre", vm.data_centre},
                             {"peer_address", address(wanted, peer_ports + vm.index)},
                             {"state", "live"}};
        if (!vm.is_entry) {
            item["endpoint"] = vm.endpoint;
            item["service"] = vm.service;
        }
        if (vm.is_engine) {
            item["base_model"] = wanted.base_model;
            item["slots"] = wanted.slots;
        }
        list.push_back(std::move(item));
    }
    return dump({{"vms", list}});
}

ordered_json common_settings_of(const preset& wanted, const planned_vm& vm) {
    return {{"vm", vm.name},
            {"region", vm.region},
            {"data_centre", vm.data_centre},
            {"peer_listen", address(wanted, peer_ports + vm.index)},
            {"admin_listen", address(wanted, admin_ports + vm.index)},
            {"key_value_service", key_value_address(wanted, vm.region)},
            {"vm_list", address(wanted, vm_list_port)},
            {"cluster_secret", "an example secret, replace it"}};
}

std::string make_settings(const preset& wanted, const planned_vm& vm) {
    ordered_json settings = common_settings_of(wanted, vm);
    if (vm.is_entry) {
        settings["listen"] = address(wanted, caller_ports + vm.index);
        settings["loads_per_second"] = wanted.loads_per_second;
    } else {
        settings["endpoint"] = vm.endpoint;
        settings["service"] = vm.service;
        settings["endpoint_address"] = address(wanted, endpoint_ports + vm.index);
    }
    if (vm.is_engine) {
        settings["base_model"] = wanted.base_model;
    }
    if (wanted.short_drain) {
        settings["drain_notice_ms"] = 1000;
        settings["drain_limit_ms"] = 20'000;
    }
    const std::string what = vm.is_entry ? "Entry" : "Agent beside " + vm.endpoint;
    return "// " + what + " of the example deployment " + wanted.name + ".\n" + dump(settings);
}

std::string engine_line(const preset& wanted, const planned_vm& vm, bool checks_fencing) {
    return "engine --name " + vm.endpoint + " --listen " + address(wanted, endpoint_ports + vm.index) +
           " --base-model " + wanted.base_model + " --slots " + std::to_string(wanted.slots) +
           " --weight-store " + address(wanted, weight_store_port) +
           (checks_fencing ? " --check-fencing" : "") + "\n";
}

std::string make_standins(const preset& wanted, const deployment& planned) {
    std::string listeners;
    for (const std::string& region : wanted.regions) {
        listeners += (listeners.empty() ? "" : ",") + region + "=" + key_value_address(wanted, region);
    }
    std::string lines = "kv --listen " + listeners + " --reads 2000 --writes 400\n";
    lines += "vm-list --listen " + address(wanted, vm_list_port) + " --file vms.json --lag-ms 2000\n";
    lines += "weight-store --listen " + address(wanted, weight_store_port) + " --loads " +
             std::to_string(std::lround(wanted.loads_per_second)) + "\n";
    std::uint32_t engine = 0;
    for (const planned_vm& vm : planned.vms()) {
        if (vm.is_engine) {
            lines += engine_line(wanted, vm, ++engine % 3 != 0);
        } else if (!vm.is_entry) {
            lines += "plain-service --name " + vm.endpoint + " --listen " +
                     address(wanted, endpoint_ports + vm.index) + "\n";
        }
    }
    return lines;
}

preset bagwis() {
    return {.name = "bagwis",
            .regions = {"luzon", "visayas", "mindanao"},
            .organisations = {{"amihan-homes", 20'000, 60'000, false, 0.45},
                              {"tala-facilities", 14'000, 42'000, false, 0.30},
                              {"sinag-hotels", 5'000, 15'000, false, 0.15},
                              {"lambak-schools", 2'000, 6'000, false, 0.08},
                              {"balangay-clinics", 4'000, 12'000, true, 0.02}},
            .engine_service = "assistant",
            .base_model = "bagwis-base",
            .plain_services = {{"orders", false, false, 3}, {"notices", true, true, 1}},
            .engines = 9,
            .loads_per_second = 2,
            .first_port = 21'000};
}

preset cuenca() {
    return {.name = "cuenca",
            .regions = {"azuay", "pichincha", "guayas"},
            .organisations = {{"cajas-interiors", 24'000, 72'000, false, 0.40},
                              {"yanuncay-kitchens", 16'000, 48'000, false, 0.30},
                              {"quitumbe-floors", 8'000, 24'000, false, 0.18},
                              {"malecon-doors", 3'000, 9'000, false, 0.10},
                              {"tomebamba-care", 5'000, 15'000, true, 0.02}},
            .engine_service = "fitting-notes",
            .base_model = "cuenca-base",
            .plain_services = {{"counter", false, false, 3}, {"opening-hours", true, true, 1}},
            .engines = 12,
            .loads_per_second = 3,
            .first_port = 23'000};
}

} // namespace

std::optional<preset> find_preset(std::string_view name) {
    if (name == "bagwis") {
        return bagwis();
    }
    return name == "cuenca" ? std::optional{cuenca()} : std::nullopt;
}

preset reduce(preset full) {
    full.engines = 3;
    full.entries_per_region = 1;
    full.adapters = 200;
    full.slots = 8;
    full.short_drain = true;
    return full;
}

std::map<std::string, std::string> make_example(const preset& wanted, std::uint64_t seed) {
    const deployment planned{wanted};
    std::map<std::string, std::string> files;
    files["rules.json"] = make_rules(wanted);
    files["inventory.json"] = make_inventory(wanted, seed);
    files["vms.json"] = make_vm_list(wanted, planned);
    files["standins.txt"] = make_standins(wanted, planned);
    for (const planned_vm& vm : planned.vms()) {
        files["settings/" + vm.name + ".json"] = make_settings(wanted, vm);
    }
    return files;
}

} // namespace samphiretray::standins

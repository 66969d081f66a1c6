#include "bench/processes/process_usage.h"
#include "tests/process/deployment.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Measures the cost of the control plane without request traffic, at three sizes of the inventory: memory and
// CPU time of an entry and an agent, time until a configuration change is in force, and calls to the
// key-value service.

namespace {

using namespace samphiretray;
using bench::cpu_seconds;
using bench::resident_megabytes;
using tests::deployment;

constexpr duration idle_period = 10s;
constexpr int change_count = 5;

std::uint64_t set_inventory(deployment& system, std::size_t adapter_count) {
    return system.configure([adapter_count](config::configuration& value) {
        value.inventory.clear();
        for (std::size_t i = 0; i < adapter_count; ++i) {
            value.inventory.push_back(
                {"adapter-" + std::to_string(i), "1", "amihan-homes", "assistant", true});
        }
    });
}

double count_key_value_calls(deployment& system) {
    const auto counters = system.fetch(system.key_value_address("luzon"), "/admin/counters");
    double calls = 0;
    for (const char* const kind : {"read", "watch", "write"}) {
        calls += counters.value(kind, 0.0);
    }
    return calls;
}

void measure(deployment& system, std::size_t adapter_count, const std::vector<std::string>& vms) {
    if (!system.wait_in_force(set_inventory(system, adapter_count), vms)) {
        std::puts("timed out before the inventory was in force on every VM");
        return;
    }
    double slowest = 0;
    const pid_t entry = system.process("entry-1").id();
    const double before_changes = cpu_seconds(entry);
    for (int i = 0; i < change_count; ++i) {
        const time_point started = system.events().now();
        const auto revision = system.configure(
            [i](config::configuration& value) { value.inventory.front().version = std::to_string(i + 2); });
        (void)system.wait_in_force(revision, vms);
        slowest = std::max(slowest, std::chrono::duration<double>(system.events().now() - started).count());
    }
    const double cpu_per_change = (cpu_seconds(entry) - before_changes) / change_count;
    const pid_t agent = system.process("vm-engine-1").id();
    const double entry_before = cpu_seconds(entry);
    const double agent_before = cpu_seconds(agent);
    const double calls_before = count_key_value_calls(system);
    (void)system.events().run_until([] { return false; }, idle_period);
    const double seconds = std::chrono::duration<double>(idle_period).count();
    std::printf(
        "%6zu adapters: entry %.1f MB, agent %.1f MB; idle CPU use: entry %.2f%%, agent %.2f%% of a core; "
        "per change: %.0f ms of CPU time in the entry, in force after at most %.2f s; "
        "%.1f key-value calls per second\n",
        adapter_count, resident_megabytes(entry), resident_megabytes(agent),
        100 * (cpu_seconds(entry) - entry_before) / seconds,
        100 * (cpu_seconds(agent) - agent_before) / seconds, 1e3 * cpu_per_change, slowest,
        (count_key_value_calls(system) - calls_before) / seconds);
    std::fflush(stdout);
}

} // namespace

int main() {
    const std::vector<std::string> entries{"entry-1", "entry-2", "entry-3"};
    deployment system{{.first_port = 30'500,
                       .entries = entries,
                       .endpoints = {"engine-1", "engine-2", "orders-1"},
                       .settings = {{"log", "warning"}}}};
    system.start();
    const std::vector<std::string> vms{"entry-1",     "entry-2",     "entry-3",
                                       "vm-engine-1", "vm-engine-2", "vm-orders-1"};
    for (const std::size_t adapter_count : {200UL, 3'000UL, 38'000UL}) {
        measure(system, adapter_count, vms);
    }
    return 0;
}

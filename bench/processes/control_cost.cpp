#include "bench/processes/process_usage.h"
#include "tests/process/deployment.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// What control costs a process at rest, at three sizes of the inventory: memory, processor time, time until a
// change is in force, and calls to the key-value service.

namespace {

using namespace samphiretray;
using bench::processor_seconds;
using bench::resident_megabytes;
using tests::deployment;

constexpr duration rest = 10s;
constexpr int changes = 5;

std::uint64_t set_inventory(deployment& system, std::size_t rows) {
    return system.configure([rows](config::configuration& value) {
        value.inventory.clear();
        for (std::size_t i = 0; i < rows; ++i) {
            value.inventory.push_back(
                {"adapter-" + std::to_string(i), "1", "amihan-homes", "assistant", true});
        }
    });
}

double count_calls(deployment& system) {
    const auto counters = system.fetch(system.key_value_address("luzon"), "/admin/counters");
    double calls = 0;
    for (const char* const kind : {"read", "watch", "write"}) {
        calls += counters.value(kind, 0.0);
    }
    return calls;
}

void measure(deployment& system, std::size_t rows, const std::vector<std::string>& vms) {
    if (!system.wait_in_force(set_inventory(system, rows), vms)) {
        std::puts("the inventory did not come into force");
        return;
    }
    double slowest = 0;
    const pid_t entry = system.process("entry-1").id();
    const double before_changes = processor_seconds(entry);
    for (int i = 0; i < changes; ++i) {
        const time_point started = system.events().now();
        const auto revision = system.configure(
            [i](config::configuration& value) { value.inventory.front().version = std::to_string(i + 2); });
        (void)system.wait_in_force(revision, vms);
        slowest = std::max(slowest, std::chrono::duration<double>(system.events().now() - started).count());
    }
    const double change_cost = (processor_seconds(entry) - before_changes) / changes;
    const pid_t agent = system.process("vm-engine-1").id();
    const double entry_before = processor_seconds(entry);
    const double agent_before = processor_seconds(agent);
    const double calls_before = count_calls(system);
    (void)system.events().run_until([] { return false; }, rest);
    const double seconds = std::chrono::duration<double>(rest).count();
    std::printf("%6zu adapters: entry %.1f MB, agent %.1f MB; at rest entry %.2f%%, agent %.2f%% of a core; "
                "a change %.0f ms of processor time, in force after %.2f s at most; %.1f calls a second\n",
                rows, resident_megabytes(entry), resident_megabytes(agent),
                100 * (processor_seconds(entry) - entry_before) / seconds,
                100 * (processor_seconds(agent) - agent_before) / seconds, 1e3 * change_cost, slowest,
                (count_calls(system) - calls_before) / seconds);
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
    for (const std::size_t rows : {200UL, 3'000UL, 38'000UL}) {
        measure(system, rows, vms);
    }
    return 0;
}

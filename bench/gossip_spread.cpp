// Simulates, in virtual time, how long a configuration change takes until it is in force on every node, and
// the gossip traffic of each node. Usage: bench_gossip_spread [NODES...]
#include "tests/control/fleet.h"

#include <cstdio>
#include <cstdlib>
#include <map>

using namespace samphiretray;

namespace {

constexpr int change_count = 10;
constexpr int adapters = 3000;
// Protocol headers per message: 8 bytes of masked WebSocket header, and 52 bytes of TCP (with timestamps) and
// IPv4 headers for each segment. A pull and its reply, two messages, take three segments, because the reply
// also acknowledges the pull.
constexpr std::size_t overhead_bytes = 8 + 52 * 3 / 2;

std::size_t encoded_size(const wire::message& value) {
    return wire::encode(value).size();
}

struct traffic {
    std::size_t state_bytes = 0;
    std::size_t configuration_bytes = 0;
    std::size_t messages = 0;
    std::map<std::string, std::size_t> bytes_by_node;
};

void record_message(traffic& total, const test::fleet::node& from, const test::fleet::node& to,
                    const wire::message& value) {
    const std::size_t size = encoded_size(value);
    const bool is_state =
        std::holds_alternative<wire::state_pull>(value) || std::holds_alternative<wire::state_reply>(value);
    (is_state ? total.state_bytes : total.configuration_bytes) += size;
    ++total.messages;
    total.bytes_by_node[from.vm.name] += size + overhead_bytes;
    total.bytes_by_node[to.vm.name] += size + overhead_bytes;
}

duration measure_propagation(test::fleet& measured) {
    const std::uint64_t revision = measured.publish();
    const time_point start = measured.now();
    while (measured.count_in_force(revision) < measured.size() && measured.now() - start < 60s) {
        measured.run_for(50ms);
    }
    return measured.now() - start;
}

void measure(std::size_t nodes) {
    test::fleet measured{{.nodes = nodes, .adapters = adapters, .drop_rate = 0.01}};
    measured.publish();
    measured.run_for(10s);
    std::vector<double> seconds;
    traffic changing;
    traffic idle;
    for (int i = 0; i < change_count; ++i) {
        measured.on_message = [&](const auto& from, const auto& to, const auto& value) {
            record_message(changing, from, to, value);
        };
        seconds.push_back(std::chrono::duration<double>(measure_propagation(measured)).count());
        measured.on_message = nullptr;
        measured.run_for(3s + 137ms * i);
    }
    measured.on_message = [&](const auto& from, const auto& to, const auto& value) {
        record_message(idle, from, to, value);
    };
    constexpr int idle_seconds = 20;
    measured.run_for(std::chrono::seconds{idle_seconds});
    std::ranges::sort(seconds);
    std::size_t busiest = 0;
    std::size_t total = 0;
    for (const auto& [name, bytes] : idle.bytes_by_node) {
        busiest = std::max(busiest, bytes);
        total += bytes;
    }
    const auto per_node = [&](std::size_t bytes) {
        return static_cast<double>(bytes) / static_cast<double>(nodes);
    };
    std::printf("nodes=%zu in_force_s: median=%.2f max=%.2f | idle bytes/s per node, in and out: mean=%.0f "
                "busiest=%.0f "
                "(payload %.0f) | configuration bytes per change and node: %.0f\n",
                nodes, seconds[seconds.size() / 2], seconds.back(), per_node(total) / idle_seconds,
                static_cast<double>(busiest) / idle_seconds, 2 * per_node(idle.state_bytes) / idle_seconds,
                2 * per_node(changing.configuration_bytes) / change_count);
    if (!measured.violation().empty()) {
        std::printf("violation: %s\n", measured.violation().c_str());
    }
}

} // namespace

int main(int argc, char** argv) {
    std::vector<std::size_t> sizes;
    for (int i = 1; i < argc; ++i) {
        sizes.push_back(std::strtoul(argv[i], nullptr, 10));
    }
    if (sizes.empty()) {
        sizes = {60, 300, 1190};
    }
    std::ranges::for_each(sizes, measure);
    return 0;
}

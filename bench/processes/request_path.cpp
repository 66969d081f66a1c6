#include "samphiretray/base/hash.h"

#include "bench/processes/process_usage.h"
#include "tests/process/deployment.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

// Measures the latency that the two hops through entry and agent add to a small completion, and the CPU time
// of a request in each of them. The same call is sent sequentially, to the engine stand-in directly and
// through the system, and then concurrently through the system.

namespace {

using namespace samphiretray;
using bench::cpu_seconds;
using bench::resident_megabytes;
using tests::deployment;

constexpr int warm_up_calls = 200;
constexpr int sequential_calls = 2'000;
constexpr int concurrent_calls = 8'000;
constexpr std::size_t concurrency = 16;
const std::string key = "key-of-the-measurement-01";

double percentile(std::vector<double> values, double quantile) {
    std::ranges::sort(values);
    return values.at(static_cast<std::size_t>(quantile * static_cast<double>(values.size() - 1)));
}

std::vector<double> run_sequential(deployment& system, const net::http_call& call, int count) {
    std::vector<double> milliseconds;
    for (int i = 0; i < count; ++i) {
        const time_point sent = system.events().now();
        const auto answer = system.run(call);
        if (answer.status != 200) {
            std::printf("unexpected status %d: %s\n", answer.status, answer.body.c_str());
            std::exit(1);
        }
        milliseconds.push_back(
            std::chrono::duration<double, std::milli>(system.events().now() - sent).count());
    }
    return milliseconds;
}

void run_concurrent(deployment& system, const net::http_call& call, int count) {
    std::vector<std::shared_ptr<tests::pending_call>> open;
    int started = 0;
    while (started < count || !open.empty()) {
        while (started < count && open.size() < concurrency) {
            open.push_back(system.send(call));
            ++started;
        }
        (void)system.events().run_until(
            [&] { return std::ranges::any_of(open, [](const auto& each) { return each->seen.ended; }); },
            tests::hang_limit);
        std::erase_if(open, [](const auto& each) { return each->seen.ended; });
    }
}

net::http_call direct_call(const deployment& system, const std::string& model) {
    net::http_call call;
    call.peer = system.endpoint_address("engine-1");
    call.method = "POST";
    call.target = "/v1/completions";
    call.headers = {{"content-type", "application/json"}};
    call.body = nlohmann::json{{"model", model}, {"prompt", "a broken pole"}, {"max_tokens", 1}}.dump();
    return call;
}

void print_latencies(const char* name, const std::vector<double>& values) {
    std::printf("%-18s median %.3f ms, 99th percentile %.3f ms\n", name, percentile(values, 0.5),
                percentile(values, 0.99));
}

} // namespace

int main() {
    deployment system{
        {.first_port = 30'000,
         .entries = {"entry-1"},
         .endpoints = {"engine-1"},
         .engine_arguments = {"--step-us", "200", "--step-per-request-us", "1", "--prefill-us", "1"},
         .settings = {{"log", "info"}}}};
    system.start();
    const auto revision = system.configure([](config::configuration& value) {
        value.rules.keys = {{sha256_hex(key), "amihan-homes", "measurement"}};
        for (auto& organisation : value.rules.organisations) {
            organisation.rate = 100'000'000;
            organisation.burst = 100'000'000;
        }
    });
    const auto call = system.completion("entry-1", key, system.adapter_of("amihan-homes"), 1);
    const bool ready = system.wait_in_force(revision, {"entry-1"}) &&
                       system.wait_until([&] { return system.run(call).status == 200; });
    if (!ready) {
        std::puts("the deployment did not become ready");
        return 1;
    }
    const auto direct = direct_call(system, system.run(call).header("x-adapter-version"));
    (void)run_sequential(system, direct, warm_up_calls);
    (void)run_sequential(system, call, warm_up_calls);
    const auto direct_times = run_sequential(system, direct, sequential_calls);
    const auto system_times = run_sequential(system, call, sequential_calls);
    print_latencies("direct", direct_times);
    print_latencies("through the system", system_times);
    std::printf("added latency: median %.3f ms, 99th percentile %.3f ms\n",
                percentile(system_times, 0.5) - percentile(direct_times, 0.5),
                percentile(system_times, 0.99) - percentile(direct_times, 0.99));

    const pid_t entry = system.process("entry-1").id();
    const pid_t agent = system.process("vm-engine-1").id();
    const double entry_before = cpu_seconds(entry);
    const double agent_before = cpu_seconds(agent);
    const time_point started = system.events().now();
    run_concurrent(system, call, concurrent_calls);
    const double elapsed = std::chrono::duration<double>(system.events().now() - started).count();
    const double entry_cost = (cpu_seconds(entry) - entry_before) / concurrent_calls;
    const double agent_cost = (cpu_seconds(agent) - agent_before) / concurrent_calls;
    std::printf("%d calls, %zu concurrent: %.0f per second\n", concurrent_calls, concurrency,
                concurrent_calls / elapsed);
    std::printf("entry: %.1f us of CPU time per request, %.0f requests per core-second, %.1f MB resident\n",
                entry_cost * 1e6, 1 / entry_cost, resident_megabytes(entry));
    std::printf("agent: %.1f us of CPU time per request, %.0f requests per core-second, %.1f MB resident\n",
                agent_cost * 1e6, 1 / agent_cost, resident_megabytes(agent));
    return 0;
}

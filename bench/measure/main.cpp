#include "bench/measure/run.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

using namespace samphiretray::measure;

namespace {

void print_header() {
    std::printf("%-7s %-10s %-22s %5s %6s %6s %6s %6s %7s %9s %6s %6s %6s %6s %6s %6s %9s %6s\n", "deploy",
                "scenario", "policy", "load", "asked", "served", "wrong", "broken", "stalls", "stall s",
                "batch", "worst", "ft50", "ft95", "ft99", "prio95", "remote MB", "loads");
}

void print_row(const run_metrics& row) {
    std::printf("%-7s %-10s %-22s %5.2f %6lu %6lu %6lu %6lu %7lu %9.1f %6.3f %6.3f %6.2f %6.2f %6.2f %6.2f "
                "%9.1f %6lu\n",
                row.deployment.c_str(), row.scenario.c_str(), row.policy.c_str(), row.fleet_load,
                row.requests, row.served, row.wrongful_refusals, row.broken, row.stalls, row.stall_seconds,
                row.batch_efficiency, row.worst_share, row.first_token_median, row.first_token_p95,
                row.first_token_p99, row.priority_first_token_p95, row.remote_megabytes, row.loads);
    std::fflush(stdout);
}

nlohmann::ordered_json to_json(const run_metrics& row, std::uint64_t seed) {
    return {{"seed", seed},
            {"deployment", row.deployment},
            {"scenario", row.scenario},
            {"policy", row.policy},
            {"fleet_load", row.fleet_load},
            {"requests", row.requests},
            {"served", row.served},
            {"refused", row.refused},
            {"broken", row.broken},
            {"wrongful_refusals", row.wrongful_refusals},
            {"load_stalls", row.stalls},
            {"load_stall_seconds", row.stall_seconds},
            {"batch_efficiency", row.batch_efficiency},
            {"worst_share", row.worst_share},
            {"first_token_median_s", row.first_token_median},
            {"first_token_95_s", row.first_token_p95},
            {"first_token_99_s", row.first_token_p99},
            {"priority_first_token_95_s", row.priority_first_token_p95},
            {"remote_megabytes", row.remote_megabytes},
            {"loads", row.loads},
            {"evictions", row.evictions}};
}

} // namespace

/// Usage: measure [SEED [JSON_FILE [SCENARIO [POLICY]]]]
int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::ofstream lines(argc > 2 ? argv[2] : "/dev/null");
    const std::string only = argc > 3 ? argv[3] : "";
    const std::string only_policy = argc > 4 ? argv[4] : "";
    print_header();
    for (const deployment& of : deployments()) {
        for (const scenario kind : scenarios) {
            if (!only.empty() && name_of(kind) != only) {
                continue;
            }
            for (const policy used : policies) {
                if (!only_policy.empty() && name_of(used) != only_policy) {
                    continue;
                }
                const run_metrics row = run(of, kind, used, seed);
                print_row(row);
                lines << to_json(row, seed).dump() << '\n';
            }
        }
    }
    return 0;
}

#include "samphiretray/control/load_permits.h"
#include "samphiretray/observe/burn.h"
#include "samphiretray/observe/metrics.h"
#include "samphiretray/orders/claim_batcher.h"
#include "samphiretray/rate/grant_holder.h"
#include "samphiretray/rate/grant_issuer.h"

#include <benchmark/benchmark.h>

#include <string>

/// Microbenchmarks of the decisions for one request: rate limits, order claims, load permits and metrics.
namespace {

using namespace samphiretray;

constexpr std::uint64_t tokens = 400;

/// One request at an entry whose grants cover it: reserving and settling its tokens, and the exchanges with
/// the issuer.
void reserve_and_settle(benchmark::State& state) {
    time_point now{1000s};
    rate::grant_issuer issuer{"organisation", {.rate = 1e9, .burst = 2e9}, now};
    rate::grant_holder holder{"organisation"};
    std::uint64_t id = 0;
    std::uint64_t exchanges = 0;
    now += 2s;
    for (auto _ : state) {
        now += 1ms;
        benchmark::DoNotOptimize(holder.reserve(++id, tokens, now + 1s, now));
        benchmark::DoNotOptimize(holder.take_decisions(now));
        if (const auto request = holder.next_request(now)) {
            holder.on_reply(issuer.answer("entry", *request, true, now), now);
            ++exchanges;
        }
        if (id > 500) {
            holder.settle(id - 500, tokens / 2, now);
        }
    }
    state.counters["exchanges_per_request"] =
        static_cast<double>(exchanges) / static_cast<double>(state.iterations());
}
BENCHMARK(reserve_and_settle);

/// One grant request at an issuer that serves `range(0)` entries.
void answer_grant(benchmark::State& state) {
    time_point now{1000s};
    rate::grant_issuer issuer{"organisation", {.rate = 1e6, .burst = 2e6}, now};
    std::uint64_t round = 0;
    const auto holders = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        now += 100us;
        wire::grant_request request;
        request.round = ++round;
        request.tokens = tokens;
        request.demand = 1000;
        request.held = 100;
        benchmark::DoNotOptimize(
            issuer.answer("entry" + std::to_string(round % holders), request, true, now));
    }
}
BENCHMARK(answer_grant)->Arg(3)->Arg(30)->Arg(165);

/// Claims one order in a shard that already holds `range(0)` claims: reads the shard, writes it and answers.
void claim_order(benchmark::State& state) {
    orders::claim_ledger ledger;
    for (std::int64_t each = 0; each < state.range(0); ++each) {
        const std::string key = orders::claim_key("organisation", std::to_string(each));
        (void)ledger.add(
            {.key = key, .content = key, .request = std::to_string(each), .claimed_at = 0, .answer = {}});
    }
    const ports::versioned_value stored{ledger.format(), 1};
    const std::string key = orders::claim_key("organisation", "new");
    time_point now{1000s};
    for (auto _ : state) {
        orders::claim_batcher batcher{0};
        batcher.claim_call({key, key, "request", now + 1s}, now);
        now += 20ms;
        batcher.on_read(std::get<orders::read_claims>(*batcher.next_call(now, 1)).call, stored, now);
        const auto write = std::get<orders::write_claims>(*batcher.next_call(now, 1));
        batcher.on_written(write.call, std::uint64_t{2}, now);
        benchmark::DoNotOptimize(batcher.take_answers(now));
    }
    state.counters["value_bytes"] = static_cast<double>(stored.value.size());
}
BENCHMARK(claim_order)->Arg(0)->Arg(100)->Arg(1000)->Arg(4000)->Unit(benchmark::kMicrosecond);

/// One request for a load permit, with `range(0)` endpoints that request them.
void permit_load(benchmark::State& state) {
    time_point now{1000s};
    control::load_permits permits{{.loads_per_second = 1e6}, now};
    std::uint64_t round = 0;
    const auto others = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        now += 1us;
        wire::permit_request request;
        request.round = ++round;
        request.endpoint = "endpoint" + std::to_string(round % others);
        permits.request("agent", request, now);
        benchmark::DoNotOptimize(permits.take_answers(true, now));
    }
}
BENCHMARK(permit_load)->Arg(10)->Arg(100)->Arg(1000);

void count_outcome(benchmark::State& state) {
    time_point now{1000s};
    observe::burn_monitor monitor{{{"answers", observe::objective_scope::service, "*", 0.99}}};
    observe::metrics registry;
    observe::counter_family& requests =
        registry.counter({"requests_total", "Requests.", {"service", "outcome"}});
    for (auto _ : state) {
        now += 1ms;
        monitor.record(observe::objective_scope::service, "assistant", {1, 1}, now);
        requests.add({"assistant", "whole"});
    }
}
BENCHMARK(count_outcome);

} // namespace

BENCHMARK_MAIN();

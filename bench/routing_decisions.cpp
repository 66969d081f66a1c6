#include "samphiretray/agent/attempt_table.h"
#include "samphiretray/agent/fair_queue.h"
#include "samphiretray/agent/slot_table.h"
#include "samphiretray/gateway/crash_report.h"
#include "samphiretray/routing/outlier_ejection.h"
#include "samphiretray/routing/placement.h"
#include "samphiretray/routing/request_quarantine.h"
#include "samphiretray/routing/retry_policy.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

// Microbenchmarks of the decisions that entry and agent make for one request, at the size of the target
// fleet.

namespace {

using namespace samphiretray;

constexpr int adapters = 38'000;
constexpr int endpoints = 860;
const time_point start{1000s};

std::vector<std::string> numbered_names(const std::string& prefix, int count) {
    std::vector<std::string> result;
    for (int number = 0; number < count; ++number) {
        result.push_back(prefix + std::to_string(number));
    }
    return result;
}

routing::placement make_placement(const std::vector<std::string>& engines,
                                  const std::vector<std::string>& models) {
    routing::placement result{{}, {"region-0", "dc-0"}};
    std::vector<routing::endpoint> live;
    for (int number = 0; number < endpoints; ++number) {
        live.push_back({engines[number],
                        "base",
                        {"region-" + std::to_string(number % 2), "dc-" + std::to_string(number % 8)},
                        1.0});
    }
    result.replace_endpoints(live);
    const wire::load_report load{4, 0, 8, 4, 8, 0};
    for (int number = 0; number < adapters; ++number) {
        result.observe_answer({engines[number % endpoints], {models[number], "1"}, false, 40ms, load}, start);
    }
    return result;
}

void place_request(benchmark::State& state) {
    const auto engines = numbered_names("engine-", endpoints);
    const auto models = numbered_names("adapter-", adapters);
    routing::placement target = make_placement(engines, models);
    time_point now = start;
    std::size_t next = 0;
    for (auto _ : state) {
        now += 1ms;
        next = (next + 7919) % adapters;
        routing::placement_request request;
        request.pool = "base";
        request.adapter = {models[next], "1"};
        benchmark::DoNotOptimize(target.candidates(request, now));
    }
}
BENCHMARK(place_request);

void learn_from_answer(benchmark::State& state) {
    const auto engines = numbered_names("engine-", endpoints);
    const auto models = numbered_names("adapter-", adapters);
    routing::placement target = make_placement(engines, models);
    const wire::load_report load{4, 0, 8, 4, 8, 0};
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 7919) % adapters;
        target.observe_answer({engines[next % endpoints], {models[next], "1"}, false, 40ms, load}, start);
    }
}
BENCHMARK(learn_from_answer);

void decide_retry(benchmark::State& state) {
    const auto engines = numbered_names("engine-", endpoints);
    routing::retry_policy policy{{}};
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 1) % endpoints;
        policy.request_started("organisation", engines[next], start);
        routing::failed_attempt failed;
        failed.organisation = "organisation";
        failed.endpoint = engines[next];
        failed.deadline = start + 10s;
        benchmark::DoNotOptimize(policy.decide(failed, start));
    }
}
BENCHMARK(decide_retry);

void check_ejection(benchmark::State& state) {
    const auto engines = numbered_names("engine-", endpoints);
    routing::outlier_ejection target{{}};
    target.replace_endpoints("base", engines);
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 1) % endpoints;
        benchmark::DoNotOptimize(target.usable(engines[next], start));
        target.started(engines[next], start);
        target.succeeded(engines[next], start);
    }
}
BENCHMARK(check_ejection);

// Eight slots; requests for `range(0)` adapters are waiting at the agent.
void pin_and_unpin(benchmark::State& state) {
    const auto models = numbered_names("adapter-", static_cast<int>(state.range(0)));
    agent::slot_table table{{}};
    for (const std::string& model : models) {
        table.wait_started({model, "1"}, false, start);
    }
    table.adopt({{models[0], "1"}, {models[1], "1"}, {models[2], "1"}}, start);
    for (auto _ : state) {
        const auto pin = table.pin({models[1], "1"}, false, start);
        benchmark::DoNotOptimize(pin);
        table.unpin(*pin, start);
    }
}
BENCHMARK(pin_and_unpin)->Arg(16)->Arg(512);

void choose_loads(benchmark::State& state) {
    const auto models = numbered_names("adapter-", static_cast<int>(state.range(0)));
    agent::slot_table table{{}};
    for (const std::string& model : models) {
        table.wait_started({model, "1"}, false, start);
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(table.loads_wanted(start));
    }
}
BENCHMARK(choose_loads)->Arg(16)->Arg(512);

// The queue holds `range(0)` requests of five organisations.
void push_and_pop(benchmark::State& state) {
    const auto organisations = numbered_names("organisation-", 5);
    const auto models = numbered_names("adapter-", 8);
    agent::queue_settings settings;
    settings.max_length = 100'000;
    settings.initial_rate = 1e9;
    agent::fair_queue queue{settings};
    const auto any = [](const agent::queued_request&) { return true; };
    std::uint64_t id = 0;
    const auto push = [&] {
        agent::queued_request request;
        request.request = ++id;
        request.organisation = organisations[id % 5];
        request.adapter = {models[id % 8], "1"};
        request.tokens = 500;
        request.deadline = start + 60s;
        benchmark::DoNotOptimize(queue.push(std::move(request), 0ms, any, start));
    };
    for (int count = 0; count < state.range(0); ++count) {
        push();
    }
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.pop(any));
    }
}
BENCHMARK(push_and_pop)->Arg(16)->Arg(512);

void track_attempt(benchmark::State& state) {
    agent::attempt_table table{{}};
    time_point now = start;
    std::uint64_t next = 0;
    for (auto _ : state) {
        now += 10ms;
        const agent::attempt_id id{1, ++next, 1};
        benchmark::DoNotOptimize(table.open(id, now));
        benchmark::DoNotOptimize(table.start(id));
        benchmark::DoNotOptimize(table.accept_answer(id));
        table.finish(id, now);
    }
}
BENCHMARK(track_attempt);

/// What each request costs so that attempts at it can be recognised; the argument is the size of its body.
void identify_request(benchmark::State& state) {
    gateway::caller_request decoded;
    decoded.host = "orders.example";
    net::http_request request;
    request.method = "POST";
    request.target = "/orders/1";
    request.body.assign(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(gateway::make_request_key(decoded, request, "coop"));
    }
}
BENCHMARK(identify_request)->Arg(600)->Arg(18'000);

/// Checks a request, and notes its answer, while `range(0)` other requests are suspected.
void check_suspected_request(benchmark::State& state) {
    routing::request_quarantine quarantine{{}};
    for (std::int64_t i = 0; i < state.range(0); ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        quarantine.on_cut(number, {number, number, 0ms}, start);
    }
    std::uint64_t request = 1U << 20U;
    for (auto _ : state) {
        ++request;
        benchmark::DoNotOptimize(quarantine.check(request, request, start));
        quarantine.on_answered(request, start);
    }
}
BENCHMARK(check_suspected_request)->Arg(0)->Arg(2000);

void poll_suspected_requests(benchmark::State& state) {
    routing::request_quarantine quarantine{{}};
    for (std::uint64_t i = 0; i < static_cast<std::uint64_t>(state.range(0)); ++i) {
        for (std::uint64_t cut = 0; cut < 3; ++cut) {
            quarantine.on_cut(i, {cut, 10 * i + cut, 0ms}, start + cut * 2s);
        }
    }
    for (auto _ : state) {
        benchmark::DoNotOptimize(quarantine.poll(start + 10s));
    }
}
BENCHMARK(poll_suspected_requests)->Arg(10)->Arg(2000)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();

#include "bench/measure/run.h"

#include "samphiretray/control/load_permits.h"
#include "samphiretray/control/local_load_limit.h"
#include "samphiretray/routing/outlier_ejection.h"
#include "samphiretray/routing/retry_policy.h"

#include "bench/measure/agent_model.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <random>
#include <utility>

namespace samphiretray::measure {

namespace {

constexpr duration intra_region_latency = 500us;
constexpr duration inter_region_latency = 15ms;
/// Time after which an attempt fails if the regions are disconnected.
constexpr duration connect_timeout = 1s;
constexpr duration tick_interval = 100ms;
constexpr duration restart_time = 5s;
/// The region that loses its connection to the others. The permit scheduler, which holds the duty `loads`, is
/// in region 0.
constexpr std::uint32_t isolated_region = 2;
/// Mean tokens of prompt plus output per output token, and seconds of an engine step with a full batch.
constexpr double tokens_per_output = (500.0 + 208.0) / 208.0;
constexpr double full_batch_step_seconds = 0.028 + 0.0007 * 8.0;
/// Rank that a waiting load gains per second of waiting; see docs/decisions/load-order.md.
constexpr double load_rank_per_second = 8.0;
constexpr const char* pool = "base";

enum class request_outcome { pending, served, refused, broken };

struct request_state {
    std::uint32_t attempts = 0;
    std::vector<std::string> tried;
    std::uint32_t engine = 0;
    bool open = false;
    bool streamed = false;
    time_point sent;
    std::optional<time_point> first_token_at;
    std::optional<duration> time_to_first_token;
    request_outcome outcome = request_outcome::pending;
};

struct entry_model {
    endpoint_selector endpoint_selection;
    routing::outlier_ejection ejection;
    routing::retry_policy retries;
};

class simulation {
public:
    simulation(const deployment& of, scenario kind, policy used, std::uint64_t seed)
        : deployment_(of), kind_(kind), policy_(used), trace_(make_trace(of, kind, seed)),
          requests_(trace_.size()), store_(events_, seed + 1), permits_(permit_options(of), events_.now()),
          random_(seed + 2), start_(events_.now()) {
        make_fleet(seed);
    }

    run_metrics run() {
        schedule_arrivals();
        schedule_changes();
        tick();
        events_.run_until(start_ + warm_up + measured_time + request_timeout + 30s);
        return collect();
    }

private:
    void make_fleet(std::uint64_t seed) {
        std::vector<routing::endpoint> fleet;
        std::vector<std::string> names;
        for (std::uint32_t index = 0; index < deployment_.regions.size() * deployment_.engines_per_region;
             ++index) {
            const std::string& region = deployment_.regions[region_of(index)];
            names.push_back("engine-" + std::to_string(index));
            fleet.push_back({names.back(), pool, {region, region + "-1"}, 1.0});
            agents_.push_back(std::make_unique<agent_model>(events_, store_, policy_, deployment_.slots,
                                                            deployment_.batch, make_permit_callbacks(index)));
            agents_.back()->measure_from(start_ + warm_up);
        }
        for (const std::string& region : deployment_.regions) {
            entries_.push_back({endpoint_selector{policy_, fleet, {region, region + "-1"}, ++seed},
                                routing::outlier_ejection{{}}, routing::retry_policy{{}}});
            entries_.back().ejection.replace_endpoints(pool, names);
        }
        names_ = std::move(names);
        const auto count = static_cast<std::uint32_t>(agents_.size());
        control::local_load_limit_options options;
        options.loads_per_second = deployment_.loads_per_second;
        for (std::uint32_t index = 0; index < count; ++index) {
            local_loads_.push_back(
                {{}, 0, control::local_load_limit{options, count, random_, events_.now()}});
        }
    }

    static control::load_permits_options permit_options(const deployment& of) {
        control::load_permits_options options;
        options.loads_per_second = of.loads_per_second;
        options.rank_per_second = load_rank_per_second;
        return options;
    }

    [[nodiscard]] std::uint32_t region_of(std::uint32_t engine) const {
        return engine / deployment_.engines_per_region;
    }

    [[nodiscard]] bool connected(std::uint32_t left, std::uint32_t right) const {
        return !partitioned_ || left == right || (left != isolated_region && right != isolated_region);
    }

    static duration one_way_latency(std::uint32_t left, std::uint32_t right) {
        return left == right ? intra_region_latency : inter_region_latency;
    }

    // Load permits.

    permit_callbacks make_permit_callbacks(std::uint32_t engine) {
        permit_callbacks callbacks;
        callbacks.request = [this, engine](std::uint64_t round, bool priority, std::uint32_t waiting,
                                           const agent::adapter_version& adapter) {
            request_permit(engine, round, priority, waiting, adapter);
        };
        callbacks.cancel = [this, engine](std::uint64_t round) {
            std::erase(local_loads_[engine].waiting, round);
            events_.after(one_way_latency(region_of(engine), 0),
                          [this, engine, round] { permits_.cancel(names_[engine], round); });
        };
        callbacks.done = [this, engine](std::uint64_t round, bool) {
            if (local_loads_[engine].running == round) {
                local_loads_[engine].running = 0;
                local_loads_[engine].limit.done();
                return;
            }
            events_.after(one_way_latency(region_of(engine), 0), [this, engine, round] {
                permits_.done(names_[engine], round);
                answer_permits();
            });
        };
        return callbacks;
    }

    void request_permit(std::uint32_t engine, std::uint64_t round, bool priority, std::uint32_t waiting,
                        const agent::adapter_version& adapter) {
        if (!connected(region_of(engine), 0)) {
            std::vector<std::uint64_t>& waits = local_loads_[engine].waiting;
            if (std::ranges::find(waits, round) == waits.end()) {
                waits.push_back(round);
            }
            return;
        }
        events_.after(one_way_latency(region_of(engine), 0), [=, this] {
            const wire::permit_request asked{round,           names_[engine], adapter.adapter,
                                             adapter.version, priority,       waiting};
            permits_.request(names_[engine], asked, events_.now());
            answer_permits();
        });
    }

    void answer_permits() {
        for (const control::permit_answer& each : permits_.take_answers(true, events_.now())) {
            if (!each.reply.granted) {
                continue;
            }
            const auto engine =
                static_cast<std::uint32_t>(std::ranges::find(names_, each.holder) - names_.begin());
            events_.after(one_way_latency(0, region_of(engine)),
                          [this, engine, round = each.reply.round] { agents_[engine]->granted(round); });
        }
        schedule_permit_wakeup();
    }

    void schedule_permit_wakeup() {
        const auto next = permits_.wake_at(events_.now());
        const bool already_scheduled =
            next && permit_wakeup_at_ && *permit_wakeup_at_ > events_.now() && *permit_wakeup_at_ <= *next;
        if (!next || already_scheduled) {
            return;
        }
        permit_wakeup_at_ = std::max(*next, events_.now() + 1us);
        events_.at(*permit_wakeup_at_, [this] { answer_permits(); });
    }

    /// An agent that cannot reach the holder of the duty `loads` limits its loads by itself, at a lower rate.
    void load_locally(std::uint32_t engine) {
        local_load& local = local_loads_[engine];
        if (local.waiting.empty() || !local.limit.try_start(false, events_.now())) {
            return;
        }
        local.running = local.waiting.front();
        local.waiting.erase(local.waiting.begin());
        agents_[engine]->granted(local.running);
    }

    // Requests.

    void schedule_arrivals() {
        for (std::uint32_t id = 0; id < trace_.size(); ++id) {
            events_.at(start_ + trace_[id].arrival, [this, id] { attempt(id); });
        }
    }

    [[nodiscard]] time_point deadline_of(std::uint32_t id) const {
        return start_ + trace_[id].arrival + request_timeout;
    }

    [[nodiscard]] agent::adapter_version adapter_of(std::uint32_t id) const {
        return {"adapter-" + std::to_string(trace_[id].adapter), "1"};
    }

    void attempt(std::uint32_t id) {
        const trace_request& request = trace_[id];
        request_state& state = requests_[id];
        entry_model& entry = entries_[request.region];
        routing::placement_request wanted;
        wanted.pool = pool;
        wanted.adapter = adapter_of(id);
        wanted.priority = request.priority;
        wanted.bytes = request.bytes;
        wanted.tried = state.tried;
        const auto usable = [&](std::string_view endpoint) {
            return entry.ejection.usable(endpoint, events_.now());
        };
        const auto chosen = entry.endpoint_selection.choose(wanted, events_.now(), usable);
        if (!chosen) {
            state.outcome = request_outcome::refused;
            return;
        }
        state.engine = static_cast<std::uint32_t>(std::ranges::find(names_, *chosen) - names_.begin());
        state.tried.push_back(*chosen);
        state.open = true;
        state.sent = events_.now();
        state.first_token_at.reset();
        ++state.attempts;
        if (state.attempts == 1) {
            entry.retries.request_started(organisation_name(id), *chosen, events_.now());
        }
        entry.endpoint_selection.sent(*chosen);
        entry.ejection.started(*chosen, events_.now());
        send(id);
    }

    [[nodiscard]] std::string organisation_name(std::uint32_t id) const {
        return "organisation-" + std::to_string(trace_[id].organisation);
    }

    void send(std::uint32_t id) {
        const trace_request& request = trace_[id];
        const request_state& state = requests_[id];
        const std::uint32_t to = region_of(state.engine);
        const std::uint32_t attempt_number = state.attempts;
        if (!connected(request.region, to)) {
            events_.after(connect_timeout,
                          [this, id, attempt_number] { handle_failure(id, attempt_number, false, true); });
            return;
        }
        if (to != request.region && request.arrival >= warm_up) {
            remote_bytes_ += request.bytes;
        }
        agent::queued_request queued;
        queued.request = id;
        queued.attempt = attempt_number;
        queued.organisation = organisation_name(id);
        queued.adapter = adapter_of(id);
        queued.priority = request.priority;
        queued.tokens = request.max_tokens;
        queued.arrived = events_.now();
        queued.deadline = deadline_of(id);
        events_.after(one_way_latency(request.region, to),
                      [this, id, queued, attempt_number, engine = state.engine] {
                          const trace_request& sent = trace_[id];
                          agents_[engine]->open(queued, sent.prompt_tokens, sent.output_tokens,
                                                make_attempt_events(id, attempt_number, engine));
                      });
    }

    attempt_events make_attempt_events(std::uint32_t id, std::uint32_t attempt_number, std::uint32_t engine) {
        const std::uint32_t from = region_of(engine);
        const std::uint32_t to = trace_[id].region;
        const auto deliver = [this, id, attempt_number, from, to](auto callback) {
            events_.after(one_way_latency(from, to), [this, id, attempt_number, from, to, callback] {
                const request_state& state = requests_[id];
                if (state.open && state.attempts == attempt_number && connected(from, to)) {
                    callback();
                }
            });
        };
        attempt_events events;
        events.on_first_token = [this, id, deliver](bool cold, wire::load_report load) {
            deliver([this, id, cold, load] { handle_first_token(id, cold, load); });
        };
        events.on_end = [this, id, deliver](wire::load_report load) {
            deliver([this, id, load] { handle_end(id, load); });
        };
        events.on_refused = [this, id, attempt_number, deliver](wire::refusal reason, bool forwarded,
                                                                wire::load_report load) {
            deliver([this, id, attempt_number, reason, forwarded, load] {
                entry_of(id).endpoint_selection.placement().observe_refusal(
                    names_[requests_[id].engine], adapter_of(id), reason, load, events_.now());
                handle_failure(id, attempt_number, forwarded, reason == wire::refusal::endpoint_down);
            });
        };
        return events;
    }

    entry_model& entry_of(std::uint32_t id) { return entries_[trace_[id].region]; }

    void handle_first_token(std::uint32_t id, bool cold, const wire::load_report& load) {
        request_state& state = requests_[id];
        state.streamed = true;
        state.first_token_at = events_.now();
        state.time_to_first_token = events_.now() - (start_ + trace_[id].arrival);
        entry_of(id).endpoint_selection.placement().observe_answer(
            {names_[state.engine], adapter_of(id), cold, events_.now() - state.sent, load}, events_.now());
    }

    void handle_end(std::uint32_t id, const wire::load_report& load) {
        request_state& state = requests_[id];
        entry_model& entry = entry_of(id);
        state.open = false;
        state.outcome = request_outcome::served;
        entry.endpoint_selection.placement().observe_load(names_[state.engine], load, events_.now());
        entry.endpoint_selection.finished(names_[state.engine], events_.now() - *state.first_token_at);
        entry.ejection.succeeded(names_[state.engine], events_.now());
    }

    void handle_failure(std::uint32_t id, std::uint32_t attempt_number, bool forwarded, bool of_endpoint) {
        request_state& state = requests_[id];
        if (!state.open || state.attempts != attempt_number) {
            return;
        }
        entry_model& entry = entry_of(id);
        const std::string& endpoint = names_[state.engine];
        state.open = false;
        entry.endpoint_selection.finished(endpoint, std::nullopt);
        of_endpoint ? entry.ejection.failed(endpoint, events_.now())
                    : entry.ejection.succeeded(endpoint, events_.now());
        const std::string organisation = organisation_name(id);
        routing::failed_attempt failed;
        failed.organisation = organisation;
        failed.endpoint = endpoint;
        failed.attempts = state.attempts;
        failed.deadline = deadline_of(id);
        failed.forwarded = forwarded;
        failed.streamed = state.streamed;
        if (entry.retries.decide(failed, events_.now()) == routing::retry_verdict::retry) {
            attempt(id);
        } else {
            state.outcome = state.streamed ? request_outcome::broken : request_outcome::refused;
        }
    }

    // Faults.

    void schedule_changes() {
        const time_point begin = start_ + change_begins;
        const time_point finish = start_ + change_ends;
        if (kind_ == scenario::slow_store) {
            events_.at(begin, [this] { store_.set_fault(4.0, 0.2); });
            events_.at(finish, [this] { store_.set_fault(1.0, 0.0); });
        } else if (kind_ == scenario::restart) {
            events_.at(begin, [this] { agents_[0]->restart_engine(restart_time); });
            events_.at(finish, [this] { agents_.back()->restart_engine(restart_time); });
        } else if (kind_ == scenario::cut_off) {
            events_.at(begin, [this] { isolate_region(); });
            events_.at(finish, [this] { heal_partition(); });
        }
    }

    void isolate_region() {
        partitioned_ = true;
        for (std::uint32_t id = 0; id < requests_.size(); ++id) {
            const request_state& state = requests_[id];
            if (state.open && !connected(trace_[id].region, region_of(state.engine))) {
                const std::uint32_t attempt_number = state.attempts;
                events_.after(connect_timeout, [this, id, attempt_number, engine = state.engine] {
                    agents_[engine]->cancel(id, attempt_number);
                    handle_failure(id, attempt_number, true, true);
                });
            }
        }
    }

    /// The agents repeat their permit requests, so the holder of the duty `loads` receives the pending ones.
    void heal_partition() {
        partitioned_ = false;
        std::ranges::for_each(local_loads_, [](local_load& each) { each.waiting.clear(); });
    }

    void tick() {
        for (std::uint32_t engine = 0; engine < agents_.size(); ++engine) {
            agents_[engine]->tick();
            if (!connected(region_of(engine), 0)) {
                load_locally(engine);
            }
        }
        answer_permits();
        if (events_.now() < start_ + warm_up + measured_time + request_timeout) {
            events_.after(tick_interval, [this] { tick(); });
        }
    }

    // Results.

    [[nodiscard]] double fleet_capacity() const {
        const double concurrent_requests = static_cast<double>(agents_.size()) * deployment_.batch;
        return concurrent_requests / full_batch_step_seconds * tokens_per_output;
    }

    [[nodiscard]] run_metrics collect() const {
        run_metrics row;
        row.deployment = deployment_.name;
        row.scenario = name_of(kind_);
        row.policy = name_of(policy_);
        count_requests(row);
        count_engines(row);
        count_first_tokens(row);
        row.worst_share = worst_share();
        row.remote_megabytes = remote_bytes_ / 1e6;
        row.loads = store_.loads();
        return row;
    }

    void count_requests(run_metrics& row) const {
        double tokens = 0.0;
        for (std::uint32_t id = 0; id < trace_.size(); ++id) {
            const trace_request& request = trace_[id];
            if (request.arrival < warm_up) {
                continue;
            }
            ++row.requests;
            tokens += request.prompt_tokens + request.output_tokens;
            const request_outcome outcome = requests_[id].outcome;
            row.served += outcome == request_outcome::served ? 1 : 0;
            row.broken += outcome == request_outcome::broken ? 1 : 0;
            row.refused += outcome == request_outcome::refused || outcome == request_outcome::pending ? 1 : 0;
            row.wrongful_refusals += request.within_rate && (outcome == request_outcome::refused ||
                                                             outcome == request_outcome::pending)
                                         ? 1
                                         : 0;
        }
        row.fleet_load = tokens / (fleet_capacity() * std::chrono::duration<double>{measured_time}.count());
    }

    void count_engines(run_metrics& row) const {
        double filled = 0.0;
        double busy = 0.0;
        for (const auto& each : agents_) {
            row.stalls += each->stalls().requests;
            row.stall_seconds += each->stalls().seconds;
            row.evictions += each->evictions();
            filled += each->engine().filled_seconds();
            busy += each->engine().busy_seconds();
        }
        row.batch_efficiency = busy > 0.0 ? filled / busy : 0.0;
    }

    static double percentile(std::vector<double>& values, double quantile) {
        if (values.empty()) {
            return 0.0;
        }
        const auto position = static_cast<std::ptrdiff_t>(quantile * static_cast<double>(values.size() - 1));
        std::ranges::nth_element(values, values.begin() + position);
        return values[static_cast<std::size_t>(position)];
    }

    /// A request without a first token counts with the whole request timeout, so that refusals do not lower
    /// the percentiles.
    void count_first_tokens(run_metrics& row) const {
        std::vector<double> all;
        std::vector<double> priority;
        for (std::uint32_t id = 0; id < trace_.size(); ++id) {
            if (trace_[id].arrival < warm_up) {
                continue;
            }
            const duration time = requests_[id].time_to_first_token.value_or(request_timeout);
            all.push_back(std::chrono::duration<double>{time}.count());
            if (trace_[id].priority) {
                priority.push_back(all.back());
            }
        }
        row.first_token_median = percentile(all, 0.5);
        row.first_token_p95 = percentile(all, 0.95);
        row.first_token_p99 = percentile(all, 0.99);
        row.priority_first_token_p95 = percentile(priority, 0.95);
    }

    /// The lowest ratio, over the organisations, of served tokens to the max-min fair share of the fleet's
    /// capacity.
    [[nodiscard]] double worst_share() const {
        constexpr std::size_t count = traffic_shares.size();
        std::array<double, count> demand{};
        std::array<double, count> served{};
        for (std::uint32_t id = 0; id < trace_.size(); ++id) {
            const trace_request& request = trace_[id];
            if (request.arrival >= warm_up) {
                const double tokens = request.prompt_tokens + request.output_tokens;
                demand[request.organisation] += tokens;
                served[request.organisation] +=
                    requests_[id].outcome == request_outcome::served ? tokens : 0.0;
            }
        }
        const auto fair = max_min_fair_shares(
            demand, fleet_capacity() * std::chrono::duration<double>{measured_time}.count());
        double worst = 1.0;
        for (std::size_t each = 0; each < count; ++each) {
            if (fair[each] > 0.0) {
                worst = std::min(worst, served[each] / fair[each]);
            }
        }
        return worst;
    }

    template <std::size_t Count>
    static std::array<double, Count> max_min_fair_shares(const std::array<double, Count>& demand,
                                                         double capacity) {
        std::array<std::size_t, Count> order{};
        std::iota(order.begin(), order.end(), 0U);
        std::ranges::sort(order, {}, [&](std::size_t each) { return demand[each]; });
        std::array<double, Count> fair{};
        std::size_t left = Count;
        for (const std::size_t each : order) {
            fair[each] = std::min(demand[each], capacity / static_cast<double>(left));
            capacity -= fair[each];
            --left;
        }
        return fair;
    }

    struct local_load {
        std::vector<std::uint64_t> waiting;
        std::uint64_t running = 0;
        control::local_load_limit limit;
    };

    const deployment& deployment_;
    scenario kind_;
    policy policy_;
    std::vector<trace_request> trace_;
    std::vector<request_state> requests_;
    event_queue events_;
    weight_store_model store_;
    control::load_permits permits_;
    std::mt19937_64 random_;
    time_point start_;
    std::vector<std::unique_ptr<agent_model>> agents_;
    std::vector<entry_model> entries_;
    std::vector<std::string> names_;
    std::vector<local_load> local_loads_;
    std::optional<time_point> permit_wakeup_at_;
    bool partitioned_ = false;
    double remote_bytes_ = 0.0;
};

} // namespace

run_metrics run(const deployment& of, scenario kind, policy used, std::uint64_t seed) {
    return simulation{of, kind, used, seed}.run();
}

} // namespace samphiretray::measure

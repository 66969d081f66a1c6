#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/ports/engine.h"
#include "samphiretray/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// Decides to which endpoint an entry sends an attempt. No I/O; the time is an argument.
namespace samphiretray::routing {

/// Location of a process or endpoint.
struct location {
    std::string region;
    std::string data_centre;
};

struct endpoint {
    std::string name;
    /// The base model of an engine, or the name of a plain service. Endpoints of one pool are
    /// interchangeable.
    std::string pool;
    location at;
    /// Relative capacity for rendezvous hashing; greater than zero.
    double weight = 1.0;
};

struct placement_settings {
    duration round_trip_data_centre = 1ms;
    duration round_trip_region = 2ms;
    duration round_trip_remote = 30ms;
    /// Cost of one byte of traffic between regions, expressed as an equivalent delay in nanoseconds.
    double remote_byte_cost_ns = 500.0;
    /// Initial and lowest estimate of the delay of an adapter load.
    duration default_load_time = 250ms;
    /// Added to a cold start outside an adapter's home endpoints: the store's load rate is limited, and the
    /// load evicts another adapter.
    duration non_home_load_cost = 20s;
    /// Added for a resident adapter outside its home endpoints, so that an extra copy falls idle and is
    /// evicted.
    duration non_home_copy_cost = 50ms;
    /// Added for an endpoint at its capacity, and in proportion to the load otherwise; balances endpoints
    /// that have no queue.
    duration busy_cost = 20ms;
    /// Relative weight of endpoints in other regions in rendezvous hashing. Zero: homes are in the own region
    /// while it has live endpoints; one: all entries agree on the same home across the fleet.
    double remote_weight = 1.0;
    /// Concurrent requests that an endpoint is assumed to run until it reports its capacity.
    std::uint32_t default_capacity = 8;
    /// Initial estimate of the time for which a request occupies a place in the batch.
    duration default_service_time = 2s;
    /// Half-life of the weight of a load report.
    duration report_half_life = 2s;
    /// Half-life of the confidence in a residency hint, counted from the last answer.
    duration hint_half_life = 2min;
    /// Maximum number of residency hints; those of the least recently used adapters are dropped first.
    std::size_t max_hints = 200'000;
    /// An endpoint without the adapter that is at its capacity and whose load exceeds this multiple of the
    /// pool's mean ranks after the others.
    double load_bound = 1.25;
    /// An adapter gets one more home endpoint if the estimated wait at all of its homes exceeds this...
    duration add_home_wait = 5s;
    /// ...and one fewer if the load of its homes has been below this fraction of their joint capacity without
    /// the largest of them...
    double remove_home_load_ratio = 0.6;
    /// ...for this time.
    duration remove_home_delay = 30s;
    std::size_t max_homes = 16;
    /// Maximum number of candidates returned for one request.
    std::size_t max_candidates = 4;
};

struct placement_request {
    std::string_view pool;
    /// Empty for plain services.
    ports::adapter_version adapter;
    /// True for a priority customer: the costs that keep an adapter on its home endpoints are not applied, so
    /// that the request goes where it starts earliest.
    bool priority = false;
    /// Expected size of request and answer together.
    std::size_t bytes = 0;
    /// Endpoints of earlier attempts; they come after all others.
    std::span<const std::string> tried;
};

struct candidate {
    std::string_view endpoint;
    /// Estimated time to the first byte, plus the placement costs such as that of traffic between regions.
    duration estimate{};
    /// True if the adapter is probably resident there, or no adapter is needed.
    bool resident = false;
};

/// What an entry learns from the head of an attempt's answer.
struct answer_report {
    std::string_view endpoint;
    ports::adapter_version adapter;
    /// True if the adapter had to be loaded, from `answer_head.cold`.
    bool cold = false;
    /// Time from sending the attempt to the head of its answer.
    duration time_to_head{};
    wire::load_report load;
};

/// Ranks endpoints by estimated cost. Each adapter has one or more home endpoints, selected by weighted
/// rendezvous hashing with bounded loads; loads and copies elsewhere cost extra.
class placement {
public:
    placement(placement_settings settings, location here);
    ~placement();
    placement(const placement&) = delete;
    placement& operator=(const placement&) = delete;
    placement(placement&&) noexcept;
    placement& operator=(placement&&) noexcept;

    /// Replaces the live endpoints. The state of endpoints that remain is kept.
    void replace_endpoints(const std::vector<endpoint>& live);

    using usable_predicate = std::function<bool(std::string_view endpoint)>;

    /// Candidates for one request, best first; empty if the pool has no usable endpoint. `usable` may be
    /// empty; it is called in order of preference until enough candidates are found. The names stay valid
    /// until the next `replace_endpoints`.
    [[nodiscard]] std::vector<candidate> candidates(const placement_request& request, time_point now,
                                                    const usable_predicate& usable = {});

    /// An attempt was sent; every call is followed by one `finished`.
    void sent(std::string_view endpoint);
    /// `occupied` is the time from the head of the answer to its end; `nullopt` without a complete answer.
    void finished(std::string_view endpoint, std::optional<duration> occupied);

    void observe_load(std::string_view endpoint, const wire::load_report& load, time_point now);
    void observe_answer(const answer_report& report, time_point now);
    /// Records the load that a refusal reports. A refusal because of a failed load also removes the residency
    /// hint.
    void observe_refusal(std::string_view endpoint, const ports::adapter_version& adapter,
                         wire::refusal reason, const wire::load_report& load, time_point now);
    /// Removes all residency hints of an endpoint, such as after a restart of its engine.
    void forget_residency(std::string_view endpoint);

    /// Current number of home endpoints of an adapter.
    [[nodiscard]] std::size_t home_count(const ports::adapter_version& adapter) const;
    /// Current estimate of the delay of an adapter load.
    [[nodiscard]] duration load_delay() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace samphiretray::routing

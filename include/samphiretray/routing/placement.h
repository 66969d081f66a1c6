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

/// Decisions of an entry about where an attempt goes. No I/O; the time is an argument.
namespace samphiretray::routing {

/// Where a process or endpoint is.
struct location {
    std::string region;
    std::string data_centre;
};

struct endpoint {
    std::string name;
    /// The base model of an engine, or the service of a plain service. Endpoints of one pool are
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
    /// Price of one byte between regions, expressed as the delay in nanoseconds that it is worth.
    double remote_byte_ns = 500.0;
    /// Load time of an adapter until answers show another one.
    duration load_time = 250ms;
    /// Added to a cold start outside an adapter's home endpoints: the store's rate is scarce, and the load
    /// evicts another adapter.
    duration spread_cost = 20s;
    /// Added to a resident adapter outside its home endpoints, so that an extra copy falls idle and is
    /// evicted.
    duration extra_cost = 50ms;
    /// Added for an endpoint at its capacity, and in proportion below it; balances endpoints without queues.
    duration busy_cost = 20ms;
    /// Relative weight in rendezvous hashing of endpoints in other regions. Zero: homes are in the own region
    /// while it has live endpoints; one: all entries agree on one home in the fleet.
    double remote_weight = 1.0;
    /// Requests an endpoint runs at once until it reports its capacity.
    std::uint32_t capacity = 8;
    /// Time that one request occupies a place in the batch until answers show another one.
    duration service_time = 2s;
    /// A load report loses half of its weight in this time.
    duration report_half_life = 2s;
    /// Trust in a residency hint halves in this time after the last answer.
    duration hint_half_life = 2min;
    /// Residency hints kept at most; the oldest are dropped.
    std::size_t max_hints = 200'000;
    /// An endpoint beyond its capacity and beyond this multiple of the pool's mean load comes last.
    double load_bound = 1.25;
    /// An adapter gets one more home endpoint when all of its homes are estimated to wait longer than this...
    duration grow_wait = 5s;
    /// ...and one less when the load of its homes has filled less than this part of all of them but one...
    double shrink_fill = 0.6;
    /// ...for this time.
    duration shrink_hold = 30s;
    std::size_t max_homes = 16;
    /// Candidates returned for one request.
    std::size_t max_candidates = 4;
};

struct placement_request {
    std::string_view pool;
    /// Empty names for plain services.
    ports::adapter_version adapter;
    /// True for a priority customer: it goes where it starts first, whatever that costs others.
    bool priority = false;
    /// Expected bytes of request and answer together.
    std::size_t bytes = 0;
    /// Endpoints that earlier attempts used; they come after all others.
    std::span<const std::string> tried;
};

struct candidate {
    std::string_view endpoint;
    /// Estimated time to the first byte, including the price of bytes between regions.
    duration estimate{};
    /// True if the adapter is believed to be resident there, or no adapter is needed.
    bool resident = false;
};

/// What an entry learns when an attempt's answer begins.
struct answer_report {
    std::string_view endpoint;
    ports::adapter_version adapter;
    /// From `answer_head.cold`.
    bool cold = false;
    /// Time from sending the attempt to the head of its answer.
    duration time_to_head{};
    wire::load_report load;
};

/// Weighted rendezvous hashing with bounded load, corrected by estimated completion times.
class placement {
public:
    placement(placement_settings settings, location here);
    ~placement();
    placement(const placement&) = delete;
    placement& operator=(const placement&) = delete;
    placement(placement&&) noexcept;
    placement& operator=(placement&&) noexcept;

    /// Replaces the live endpoints. What is known about endpoints that stay is kept.
    void replace_endpoints(const std::vector<endpoint>& live);

    using usable_predicate = std::function<bool(std::string_view endpoint)>;

    /// Candidates for one request, best first; empty if the pool has no usable endpoint. `usable` may be
    /// empty; it is asked in the order of preference until enough candidates are found. The names stay
    /// valid until the next `replace_endpoints`.
    [[nodiscard]] std::vector<candidate> candidates(const placement_request& request, time_point now,
                                                    const usable_predicate& usable = {});

    /// An attempt was sent; every call is followed by one `finished`.
    void sent(std::string_view endpoint);
    /// `occupied` is the time from the head of the answer to its end; nothing if there was no whole answer.
    void finished(std::string_view endpoint, std::optional<duration> occupied);

    void observe_load(std::string_view endpoint, const wire::load_report& load, time_point now);
    void observe_answer(const answer_report& report, time_point now);
    /// A refusal says that the adapter is not resident if its load failed; otherwise only its load counts.
    void observe_refusal(std::string_view endpoint, const ports::adapter_version& adapter,
                         wire::refusal reason, const wire::load_report& load, time_point now);
    /// Forgets all residency hints of an endpoint, as after a restart of its engine.
    void forget_residency(std::string_view endpoint);

    /// Number of home endpoints of an adapter at the moment.
    [[nodiscard]] std::size_t homes(const ports::adapter_version& adapter) const;
    /// The estimated delay of a load at the moment.
    [[nodiscard]] duration load_delay() const noexcept;

private:
    class state;
    std::unique_ptr<state> state_;
};

} // namespace samphiretray::routing

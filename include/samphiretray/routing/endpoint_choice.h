#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/routing/prefix_cache_model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::routing {

struct choice_settings {
    /// Prefill throughput of an engine in prompt tokens per second, from the deployments' data sheets.
    double nominal_prefill_rate = 38'000;
    /// Prefill rate that agents typically measure under load: decoding the running requests and attention
    /// take a third of the nominal rate.
    double typical_measured_rate = 25'000;
    /// An engine whose measured rate is below this fraction of the typical rate counts as slow. Smaller
    /// differences come from the mix of prompts; reacting to them would reload adapters on other engines.
    double slow_rate_ratio = 0.5;
    /// Time to load an adapter that is not resident: between a load from the engine's memory (25 ms) and one
    /// from the store (250 ms).
    duration load_time = 100ms;
    /// Added for an engine where the adapter is not resident and that is not its first home (see
    /// `endpoint_choice`). A load from the store costs about as much as a late answer to a short request, so
    /// an additional copy pays off only if the first home would answer late.
    duration secondary_home_cost = 700ms;
    /// Added on top of `secondary_home_cost` for each position in the adapter's order of homes.
    duration home_rank_cost = 40ms;
    /// Added for each adapter, including the request's own, that waits for a slot in excess of the free ones.
    /// A stream holds its slot for two seconds, so with eight streams one ends every quarter of a second.
    duration slot_wait = 250ms;
    /// Added for each request in flight at an engine: every running request lengthens each step of the batch.
    duration running_request_cost = 1ms;
    /// Added if the engine's KV cache has no room for the request until others end.
    duration kv_full_cost = 700ms;
    /// Initial estimate of the mean service time of a plain service.
    duration plain_service_time = 30ms;
    /// Weight of the newest answer in the moving average of a plain endpoint's service time.
    double plain_service_time_weight = 0.1;
    /// The running requests, free slots and memory reservations of older load reports are ignored.
    duration max_report_age = 3s;
    /// Bounds of an engine's weight as a home of adapters, which is its speed relative to the median engine.
    /// They keep a wrong figure from drawing all adapters to one engine.
    double min_home_weight = 0.5;
    double max_home_weight = 3;
    /// Weights are rounded to multiples of this, so that all entries have the same one in most cases.
    double home_weight_step = 0.5;
};

/// Static properties of an endpoint, known before any request is sent to it.
struct choice_endpoint {
    std::string id;
    /// Listening address. The order of homes hashes it, because it stays the same across restarts.
    std::string address;
    duration round_trip{0};
    /// Requests that the endpoint serves at once; only used for plain services.
    std::uint32_t slots = 1;
    /// KV cache capacity in tokens; zero for plain services.
    std::uint64_t kv_tokens = 0;
    bool is_engine = false;
};

struct choice_request {
    /// Empty for the base model and plain services.
    std::string_view adapter;
    std::string_view version;
    std::span<const prompt_segment> prompt;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;
};

struct choice_candidate {
    std::string id;
    /// Estimated time to the first byte of the answer.
    duration estimate{0};
    bool resident = false;
    /// Prompt tokens expected in the engine's prefix cache, which need no prefill.
    std::uint32_t cached_tokens = 0;
    /// Age of the load report behind the estimate; `nullopt` if there is none.
    std::optional<duration> report_age;
};

/// Load of an engine, as its agent reports it with each answer.
struct engine_load {
    /// Prompt tokens, over all requests, whose prefill is still to be done.
    std::uint64_t backlog_tokens = 0;
    std::uint32_t running = 0;
    /// KV cache tokens reserved by the admitted requests.
    std::uint64_t kv_reserved = 0;
    /// Adapter slots that can take a load now.
    std::uint32_t free_slots = 0;
    /// Adapters that wait for a slot.
    std::uint32_t waiting_adapters = 0;
    /// Recently measured prefill rate in prompt tokens per second; 0 if unknown.
    std::uint32_t prefill_rate = 0;
    /// Resident adapters as "adapter@version".
    std::vector<std::string> resident = {};
    /// How long work takes at the engine, in percent of the usual; 0 if it does not say so.
    std::uint32_t work_time_percent = 0;
};

/// Ranks endpoints by the estimated time to the first byte of an answer: round trip, prefill backlog, load of
/// the adapter, prefill of the tokens that are not in the prefix cache, and lack of KV cache memory.
///
/// Each adapter has an order of home endpoints, given by rendezvous hashing: all entries prefer the same
/// endpoints for it without coordination. Where engines say how long work takes, faster ones are home to more
/// adapters.
class endpoint_choice {
public:
    explicit endpoint_choice(choice_settings settings) : settings_(settings) {}

    /// Adds an endpoint. For a known one, which has restarted, everything but its requests in flight is
    /// reset.
    void add(const choice_endpoint& value);
    void remove(const std::string& id);

    /// Zero if the endpoint is unknown.
    [[nodiscard]] duration round_trip(const std::string& id) const;

    /// The endpoints `ids` in order of preference, without unknown ones.
    [[nodiscard]] std::vector<choice_candidate> order(const choice_request& request,
                                                      std::span<const std::string> ids, time_point now) const;

    /// A request was sent; `token` identifies it in the calls below.
    void sent(const std::string& id, std::uint64_t token, const choice_request& request);
    /// The first byte of the answer has arrived.
    void first_byte_received(const std::string& id, std::uint64_t token);
    /// The request has ended, successfully or not. `took` is its total time, given only for a complete
    /// answer.
    void ended(const std::string& id, std::uint64_t token, std::optional<duration> took);

    void observe_engine(const std::string& id, const engine_load& load, time_point now);
    /// Records the running and waiting requests that a plain endpoint reported.
    void observe_plain(const std::string& id, std::uint32_t running, std::uint32_t waiting, time_point now);
    /// Removes an adapter from those assumed resident, after the endpoint turned out not to hold it.
    void forget_adapter(const std::string& id, std::string_view adapter);

private:
    struct endpoint_state {
        choice_endpoint endpoint;
        prefix_cache_model prefixes{0};
        /// Prompt tokens still to be prefilled for each request of this process that has no first byte yet.
        std::map<std::uint64_t, std::uint64_t> pending_prefill;
        /// Requests of this process that have not ended.
        std::uint32_t in_flight = 0;
        /// Last report of an engine.
        engine_load load;
        /// Last report of a plain endpoint.
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
        std::optional<time_point> reported_at;
        /// Moving average over complete answers of a plain endpoint, without the round trip.
        duration plain_service_time{0};
    };

    [[nodiscard]] double prefill_rate(const endpoint_state& state) const;
    /// How long work takes at an engine relative to the median of all engines; 1 if it does not say so.
    [[nodiscard]] double relative_work_time(const endpoint_state& state) const;
    [[nodiscard]] double home_weight(const endpoint_state& state) const;
    void update_median_work_time(time_point now);
    [[nodiscard]] duration prefill_time(const endpoint_state& state, std::uint64_t tokens) const;
    [[nodiscard]] std::uint64_t backlog(const endpoint_state& state, time_point now) const;
    [[nodiscard]] choice_candidate estimate(const endpoint_state& state, const choice_request& request,
                                            std::size_t home_rank, time_point now) const;
    [[nodiscard]] duration estimate_plain(const endpoint_state& state, bool is_recent) const;
    [[nodiscard]] static bool is_resident(const endpoint_state& state, const choice_request& request);

    choice_settings settings_;
    std::map<std::string, endpoint_state> states_;
    /// In percent of the usual; 0 if no engine says how long work takes.
    std::uint32_t median_work_time_ = 0;
    time_point median_updated_at_;
};

} // namespace samphiretray::routing

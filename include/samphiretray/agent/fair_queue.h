#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/ports/engine.h"
#include "samphiretray/wire/messages.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::agent {

struct queue_settings {
    /// Maximum number of waiting requests; priority requests may exceed it by `priority_extra`.
    std::size_t max_length = 512;
    std::size_t priority_extra = 64;
    /// To keep the engine on one adapter, a request for the adapter that ran last may run before older
    /// requests of the same organisation, at most this many times in a row. Other organisations are not
    /// delayed by it.
    std::uint32_t max_overtakes = 8;
    /// Tokens per second that the endpoint is assumed to serve until its throughput has been measured.
    double initial_rate = 1000.0;
    /// A request is refused at once if its estimated wait exceeds this fraction of the time until its
    /// deadline.
    double deadline_fraction = 0.9;
};

struct queued_request {
    /// Identifies the entry that sent the request, as in `attempt_id`.
    std::uint64_t peer = 0;
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    std::string organisation;
    /// Both names are empty for plain services.
    ports::adapter_version adapter;
    bool priority = false;
    /// Upper bound of the request's cost in tokens.
    std::uint32_t tokens = 0;
    time_point arrived;
    time_point deadline;
};

/// Scale of `fair_queue::load_weight`. Equals the cap on waiting requests in `control::load_permit_issuer`.
inline constexpr std::uint32_t load_weight_scale = 16;

struct push_result {
    /// Set if the request was refused and not queued: `queue_full`, or `deadline` if it is estimated to
    /// start too late.
    std::optional<wire::refusal> refused;
    /// A waiting request that was removed from the full queue to make room for the new one. The caller must
    /// refuse it as `queue_full`.
    std::optional<queued_request> displaced;
};

/// Start-time fair queueing (SFQ) among organisations, with costs in tokens. The priority class is served
/// before the normal class.
class fair_queue {
public:
    explicit fair_queue(queue_settings settings);

    /// Sets the weight of an organisation in fair queueing; the default is 1.
    void set_weight(const std::string& organisation, double weight);

    using runnable_predicate = std::function<bool(const queued_request&)>;

    /// Adds a request or refuses it. `load_delay` is the estimated time until the adapter is resident. The
    /// estimated wait counts only requests that `runnable` accepts, since the others take no place in the
    /// batch until their adapter is loaded. If the queue is full, a request without priority displaces the
    /// newest request of the organisation with the most waiting requests, provided that its own organisation
    /// still has fewer with the new request.
    [[nodiscard]] push_result push(queued_request request, duration load_delay,
                                   const runnable_predicate& runnable, time_point now);

    /// Removes and returns the request to run next among those that `runnable` accepts: priority first, then
    /// the organisation with the lowest start tag, then the order of arrival (except for the adapter that ran
    /// last, see `queue_settings`). Requests that wait for a load are skipped without advancing their
    /// organisation's start tag, so they run as soon as they can.
    [[nodiscard]] std::optional<queued_request> pop(const runnable_predicate& runnable);

    /// Corrects an organisation's start tag once the actual cost of a request is known.
    void settle(const std::string& organisation, bool priority, std::uint32_t estimated,
                std::uint32_t actual);
    /// Updates the estimated throughput: the endpoint served `tokens` during `busy` at full load.
    void record_service(std::uint32_t tokens, duration busy);

    /// Removes and returns all requests that `matches` accepts, for example after a cancellation or the
    /// withdrawal of an API key.
    [[nodiscard]] std::vector<queued_request> remove_if(const runnable_predicate& matches);
    /// Removes and returns the requests whose deadline has passed.
    [[nodiscard]] std::vector<queued_request> expire(time_point now);
    /// The earliest deadline of a waiting request, for a timer.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
    /// Weight of a load of `adapter` relative to other loads. Each organisation distributes
    /// `load_weight_scale` times its weight divided by the mean weight equally over its waiting requests, so
    /// many requests of one organisation cannot crowd out the loads of others.
    [[nodiscard]] std::uint32_t load_weight(const ports::adapter_version& adapter) const;
    /// Number of waiting requests that `matches` accepts.
    [[nodiscard]] std::size_t count_if(const runnable_predicate& matches) const;
    /// Estimated wait of a new request of an organisation that has none waiting, not counting a load: the
    /// time to serve all requests of its class and above that `runnable` accepts.
    [[nodiscard]] duration estimated_wait(bool priority, const runnable_predicate& runnable) const;

private:
    struct flow {
        /// Virtual start time of the organisation's next request.
        double start_tag = 0.0;
        double weight = 1.0;
        std::list<queued_request> waiting;
        /// How often in a row a request ran before the oldest runnable one.
        std::uint32_t overtakes = 0;
    };
    /// Fair queueing state of the priority or the normal class.
    struct service_class {
        std::map<std::string, flow> flows;
        double virtual_time = 0.0;
    };

    using position = std::list<queued_request>::iterator;

    [[nodiscard]] std::optional<queued_request> pop_from(service_class& from,
                                                         const runnable_predicate& runnable);
    [[nodiscard]] position choose(flow& from, const runnable_predicate& runnable, position oldest) const;
    queued_request take(service_class& from, flow& chosen_flow, position chosen, bool is_oldest);
    void remove_matching(service_class& from, const runnable_predicate& matches,
                         std::vector<queued_request>& removed);
    [[nodiscard]] service_class& class_of(bool priority) { return priority ? priority_ : normal_; }
    [[nodiscard]] double mean_weight() const;
    [[nodiscard]] double weight_of(const std::string& organisation) const;
    [[nodiscard]] duration wait_of(const queued_request& request, const runnable_predicate& runnable) const;
    [[nodiscard]] static double runnable_tokens(const flow& from, const runnable_predicate& runnable);
    [[nodiscard]] static double runnable_tokens(const service_class& from,
                                                const runnable_predicate& runnable);
    [[nodiscard]] bool has_room(const queued_request& request) const;
    [[nodiscard]] std::optional<queued_request> displace_for(const queued_request& request);
    void insert(queued_request request);

    queue_settings settings_;
    service_class priority_;
    service_class normal_;
    std::map<std::string, double> weights_;
    ports::adapter_version last_adapter_;
    double tokens_per_s_;
    std::size_t size_ = 0;
};

} // namespace samphiretray::agent

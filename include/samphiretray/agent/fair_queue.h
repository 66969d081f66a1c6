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
    /// Waiting requests at most; a priority request may exceed it by `priority_extra`.
    std::size_t max_length = 512;
    std::size_t priority_extra = 64;
    /// Requests of the same organisation that one on the adapter that ran last may overtake in a row. It
    /// costs other organisations nothing.
    std::uint32_t max_overtaken = 8;
    /// Tokens a second that the endpoint is assumed to serve until completions show another rate.
    double initial_rate = 1000.0;
    /// Requests estimated to start after this part of their time left are refused at once.
    double deadline_part = 0.9;
};

struct queued_request {
    /// Distinguishes entries, as in `attempt_id`.
    std::uint64_t peer = 0;
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    std::string organisation;
    /// Empty names for plain services.
    ports::adapter_version adapter;
    bool priority = false;
    /// Upper bound of the cost.
    std::uint32_t tokens = 0;
    time_point arrived;
    time_point deadline;
};

/// See `fair_queue::load_weight`; the cap on waiting requests in `control::load_permits`.
inline constexpr std::uint32_t load_weight_scale = 16;

struct push_result {
    /// Why the request was refused: `queue_full`, or `deadline` if the estimated wait exceeds the time left.
    /// It was not queued.
    std::optional<wire::refusal> refused;
    /// A waiting request that the new one displaced from a full queue; it is to be refused as `queue_full`.
    std::optional<queued_request> displaced;
};

/// Start-time fair queueing in tokens between organisations, priority class first.
class fair_queue {
public:
    explicit fair_queue(queue_settings settings);

    /// Weight of an organisation's share; 1 unless set.
    void set_weight(const std::string& organisation, double weight);

    using runnable_predicate = std::function<bool(const queued_request&)>;

    /// Adds a request or refuses it. `load_delay` is the estimated time until the adapter is resident. The
    /// estimated wait counts only requests that `runnable` accepts, since the others leave their places in
    /// the batch to it. In a full queue an organisation with less than its share of the places displaces the
    /// newest request of the organisation with the most.
    [[nodiscard]] push_result push(queued_request request, duration load_delay,
                                   const runnable_predicate& runnable, time_point now);

    /// Removes and returns the request to run next among those that `runnable` accepts: priority first, then
    /// the organisation with the lowest start tag, then the order of arrival. Requests that wait for a load
    /// are skipped and keep their organisation's tag, so they run as soon as they can.
    [[nodiscard]] std::optional<queued_request> pop(const runnable_predicate& runnable);

    /// Corrects an organisation's tag once the real cost is known.
    void settle(const std::string& organisation, bool priority, std::uint32_t estimated,
                std::uint32_t actual);
    /// Learns the rate at which the endpoint serves tokens while it is busy.
    void served(std::uint32_t tokens, duration busy);

    /// Removes all requests that `matches` accepts: cancels, withdrawn keys.
    [[nodiscard]] std::vector<queued_request> remove_if(const runnable_predicate& matches);
    /// Removes the requests whose deadline has passed.
    [[nodiscard]] std::vector<queued_request> expire(time_point now);
    /// The earliest deadline of a waiting request, for a timer.
    [[nodiscard]] std::optional<time_point> next_deadline() const;

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
    /// Weight of a load of `adapter`: an organisation has `load_weight_scale` times its weight over the mean
    /// weight in all, in equal parts for its waiting requests, so that many requests of one organisation do
    /// not crowd out the loads of others.
    [[nodiscard]] std::uint32_t load_weight(const ports::adapter_version& adapter) const;
    /// Number of waiting requests that `matches` accepts.
    [[nodiscard]] std::size_t count_if(const runnable_predicate& matches) const;
    /// Estimated wait of a new request of a new organisation, without a load. Counts requests that `runnable`
    /// accepts.
    [[nodiscard]] duration estimated_wait(bool priority, const runnable_predicate& runnable) const;

private:
    struct flow {
        /// Virtual time at which the organisation's next request starts.
        double tag = 0.0;
        double weight = 1.0;
        std::list<queued_request> waiting;
        /// Requests in a row that overtook the oldest runnable one.
        std::uint32_t overtaken = 0;
    };
    /// One fair queue for each class; the priority class comes first.
    struct service_class {
        std::map<std::string, flow> flows;
        double virtual_time = 0.0;
    };

    using position = std::list<queued_request>::iterator;

    [[nodiscard]] std::optional<queued_request> pop_from(service_class& from,
                                                         const runnable_predicate& runnable);
    [[nodiscard]] position choose(flow& of, const runnable_predicate& runnable, position oldest) const;
    queued_request take(service_class& from, flow& of, position chosen, bool oldest);
    void remove_matching(service_class& from, const runnable_predicate& matches,
                         std::vector<queued_request>& removed);
    [[nodiscard]] service_class& class_of(bool priority) { return priority ? priority_ : normal_; }
    [[nodiscard]] double mean_weight() const;
    [[nodiscard]] double weight_of(const std::string& organisation) const;
    [[nodiscard]] duration wait_of(const queued_request& request, const runnable_predicate& runnable) const;
    [[nodiscard]] static double runnable_tokens(const flow& of, const runnable_predicate& runnable);
    [[nodiscard]] static double runnable_tokens(const service_class& of, const runnable_predicate& runnable);
    [[nodiscard]] bool has_room(const queued_request& request) const;
    [[nodiscard]] std::optional<queued_request> displace_for(const queued_request& request);
    void insert(queued_request request);

    queue_settings settings_;
    service_class priority_;
    service_class normal_;
    std::map<std::string, double> weights_;
    ports::adapter_version last_adapter_;
    double rate_;
    std::size_t size_ = 0;
};

} // namespace samphiretray::agent

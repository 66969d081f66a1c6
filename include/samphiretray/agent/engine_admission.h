#pragma once

#include "samphiretray/agent/prefill_rate_estimator.h"
#include "samphiretray/base/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace samphiretray::agent {

struct admission_settings {
    prefill_rate_settings prefill{};
    /// Fraction of the engine's KV cache memory that admitted requests may need together. The rest is a
    /// margin for what the stated lengths leave out: if the memory overflowed, the engine would preempt a
    /// running stream.
    double memory_fraction = 0.95;
    /// Maximum number of prompt tokens that are queued for prefill at the engine, unless one request alone
    /// has more. The engine processes prompts in the order of arrival; further requests wait in this queue,
    /// where urgent ones can overtake.
    std::uint64_t max_pending_prefill_tokens = 10'000;
    /// Added to the expected wait of a request for which the engine has not enough free memory.
    duration memory_wait = 500ms;
    /// Maximum number of waiting requests.
    std::size_t max_waiting = 256;
    /// Window over which the rate at which late requests start is measured.
    duration late_rate_window = 2s;
    /// Lower bound of that rate, in starts per second; used while few or none have started.
    double min_late_rate = 1.0;
};

struct admission_request {
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    std::uint32_t urgency = 5;
    /// Prompt tokens that the engine has to prefill, that is, those not in its prefix cache.
    std::uint32_t prefill_tokens = 0;
    /// KV cache tokens that the request occupies at its end.
    std::uint64_t memory_tokens = 0;
    time_point arrived;
    time_point deadline;
    /// The first byte of the answer is late after this time.
    time_point first_byte_deadline;
    /// True if the request's adapter has to be loaded first.
    bool needs_load = false;
};

/// Order of service; the lowest rank is served first. Requests that will miss their first-byte deadline come
/// after those that can still meet it: under overload, serving in the order of arrival would make all
/// requests late.
struct service_rank {
    bool late = false;
    std::uint32_t urgency = 0;
    time_point deadline;

    friend auto operator<=>(const service_rank&, const service_rank&) = default;
};

/// Decides which requests an engine runs. Admits a request only if the engine's batch and KV cache memory
/// have room for it until its end.
class engine_admission {
public:
    explicit engine_admission(admission_settings settings)
        : settings_(settings), prefill_rate_(settings.prefill) {}

    void set_capacity(std::uint32_t batch, std::uint64_t memory_tokens);

    /// `preparation` is the time until the engine can begin the prefill, for example to load the adapter.
    [[nodiscard]] service_rank rank(const admission_request& request, duration preparation,
                                    time_point now) const;
    /// Expected time until the engine would begin the prefill of a new request, not counting the load of its
    /// adapter.
    [[nodiscard]] duration expected_wait(const admission_request& request, time_point now) const;
    [[nodiscard]] const prefill_rate_estimator& prefill_rate() const noexcept { return prefill_rate_; }
    /// Adds a request to the queue; false if the queue is full.
    [[nodiscard]] bool enqueue(const admission_request& request);

    using predicate = std::function<bool(std::uint64_t id)>;
    /// The next request to run among those that `runnable` accepts, which counts as running from now on.
    /// Empty if there is none or the engine has no room for it.
    [[nodiscard]] std::optional<std::uint64_t> next(const predicate& runnable, time_point now);
    /// Removes and returns the waiting requests whose deadline has passed.
    [[nodiscard]] std::vector<std::uint64_t> expire(time_point now);
    /// Waiting late requests that, at the current rate of starts of late requests, would get no first byte
    /// before their deadline. They stay in the queue until the caller removes them.
    [[nodiscard]] std::vector<std::uint64_t> expected_to_expire(time_point now) const;

    /// Changes whether a waiting request needs a load before it can run.
    void set_needs_load(std::uint64_t id, bool needs_load);
    /// Records the end of a request's prefill.
    void on_prefill_done(std::uint64_t id, time_point now);
    /// Removes a waiting or running request.
    void remove(std::uint64_t id);
    /// Resets the estimated prefill rate after a restart of the engine.
    void on_engine_restart() { prefill_rate_.reset(); }

    [[nodiscard]] std::uint64_t backlog_tokens() const noexcept {
        return waiting_prefill_tokens_ + pending_prefill_tokens_;
    }
    [[nodiscard]] std::uint64_t reserved_memory() const noexcept { return reserved_memory_; }
    [[nodiscard]] std::size_t running_count() const noexcept { return running_.size(); }
    [[nodiscard]] std::size_t waiting_count() const noexcept { return waiting_.size(); }

private:
    struct running_request {
        admission_request request;
        time_point started;
    };

    [[nodiscard]] bool fits(const admission_request& request) const;
    [[nodiscard]] double late_rate(bool needs_load, time_point now) const;
    void clear_prefill(admission_request& request);

    admission_settings settings_;
    prefill_rate_estimator prefill_rate_;
    std::uint32_t batch_capacity_ = 64;
    std::uint64_t memory_capacity_ = 0;
    std::uint64_t reserved_memory_ = 0;
    std::uint64_t waiting_prefill_tokens_ = 0;
    std::uint64_t pending_prefill_tokens_ = 0;
    /// The engine prefills one prompt after another, so a prefill starts no earlier than this.
    time_point last_prefill_end_;
    /// Recent starts of late requests: at index 1 those whose adapter had to be loaded, at 0 the others.
    std::array<std::deque<time_point>, 2> late_starts_;
    /// In the order of arrival.
    std::list<admission_request> waiting_;
    std::map<std::uint64_t, running_request> running_;
};

} // namespace samphiretray::agent

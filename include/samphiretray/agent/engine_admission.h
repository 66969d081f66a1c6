#pragma once

#include "samphiretray/base/time.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

namespace samphiretray::agent {

struct admission_settings {
    /// Prompt tokens that the engine reads in a millisecond; the figure on the deployments' data sheets.
    double prefill_tokens_per_ms = 38.0;
    /// Part of the engine's memory that admitted requests may need together. The rest covers what the stated
    /// lengths leave out; beyond the whole the engine would preempt a running stream.
    double memory_part = 0.95;
    /// Prompt tokens given to the engine and not yet read, unless one request alone has more. The engine
    /// reads prompts in the order in which it got them; the others wait here, where the urgent ones pass.
    std::uint64_t unread_window = 10'000;
    /// Expected wait for memory when it is short.
    duration memory_wait = 500ms;
    /// Requests waiting here at most.
    std::size_t max_waiting = 256;
};

struct admission_request {
    std::uint64_t id = 0;
    /// 0 is the most urgent.
    std::uint32_t urgency = 5;
    /// Prompt tokens that the engine has to read.
    std::uint32_t unread_tokens = 0;
    /// Tokens that the request needs in memory at its end.
    std::uint64_t memory_tokens = 0;
    time_point arrived;
    time_point deadline;
};

/// Decides which requests an engine works on: in the order of urgency and arrival, as far as its batch and
/// its memory hold them to their end.
class engine_admission {
public:
    explicit engine_admission(admission_settings settings) : settings_(settings) {}

    void set_capacity(std::uint32_t batch, std::uint64_t memory_tokens);

    /// Expected time until the engine would begin to read a new request, without the load of its adapter.
    [[nodiscard]] duration expected_wait(const admission_request& request) const;
    [[nodiscard]] duration reading_time(std::uint64_t tokens) const;
    /// False if too many wait.
    [[nodiscard]] bool enqueue(const admission_request& request);

    using predicate = std::function<bool(std::uint64_t id)>;
    /// The next request to run among those that `runnable` accepts; it counts as running from now on.
    [[nodiscard]] std::optional<std::uint64_t> next(const predicate& runnable);
    /// Waiting requests whose deadline has passed; they are removed.
    [[nodiscard]] std::vector<std::uint64_t> expire(time_point now);

    /// The engine has read the prompt.
    void read(std::uint64_t id);
    /// The request has left, waiting or running.
    void remove(std::uint64_t id);

    [[nodiscard]] std::uint64_t backlog_tokens() const noexcept { return waiting_tokens_ + unread_tokens_; }
    [[nodiscard]] std::uint64_t reserved_memory() const noexcept { return reserved_; }
    [[nodiscard]] std::size_t running_count() const noexcept { return running_.size(); }
    [[nodiscard]] std::size_t waiting_count() const noexcept { return waiting_.size(); }

private:
    [[nodiscard]] bool fits(const admission_request& request) const;

    admission_settings settings_;
    std::uint32_t batch_ = 64;
    std::uint64_t memory_ = 0;
    std::uint64_t reserved_ = 0;
    std::uint64_t waiting_tokens_ = 0;
    std::uint64_t unread_tokens_ = 0;
    /// In the order in which they are to run.
    std::list<admission_request> waiting_;
    std::map<std::uint64_t, admission_request> running_;
};

} // namespace samphiretray::agent

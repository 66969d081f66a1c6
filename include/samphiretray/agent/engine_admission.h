#pragma once

#include "samphiretray/agent/reading_speed.h"
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
    reading_speed_settings reading{};
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
    /// Starts of late requests in this time tell how many of them the engine gets to.
    duration late_window = 2s;
    /// Starts of late requests a second, at least, that are expected without evidence.
    double least_late_rate = 1.0;
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
    /// An answer that begins later is late.
    time_point due;
    /// Its adapter is not loaded yet.
    bool needs_load = false;
};

/// Order of service; the least comes first. Requests whose answer is late in any case yield to those that can
/// still be in time: when work arrives faster than the engine does it, all would be late otherwise.
struct service_rank {
    bool late = false;
    std::uint32_t urgency = 0;
    time_point by;

    friend auto operator<=>(const service_rank&, const service_rank&) = default;
};

/// Decides which requests an engine works on, as far as its batch and its memory hold them to their end.
class engine_admission {
public:
    explicit engine_admission(admission_settings settings) : settings_(settings), speed_(settings.reading) {}

    void set_capacity(std::uint32_t batch, std::uint64_t memory_tokens);

    /// `preparation` is the time until the engine can begin to read the request, as the load of its adapter.
    [[nodiscard]] service_rank rank(const admission_request& request, duration preparation,
                                    time_point now) const;
    /// Expected time until the engine would begin to read a new request, without the load of its adapter.
    [[nodiscard]] duration expected_wait(const admission_request& request, time_point now) const;
    [[nodiscard]] const reading_speed& speed() const noexcept { return speed_; }
    /// False if too many wait.
    [[nodiscard]] bool enqueue(const admission_request& request);

    using predicate = std::function<bool(std::uint64_t id)>;
    /// The next request to run among those that `runnable` accepts; it counts as running from now on.
    [[nodiscard]] std::optional<std::uint64_t> next(const predicate& runnable, time_point now);
    /// Waiting requests whose deadline has passed; they are removed.
    [[nodiscard]] std::vector<std::uint64_t> expire(time_point now);
    /// Waiting requests that are late and, as fast as the engine gets to late ones, would not be begun before
    /// their deadline. They stay until they are removed.
    [[nodiscard]] std::vector<std::uint64_t> hopeless(time_point now) const;

    /// The engine has read the prompt.
    void read(std::uint64_t id, time_point now);
    /// The request has left, waiting or running.
    void remove(std::uint64_t id);
    /// The engine has restarted: its speed is learned anew.
    void restarted() { speed_.reset(); }

    [[nodiscard]] std::uint64_t backlog_tokens() const noexcept { return waiting_tokens_ + unread_tokens_; }
    [[nodiscard]] std::uint64_t reserved_memory() const noexcept { return reserved_; }
    [[nodiscard]] std::size_t running_count() const noexcept { return running_.size(); }
    [[nodiscard]] std::size_t waiting_count() const noexcept { return waiting_.size(); }

private:
    struct running_request {
        admission_request request;
        time_point started;
    };

    [[nodiscard]] bool fits(const admission_request& request) const;
    [[nodiscard]] double late_rate(bool needs_load, time_point now) const;
    void forget_unread(admission_request& request);

    admission_settings settings_;
    reading_speed speed_;
    std::uint32_t batch_ = 64;
    std::uint64_t memory_ = 0;
    std::uint64_t reserved_ = 0;
    std::uint64_t waiting_tokens_ = 0;
    std::uint64_t unread_tokens_ = 0;
    /// End of the last read; the engine reads one prompt after another.
    time_point last_read_;
    /// Starts of late requests, those whose adapter had to be loaded apart.
    std::array<std::deque<time_point>, 2> late_starts_;
    /// In the order of arrival.
    std::list<admission_request> waiting_;
    std::map<std::uint64_t, running_request> running_;
};

} // namespace samphiretray::agent

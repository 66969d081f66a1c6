#pragma once

#include "samphiretray/base/time.h"

#include "standins/answer_text.h"
#include "standins/prefix_cache.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::standins {

struct batch_options {
    /// Maximum number of requests in the batch.
    std::uint32_t batch = 16;
    /// Time of one step, which generates one token for each running request: a fixed part and a part for each
    /// running request.
    duration step_base = 8ms;
    duration step_per_request = 300us;
    /// Time for each prompt token that is not in the prefix cache, added to the step that admits the request.
    duration prefill_per_token = 40us;
    /// Capacity of the prefix cache.
    std::size_t prefix_blocks = 512;
};

struct batch_request {
    /// `<adapter>@<version>`.
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 16;
    /// Requests with higher values are admitted first.
    int priority = 0;
};

struct batch_event {
    enum class kind { token, finished, aborted };
    kind what = kind::token;
    std::uint64_t request = 0;
    /// Set for `token` events only.
    std::string text{};
    /// This and the following fields are set for `finished` events only.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t completion_tokens = 0;
    bool reached_limit = false;
};

struct batch_counters {
    std::uint64_t steps = 0;
    std::uint64_t tokens = 0;
    std::uint64_t finished = 0;
    std::uint64_t aborted = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_prompt_tokens = 0;
};

/// Simulates continuous batching: requests join and leave the batch between steps.
class batch_scheduler {
public:
    explicit batch_scheduler(const batch_options& options);

    std::uint64_t submit(batch_request request, time_point now);
    /// Removes the request from the batch or the queue without an event. Does nothing for unknown requests.
    void cancel(std::uint64_t request);
    /// Ends all requests for `model` with an `aborted` event.
    void abort_model(const std::string& model);
    /// Ends all requests with an `aborted` event and clears the prefix cache.
    void abort_all();

    /// Runs all steps that end by `now` and returns the events since the last call.
    [[nodiscard]] std::vector<batch_event> advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const;

    void pause();
    void resume(time_point now);

    /// Number of running and waiting requests for `model`.
    [[nodiscard]] std::size_t requests_for(const std::string& model) const;
    [[nodiscard]] std::size_t running() const noexcept { return running_.size(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] const batch_counters& counters() const noexcept { return counters_; }

private:
    struct entry {
        batch_request request;
        answer_generator answer;
        std::uint32_t produced = 0;
    };
    using entries = std::map<std::uint64_t, entry>;

    void begin_step(time_point start);
    void end_step();
    /// Moves waiting requests into the batch; returns the number of their prompt tokens that are not cached.
    std::uint32_t admit();
    [[nodiscard]] entries::iterator next_waiting();
    void produce(std::uint64_t id, entry& item);
    template <typename Predicate>
    void abort_if(Predicate matches);

    batch_options options_;
    prefix_cache prefixes_;
    entries waiting_;
    entries running_;
    std::vector<batch_event> events_;
    std::optional<time_point> step_end_;
    bool paused_ = false;
    std::uint64_t last_request_ = 0;
    batch_counters counters_;
};

} // namespace samphiretray::standins

#pragma once

#include "samphiretray/base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace samphiretray::measure {

/// Discrete-event queue in virtual time. Events with the same time run in the order in which they were added.
class event_queue {
public:
    using action = std::function<void()>;

    [[nodiscard]] time_point now() const noexcept { return now_; }
    void at(time_point when, action run) { events_.push({when, next_++, std::move(run)}); }
    void after(duration delay, action run) { at(now_ + delay, std::move(run)); }

    void run_until(time_point end) {
        while (!events_.empty() && events_.top().when <= end) {
            event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.run();
        }
        now_ = end;
    }

private:
    struct event {
        time_point when;
        std::uint64_t number = 0;
        action run;

        bool operator<(const event& other) const {
            return std::pair{when, number} > std::pair{other.when, other.number};
        }
    };

    time_point now_{1000s};
    std::uint64_t next_ = 0;
    std::priority_queue<event> events_;
};

} // namespace samphiretray::measure

#pragma once

#include "samphiretray/net/loop.h"
#include "samphiretray/ports/shared_store.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace samphiretray::node {

struct follower_settings {
    std::string prefix;
    /// Shortest time between the starts of two watches, so that frequent changes are read in batches.
    duration min_watch_interval = 0ms;
    /// Longest time that one watch waits. A connection can stop delivering data without an error, so this
    /// limits how long changes stay unnoticed.
    duration max_watch_wait = 3s;
    /// The same for watches after a failure: short, so that the end of an outage is noticed soon.
    duration recovery_watch_wait = 50ms;
    /// Base of the delay after a failed call: the delay doubles with each further failure in a row, up to
    /// `max_backoff`. The first failure is retried after 1 ms.
    duration base_backoff = 100ms;
    duration max_backoff = 800ms;
    /// For this long after the end of an outage, removals are reported as `after_outage`.
    duration outage_grace_period = 3s;
};

struct follower_events {
    std::function<void(const ports::store_change& change, bool after_outage)> on_change;
    /// Called after each listing, once all of its keys have been reported.
    std::function<void()> on_synchronized;
};

/// Reports all keys below a prefix and their changes: lists the keys, then watches, and lists again if the
/// store has dropped the history since the last read or has been restored from an older copy. A known key
/// that a new listing lacks is reported as removed.
template <ports::watched_store Store>
class prefix_follower {
public:
    prefix_follower(net::loop& events, Store& store, follower_settings settings, follower_events handlers);
    prefix_follower(const prefix_follower&) = delete;
    prefix_follower& operator=(const prefix_follower&) = delete;
    ~prefix_follower() = default;

    void start() { list(); }
    [[nodiscard]] bool is_synchronized() const noexcept { return synchronized_; }
    /// False while calls fail.
    [[nodiscard]] bool is_connected() const noexcept { return failures_ == 0; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    /// Time since the store last answered.
    [[nodiscard]] duration age() const { return loop_.now() - last_answer_at_; }
    /// The changes of the last answer were made after this; nothing if it was the first answer.
    [[nodiscard]] std::optional<time_point> changes_since() const noexcept { return changes_since_; }

private:
    void list();
    void watch();
    void apply(const ports::store_listing& listing);
    void apply(const ports::store_changes& changes);
    void report(const ports::store_change& change);
    void on_success(duration data_age);
    void on_failure(const error& failure);
    /// The history that the last read belongs to is gone.
    void on_history_lost(std::uint64_t era);
    [[nodiscard]] duration backoff(std::uint32_t failures) const;
    void schedule(duration delay, void (prefix_follower::*next)());

    net::loop& loop_;
    Store& store_;
    follower_settings settings_;
    follower_events handlers_;
    std::set<std::string> known_keys_;
    std::uint64_t revision_ = 0;
    std::uint64_t era_ = 0;
    std::uint32_t failures_ = 0;
    /// Watches in a row that were refused because the history was gone.
    std::uint32_t lost_histories_ = 0;
    bool synchronized_ = false;
    time_point requested_at_;
    time_point last_answer_at_;
    /// When the data of the last answer was known to be current.
    std::optional<time_point> current_at_;
    std::optional<time_point> changes_since_;
    time_point outage_began_at_;
    std::optional<time_point> outage_ended_at_;
    net::timer_handle timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node

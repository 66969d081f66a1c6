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
    /// Least time between two watches. Keys that change all the time are read at this pace instead of change
    /// by change.
    duration pace = 0ms;
    /// Time that one watch waits. Connections can fall silent without an error, so a watch bounds how long
    /// changes stay unseen.
    duration wait = 3s;
    /// Time that the first watch after a failure waits, so that the end of an outage is known soon.
    duration recheck_wait = 50ms;
    /// Wait after a failed call; doubles up to `max_backoff`.
    duration backoff = 100ms;
    duration max_backoff = 800ms;
    /// For this long after the end of an outage, removals are reported as `after_outage`.
    duration outage_memory = 3s;
};

struct follower_events {
    std::function<void(const ports::store_change& change, bool after_outage)> on_change;
    /// All keys have been reported once.
    std::function<void()> on_synchronized;
};

/// Keeps up with all keys below a prefix: lists them, then watches; lists again when the store has dropped
/// history. A key that is missing from a new listing is reported as removed.
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
    [[nodiscard]] bool in_contact() const noexcept { return failures_ == 0; }
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }
    /// Time since the store last answered.
    [[nodiscard]] duration age() const { return loop_.now() - answered_at_; }

private:
    void list();
    void watch();
    void apply(const ports::store_listing& listing);
    void apply(const ports::store_changes& changes);
    void report(const ports::store_change& change);
    void succeeded();
    void failed(const error& failure);
    void after(duration delay, void (prefix_follower::*next)());

    net::loop& loop_;
    Store& store_;
    follower_settings settings_;
    follower_events handlers_;
    std::set<std::string> known_;
    std::uint64_t revision_ = 0;
    std::uint32_t failures_ = 0;
    bool synchronized_ = false;
    time_point asked_at_;
    time_point answered_at_;
    time_point lost_at_;
    std::optional<time_point> regained_at_;
    net::timer_handle timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node

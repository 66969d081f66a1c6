#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/node/prefix_follower.h"

#include <algorithm>
#include <utility>

namespace samphiretray::node {

/// Number of failed calls in a row that count as an outage; a single failure is often just a closed
/// connection.
inline constexpr std::uint32_t outage_threshold = 2;

template <ports::watched_store Store>
prefix_follower<Store>::prefix_follower(net::loop& events, Store& store, follower_settings settings,
                                        follower_events handlers)
    : loop_(events), store_(store), settings_(std::move(settings)), handlers_(std::move(handlers)),
      last_answer_at_(events.now()), outage_began_at_(events.now()) {}

template <ports::watched_store Store>
void prefix_follower<Store>::schedule(duration delay, void (prefix_follower::*next)()) {
    timer_ = loop_.after(delay, [this, next] { (this->*next)(); });
}

template <ports::watched_store Store>
void prefix_follower<Store>::list() {
    requested_at_ = loop_.now();
    store_.list(settings_.prefix, [this, weak = std::weak_ptr{alive_}](result<ports::store_listing> listing) {
        if (weak.expired()) {
            return;
        }
        if (!listing) {
            on_failure(listing.error());
            return;
        }
        // A peer that answers for the store may know less than this process has reported.
        if (std::pair{listing->era, listing->revision} < std::pair{era_, revision_}) {
            on_failure(make_error(errc::unavailable, step::receive, "store",
                                  "the listing is older than the last read"));
            return;
        }
        on_success(listing->age);
        apply(*listing);
        schedule(settings_.min_watch_interval, &prefix_follower::watch);
    });
}

template <ports::watched_store Store>
void prefix_follower<Store>::watch() {
    requested_at_ = loop_.now();
    const duration wait = is_connected() ? settings_.max_watch_wait : settings_.recovery_watch_wait;
    store_.watch(settings_.prefix, revision_, wait,
                 [this, weak = std::weak_ptr{alive_}](result<ports::store_changes> changes) {
                     if (weak.expired()) {
                         return;
                     }
                     if (!changes) {
                         on_failure(changes.error());
                         return;
                     }
                     if (changes->era != era_) {
                         on_history_lost(changes->era);
                         return;
                     }
                     on_success(changes->age);
                     lost_histories_ = 0;
                     apply(*changes);
                     const duration elapsed = loop_.now() - requested_at_;
                     schedule(std::max<duration>(settings_.min_watch_interval - elapsed, 0ms),
                              &prefix_follower::watch);
                 });
}

template <ports::watched_store Store>
void prefix_follower<Store>::apply(const ports::store_listing& listing) {
    if (synchronized_ && listing.era != era_) {
        log_event(log_level::warning, "store_era_changed",
                  {{"prefix", settings_.prefix},
                   {"era", listing.era},
                   {"revision", listing.revision},
                   {"revision_before", revision_}});
        // Keys that the copy lacks are written again, like those that expire during an outage.
        outage_ended_at_ = loop_.now();
        revision_ = 0;
    }
    era_ = listing.era;
    std::set<std::string> present;
    for (const ports::stored_item& item : listing.items) {
        present.insert(item.key);
        report({item.key, item.value, item.revision});
    }
    std::set<std::string> missing;
    std::ranges::set_difference(known_keys_, present, std::inserter(missing, missing.end()));
    for (const std::string& key : missing) {
        report({key, std::nullopt, listing.revision});
    }
    revision_ = std::max(revision_, listing.revision);
    if (!std::exchange(synchronized_, true)) {
        log_event(log_level::info, "store_prefix_read",
                  {{"prefix", settings_.prefix}, {"keys", known_keys_.size()}, {"revision", revision_}});
    }
    handlers_.on_synchronized();
}

template <ports::watched_store Store>
void prefix_follower<Store>::apply(const ports::store_changes& changes) {
    for (const ports::store_change& change : changes.changes) {
        report(change);
    }
    revision_ = std::max(revision_, changes.revision);
}

template <ports::watched_store Store>
void prefix_follower<Store>::report(const ports::store_change& change) {
    if (change.value) {
        known_keys_.insert(change.key);
    } else {
        known_keys_.erase(change.key);
    }
    const bool after_outage =
        outage_ended_at_ && loop_.now() - *outage_ended_at_ <= settings_.outage_grace_period;
    handlers_.on_change(change, after_outage);
}

template <ports::watched_store Store>
void prefix_follower<Store>::on_success(duration data_age) {
    const time_point now = loop_.now();
    changes_since_ = std::exchange(current_at_, std::min(requested_at_, now - data_age));
    if (failures_ >= outage_threshold) {
        outage_ended_at_ = now;
        log_event(log_level::info, "store_regained",
                  {{"prefix", settings_.prefix},
                   {"after_ms", milliseconds_in(now - outage_began_at_)},
                   {"revision", revision_}});
    }
    failures_ = 0;
    last_answer_at_ = now;
}

template <ports::watched_store Store>
void prefix_follower<Store>::on_history_lost(std::uint64_t era) {
    log_event(log_level::warning, "store_history_dropped",
              {{"prefix", settings_.prefix}, {"revision", revision_}, {"era", era_}, {"store_era", era}});
    schedule(lost_histories_ == 0 ? duration{0} : backoff(lost_histories_), &prefix_follower::list);
    ++lost_histories_;
}

template <ports::watched_store Store>
duration prefix_follower<Store>::backoff(std::uint32_t failures) const {
    return std::min(settings_.max_backoff, settings_.base_backoff * (1U << std::min(failures - 1, 8U)));
}

template <ports::watched_store Store>
void prefix_follower<Store>::on_failure(const error& failure) {
    // Changes that are too large for one answer will be so again; a listing comes in pages.
    if (failure.code == errc::stale_revision || (synchronized_ && failure.code == errc::too_large)) {
        on_history_lost(era_);
        return;
    }
    if (failures_ == 0) {
        outage_began_at_ = loop_.now();
    }
    if (++failures_ == outage_threshold) {
        log_event(log_level::warning, "store_lost",
                  {{"prefix", settings_.prefix},
                   {"revision", revision_},
                   {"age_ms", milliseconds_in(age())},
                   {"failure", to_string(failure)}});
    }
    schedule(failures_ == 1 ? duration{1ms} : backoff(failures_),
             synchronized_ ? &prefix_follower::watch : &prefix_follower::list);
}

} // namespace samphiretray::node

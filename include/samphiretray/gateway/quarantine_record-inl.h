#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/gateway/crash_report.h"
#include "samphiretray/gateway/quarantine_record.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiretray::gateway {

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::read() {
    if (!is_reading_ && loop_.now() >= rests_until_) {
        is_reading_ = true;
        list();
    }
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::list() {
    read_began_at_ = loop_.now();
    store_.list(std::string{prefix}, [this, weak = std::weak_ptr{alive_}](
                                         const result<ports::store_listing>& listing) {
        if (weak.expired()) {
            return;
        }
        if (listing) {
            on_listing(*listing);
            return;
        }
        log_event(log_level::debug, "quarantine_record_not_read", {{"failure", to_string(listing.error())}});
        timer_ = loop_.after(retry_delay, [this] { list(); });
    });
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::on_listing(const ports::store_listing& listing) {
    // Revisions of different eras cannot be compared.
    if (std::exchange(era_, listing.era) != listing.era) {
        known_revisions_.clear();
    }
    std::ranges::copy_if(listing.items, std::back_inserter(pending_records_),
                         [this](const ports::stored_item& each) {
                             const auto known = known_revisions_.find(each.key);
                             return known == known_revisions_.end() || known->second != each.revision;
                         });
    take_up_next();
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::take_up_next() {
    if (pending_records_.empty()) {
        on_read_ended();
        return;
    }
    take_up(pending_records_.front());
    pending_records_.pop_front();
    loop_.post([this, weak = std::weak_ptr{alive_}] {
        if (!weak.expired()) {
            take_up_next();
        }
    });
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::take_up(const ports::stored_item& item) {
    known_revisions_[item.key] = item.revision;
    const auto recorded = decode_recorded_evidence(item.value, item.key, wall_clock_milliseconds());
    if (!recorded) {
        log_event(log_level::warning, "quarantine_record_unreadable",
                  {{"key", item.key}, {"failure", to_string(recorded.error())}});
        return;
    }
    log_event(log_level::info, "quarantine_record_read",
              {{"key", item.key},
               {"revision", item.revision},
               {"crashes", recorded->crashes.crashes.size()},
               {"requests", recorded->requests.requests.size()}});
    quarantine_.merge(recorded->crashes, loop_.now());
    requests_.merge(recorded->requests, loop_.now());
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::on_read_ended() {
    const time_point now = loop_.now();
    is_reading_ = false;
    rests_until_ = now + std::min(rest_factor * (now - read_began_at_), max_rest);
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::write() {
    if (std::exchange(is_writing_, true)) {
        is_outdated_ = true;
        return;
    }
    is_outdated_ = false;
    store_.grant_lease(lease_duration, [this,
                                        weak = std::weak_ptr{alive_}](const result<std::uint64_t>& lease) {
        if (weak.expired()) {
            return;
        }
        if (!lease) {
            on_written(lease);
            return;
        }
        const time_point now = loop_.now();
        const std::string value =
            encode_recorded_evidence({quarantine_.supporting_evidence(now), requests_.evidence_after(0, now)},
                                     wall_clock_milliseconds());
        store_.put(key_, value, *lease, [this, weak](const result<std::uint64_t>& revision) {
            if (!weak.expired()) {
                on_written(revision);
            }
        });
    });
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::on_written(const result<std::uint64_t>& outcome) {
    is_writing_ = false;
    if (outcome) {
        known_revisions_[key_] = *outcome;
    } else {
        log_event(log_level::warning, "quarantine_record_not_written",
                  {{"key", key_}, {"failure", to_string(outcome.error())}});
    }
    if (is_outdated_ || !outcome) {
        write_timer_ = loop_.after(write_retry_delay, [this] { write(); });
    }
}

} // namespace samphiretray::gateway

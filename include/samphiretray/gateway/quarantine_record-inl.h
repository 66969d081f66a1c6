#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/gateway/crash_report.h"
#include "samphiretray/gateway/quarantine_record.h"

#include <utility>

namespace samphiretray::gateway {

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::read() {
    if (!std::exchange(is_reading_, true)) {
        list();
    }
}

template <typename Store>
    requires ports::watched_store<Store> && ports::leased_store<Store>
void quarantine_record<Store>::list() {
    store_.list(std::string{prefix}, [this, weak = std::weak_ptr{alive_}](
                                         const result<ports::store_listing>& listing) {
        if (weak.expired()) {
            return;
        }
        if (listing) {
            is_reading_ = false;
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
    for (const ports::stored_item& each : listing.items) {
        const auto recorded = decode_recorded_evidence(each.value, each.key, wall_clock_milliseconds());
        if (!recorded) {
            log_event(log_level::warning, "quarantine_record_unreadable",
                      {{"key", each.key}, {"failure", to_string(recorded.error())}});
            continue;
        }
        log_event(log_level::info, "quarantine_record_read",
                  {{"key", each.key},
                   {"revision", each.revision},
                   {"crashes", recorded->crashes.crashes.size()},
                   {"requests", recorded->requests.requests.size()}});
        quarantine_.merge(recorded->crashes, loop_.now());
        requests_.merge(recorded->requests, loop_.now());
    }
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
    if (!outcome) {
        log_event(log_level::warning, "quarantine_record_not_written",
                  {{"key", key_}, {"failure", to_string(outcome.error())}});
    }
    if (is_outdated_ || !outcome) {
        write_timer_ = loop_.after(write_retry_delay, [this] { write(); });
    }
}

} // namespace samphiretray::gateway

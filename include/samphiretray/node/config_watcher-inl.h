#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/config/chunks.h"
#include "samphiretray/node/config_watcher.h"

#include <algorithm>
#include <utility>

namespace samphiretray::node {

/// A watch that ends without a change shows only that the configuration was current when the watch was sent.
/// This evidence is as old as the watch lasted, so the timeout has to be well below the freshness bound.
inline constexpr duration watch_timeout = 1s;
inline constexpr duration watch_retry_delay = 500ms;
/// Delay between the end of a successful watch and the next one; limits the rate of calls when the manifest
/// changes continuously.
inline constexpr duration watch_delay = 50ms;

template <ports::key_value_service KeyValue>
config_watcher<KeyValue>::config_watcher(net::loop& events, KeyValue& service,
                                         control::contact_tracker& contact, config::replica& configuration,
                                         std::function<void()> on_change)
    : loop_(events), service_(service), contact_(contact), configuration_(configuration),
      on_change_(std::move(on_change)) {}

template <ports::key_value_service KeyValue>
config_watcher<KeyValue>::~config_watcher() {
    *alive_ = false;
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::set_active(bool active) {
    if (active && !active_) {
        log_event(log_level::info, "config_watch_started");
    }
    active_ = active;
    if (active_ && !watch_in_flight_ && !timer_) {
        watch();
    }
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::watch() {
    timer_.reset();
    if (!active_) {
        return;
    }
    watch_in_flight_ = true;
    const time_point sent = loop_.now();
    service_.watch(std::string{config::manifest_key}, seen_revision_, watch_timeout,
                   [this, sent, alive = alive_](const result<ports::versioned_value>& answer) {
                       if (*alive) {
                           watch_in_flight_ = false;
                           on_manifest(sent, answer);
                       }
                   });
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::on_manifest(time_point sent, const result<ports::versioned_value>& answer) {
    if (!answer) {
        contact_.on_own_failure(sent);
        schedule_watch(watch_retry_delay);
        return;
    }
    const bool is_new = answer->revision != seen_revision_;
    seen_revision_ = answer->revision;
    if (answer->revision == 0) { // No configuration has been stored yet.
        contact_.on_own_success(sent, 0);
        schedule_watch(watch_delay);
        return;
    }
    const auto manifest = config::parse_manifest(answer->value);
    if (!manifest) {
        log_event(log_level::error, "manifest_refused", {{"detail", manifest.error().detail}});
        schedule_watch(watch_retry_delay);
        return;
    }
    configuration_.observe_revision(manifest->revision);
    if (is_new || configuration_.revision() < manifest->revision) {
        if (const auto missing = configuration_.offer_manifest(answer->value)) {
            fetch(*missing);
        }
    }
    contact_.on_own_success(sent, configuration_.effective_revision(manifest->revision));
    on_change_();
    schedule_watch(watch_delay);
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::fetch(const std::vector<std::string>& digests) {
    for (const std::string& digest : digests) {
        if (!chunks_in_flight_.insert(digest).second) {
            continue;
        }
        service_.read(config::chunk_key(digest),
                      [this, digest, alive = alive_](result<ports::versioned_value> answer) {
                          if (*alive) {
                              on_chunk(digest, std::move(answer));
                          }
                      });
    }
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::on_chunk(const std::string& digest, result<ports::versioned_value> answer) {
    chunks_in_flight_.erase(digest);
    if (!answer || answer->revision == 0) {
        // The next completed watch requests the chunk again, because the manifest is still newer than the
        // configuration in force.
        return;
    }
    if (const auto missing = configuration_.offer_chunk(digest, std::move(answer->value)); !missing) {
        log_event(log_level::error, "configuration_refused",
                  {{"digest", digest}, {"detail", missing.error().detail}});
    }
    on_change_();
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::schedule_watch(duration delay) {
    timer_ = loop_.after(delay, [this] { watch(); });
}

} // namespace samphiretray::node

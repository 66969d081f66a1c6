#pragma once

#include "samphiretray/base/log.h"
#include "samphiretray/config/chunks.h"
#include "samphiretray/node/config_watcher.h"

#include <algorithm>
#include <utility>

namespace samphiretray::node {

/// A watch that ends unchanged is evidence of contact as of its start, so it must end well within the
/// freshness bound.
inline constexpr duration watch_limit = 1s;
inline constexpr duration watch_retry = 500ms;
/// Bounds the calls when the manifest changes all the time.
inline constexpr duration watch_pause = 50ms;

template <ports::key_value_service KeyValue>
config_watcher<KeyValue>::config_watcher(net::loop& events, KeyValue& service, control::contact& evidence,
                                         config::replica& configuration, std::function<void()> on_change)
    : loop_(events), service_(service), evidence_(evidence), configuration_(configuration),
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
    if (active_ && !watching_ && !timer_) {
        watch();
    }
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::watch() {
    timer_.reset();
    if (!active_) {
        return;
    }
    watching_ = true;
    const time_point sent = loop_.now();
    service_.watch(std::string{config::manifest_key}, seen_, watch_limit,
                   [this, sent, alive = alive_](const result<ports::versioned_value>& answer) {
                       if (*alive) {
                           watching_ = false;
                           on_manifest(sent, answer);
                       }
                   });
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::on_manifest(time_point sent, const result<ports::versioned_value>& answer) {
    if (!answer) {
        evidence_.on_own_failure(sent);
        watch_later(watch_retry);
        return;
    }
    const bool is_new = answer->revision != seen_;
    seen_ = answer->revision;
    if (answer->revision == 0) {
        evidence_.on_own_success(sent, 0);
        watch_later(watch_pause);
        return;
    }
    const auto manifest = config::parse_manifest(answer->value);
    if (!manifest) {
        log_event(log_level::error, "manifest_refused", {{"detail", manifest.error().detail}});
        watch_later(watch_retry);
        return;
    }
    configuration_.saw_revision(manifest->revision);
    if (is_new || configuration_.revision() < manifest->revision) {
        if (const auto missing = configuration_.offer_manifest(answer->value)) {
            fetch(*missing);
        }
    }
    evidence_.on_own_success(sent, configuration_.effective_revision(manifest->revision));
    on_change_();
    watch_later(watch_pause);
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::fetch(const std::vector<std::string>& digests) {
    for (const std::string& digest : digests) {
        if (!fetching_.insert(digest).second) {
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
    fetching_.erase(digest);
    if (!answer || answer->revision == 0) {
        // The next completed watch asks again, because the manifest is still newer than what is in force.
        return;
    }
    if (const auto missing = configuration_.offer_chunk(digest, std::move(answer->value)); !missing) {
        log_event(log_level::error, "configuration_refused",
                  {{"digest", digest}, {"detail", missing.error().detail}});
    }
    on_change_();
}

template <ports::key_value_service KeyValue>
void config_watcher<KeyValue>::watch_later(duration pause) {
    timer_ = loop_.after(pause, [this] { watch(); });
}

} // namespace samphiretray::node

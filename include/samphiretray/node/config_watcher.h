#pragma once

#include "samphiretray/config/replica.h"
#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/key_value.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace samphiretray::node {

/// Watches the configuration manifest in the key-value service on behalf of a data centre, and fetches the
/// chunks that the local replica lacks.
///
/// Each watch that completes counts as contact with the service at the time it was sent, each one that fails
/// as a sign of an outage. An inactive watcher makes no calls.
template <ports::key_value_service KeyValue>
class config_watcher {
public:
    /// `on_change` is called whenever the configuration in force may have changed.
    config_watcher(net::loop& events, KeyValue& service, control::contact_tracker& contact,
                   config::replica& configuration, std::function<void()> on_change);
    ~config_watcher();
    config_watcher(const config_watcher&) = delete;
    config_watcher& operator=(const config_watcher&) = delete;

    void set_active(bool active);
    [[nodiscard]] bool is_active() const noexcept { return active_; }

private:
    void watch();
    void on_manifest(time_point sent, const result<ports::versioned_value>& answer);
    void on_chunk(const std::string& digest, result<ports::versioned_value> answer);
    void fetch(const std::vector<std::string>& digests);
    void schedule_watch(duration delay);

    net::loop& loop_;
    KeyValue& service_;
    control::contact_tracker& contact_;
    config::replica& configuration_;
    std::function<void()> on_change_;
    bool active_ = false;
    bool watch_in_flight_ = false;
    std::uint64_t seen_revision_ = 0;
    std::set<std::string> chunks_in_flight_;
    net::timer_handle timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node

#include "samphiretray/node/config_watcher-inl.h"

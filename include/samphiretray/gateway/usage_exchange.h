#pragma once

#include "samphiretray/gateway/usage_report.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/prefix_follower-inl.h"
#include "samphiretray/node/registration.h"
#include "samphiretray/rate/fleet_rate_limiter.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphiretray::gateway {

/// Another entry, as registered in the store.
struct peer_entry {
    std::string vm;
    net::address at;
    std::string data_centre;
};

struct exchange_settings {
    std::string vm;
    std::string data_centre;
    /// Address on which peers pull this entry's report.
    net::address listen;
    /// Most pulls a second by this entry; with more peers, each is polled less often.
    double pulls_per_s = 20;
    /// Least time between two pulls of one peer.
    duration min_interval = 250ms;
    duration pull_timeout = 400ms;
    /// A peer whose registration has disappeared is still polled for this long.
    duration removal_grace = 20s;
};

/// Discovers the other entries through the store and pulls their reports of usage and crashes. Reports are
/// pulled rather than pushed, so that a process that was paused never delivers outdated counts as current
/// ones.
template <typename Store>
class usage_exchange {
public:
    usage_exchange(net::loop& events, net::http_client& http, Store& store, exchange_settings settings,
                   rate::fleet_rate_limiter& usage, routing::crash_quarantine& quarantine,
                   routing::request_quarantine& requests, rate::endpoint_limits& limits);
    usage_exchange(const usage_exchange&) = delete;
    usage_exchange& operator=(const usage_exchange&) = delete;
    ~usage_exchange() = default;

    void start();
    /// Calls `action` with the registered peers whenever they change.
    void on_peers_changed(std::function<void(const std::vector<peer_entry>&)> action) {
        on_peers_ = std::move(action);
    }
    /// Number of known entries, including this one.
    [[nodiscard]] std::size_t entry_count() const noexcept { return peers_.size() + 1; }
    /// False while the last report of a registered peer could not be read.
    [[nodiscard]] bool hears_all_peers() const;

private:
    static constexpr std::string_view prefix = "entries/";
    /// Time that one watch of the registrations waits. Entries change rarely, and the usage of a new one
    /// counts only from the first report that is pulled from it.
    static constexpr duration watch_wait = 10s;

    struct peer {
        net::address at;
        std::string data_centre;
        std::optional<time_point> unregistered_at;
        std::unique_ptr<net::http_exchange> pending_pull;
        bool is_lost = false;
        /// Incarnation of the last report, and its revisions of the evidence about crashes and requests.
        std::string incarnation;
        std::uint64_t crash_revision = 0;
        std::uint64_t request_revision = 0;
    };

    void on_change(const ports::store_change& change);
    void remove_unregistered();
    void publish_peers();
    void pull_next();
    void pull(const std::string& name, peer& from);
    void on_report(const std::string& name, const result<net::fetched_response>& answer);

    net::loop& loop_;
    net::http_client& http_;
    exchange_settings settings_;
    rate::fleet_rate_limiter& usage_;
    routing::crash_quarantine& quarantine_;
    routing::request_quarantine& requests_;
    rate::endpoint_limits& limits_;
    node::registration<Store> registration_;
    node::prefix_follower<Store> follower_;
    std::map<std::string, peer> peers_;
    std::string last_pulled_;
    std::function<void(const std::vector<peer_entry>&)> on_peers_;
    net::timer_handle timer_;
};

} // namespace samphiretray::gateway

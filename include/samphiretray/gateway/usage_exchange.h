#pragma once

#include "samphiretray/gateway/usage_report.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/prefix_follower-inl.h"
#include "samphiretray/node/registration.h"
#include "samphiretray/rate/fleet_usage.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphiretray::gateway {

/// Another entry, as its registration names it.
struct peer_entry {
    std::string vm;
    net::address at;
    std::string data_centre;
};

struct exchange_settings {
    std::string vm;
    std::string data_centre;
    /// Where peers pull this entry's report.
    net::address listen;
    /// Pulls a second of one entry at most; with more peers each is asked less often.
    double pulls_per_s = 20;
    duration shortest_interval = 250ms;
    duration pull_timeout = 400ms;
    /// A peer whose registration is gone is still pulled for this long.
    duration keep = 20s;
};

/// Finds the other entries through the store and pulls their reports of usage. Reports are pulled, so a
/// paused process never passes old counts off as new.
template <typename Store>
class usage_exchange {
public:
    usage_exchange(net::loop& events, net::http_client& http, Store& store, exchange_settings settings,
                   rate::fleet_usage& usage);
    usage_exchange(const usage_exchange&) = delete;
    usage_exchange& operator=(const usage_exchange&) = delete;
    ~usage_exchange() = default;

    void start();
    /// Calls `action` with the registered peers whenever they change.
    void on_peers(std::function<void(const std::vector<peer_entry>&)> action) {
        on_peers_ = std::move(action);
    }
    /// Entries that are known, with this one.
    [[nodiscard]] std::size_t entries() const noexcept { return peers_.size() + 1; }

private:
    static constexpr std::string_view prefix = "entries/";
    /// Entries come and go rarely, and until one is known its requests count when its report is first pulled.
    static constexpr duration peers_wait = 10s;

    struct peer {
        net::address at;
        std::string data_centre;
        std::optional<time_point> gone_at;
        std::unique_ptr<net::http_exchange> pull;
        bool lost = false;
    };

    void on_change(const ports::store_change& change);
    void forget_gone();
    void publish_peers();
    void pull_next();
    void pull(const std::string& name, peer& from);
    void pulled(const std::string& name, const result<net::http_answer>& answer);

    net::loop& loop_;
    net::http_client& http_;
    exchange_settings settings_;
    rate::fleet_usage& usage_;
    node::registration<Store> registration_;
    node::prefix_follower<Store> follower_;
    std::map<std::string, peer> peers_;
    std::string last_pulled_;
    std::function<void(const std::vector<peer_entry>&)> on_peers_;
    net::timer_handle timer_;
};

} // namespace samphiretray::gateway

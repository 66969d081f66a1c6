#pragma once

#include "samphiretray/gateway/model.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::gateway {

/// Path at the control address of an agent. The body of a request lists releases that an entry knows.
inline constexpr std::string_view releases_path = "/releases";

/// A JSON list of releases, each a list of the adapter's name and its version.
[[nodiscard]] std::string encode_releases(const std::vector<adapter_release>& releases);
/// Fails with `protocol_error` if `text` is no such list.
[[nodiscard]] result<std::vector<adapter_release>> decode_releases(std::string_view text,
                                                                   std::string_view peer);

/// Tells agents of releases that concern requests waiting there. Agents read the store seldom, and it may be
/// out of their reach while it serves the entries.
class release_exchange {
public:
    /// `agent_control_port` 0 means that there are no agents to tell.
    release_exchange(net::loop& events, net::http_client& http, std::uint16_t agent_control_port)
        : loop_(events), http_(http), port_(agent_control_port) {}

    /// Tells the agents on `hosts`, a few times if a call fails.
    void announce(const std::set<std::string>& hosts, const adapter_release& release);

private:
    struct announcement {
        /// Not yet sent, or not yet confirmed.
        std::map<std::string, std::uint64_t> releases;
        std::uint32_t failures = 0;
        std::unique_ptr<net::http_exchange> exchange;
        net::timer_handle retry;
    };

    void send(const std::string& host);
    void on_answer(const std::string& host, const std::vector<adapter_release>& sent,
                   const result<net::fetched_response>& answer);

    net::loop& loop_;
    net::http_client& http_;
    std::uint16_t port_;
    /// By host.
    std::map<std::string, announcement> announcements_;
};

} // namespace samphiretray::gateway

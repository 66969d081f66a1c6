#pragma once

#include "samphiretray/gateway/model.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace samphiretray::gateway {

/// The endpoints that service discovery lists, by id.
class endpoint_directory {
public:
    /// After an outage of discovery, an endpoint that has vanished is kept this long: entries that lapsed
    /// during the outage are written again within about two seconds.
    static constexpr duration return_grace = 2s;

    /// Adds or replaces an endpoint. Returns true if it is another incarnation than before.
    bool update(endpoint value);
    /// `after_outage`: discovery came back less than `return_grace` ago, so the entry may return.
    void remove(const std::string& id, bool after_outage, time_point now);
    /// Removes the endpoints whose grace has passed, and returns their ids.
    std::vector<std::string> expire(time_point now);

    [[nodiscard]] const endpoint* find(const std::string& id) const;
    /// Endpoints of a service that take new requests.
    [[nodiscard]] std::vector<const endpoint*> live(std::string_view service) const;
    [[nodiscard]] std::vector<std::string> ids() const;
    [[nodiscard]] std::size_t size() const noexcept { return endpoints_.size(); }

private:
    std::map<std::string, endpoint> endpoints_;
    std::unordered_map<std::string, time_point> removed_at_;
};

} // namespace samphiretray::gateway

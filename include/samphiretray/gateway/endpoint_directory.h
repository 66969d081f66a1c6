#pragma once

#include "samphiretray/gateway/model.h"

#include <map>
#include <string_view>
#include <unordered_map>

namespace samphiretray::gateway {

/// The endpoints that service discovery lists, by id.
class endpoint_directory {
public:
    /// An endpoint that is removed shortly after an outage of discovery is kept this long: records that
    /// expired during the outage are written again within about two seconds.
    static constexpr duration reregistration_grace = 2s;

    /// Adds or replaces an endpoint. Returns true if it is new or has restarted.
    bool update(endpoint value);
    /// With `after_outage`, discovery has just returned and the record may be written again, so the endpoint
    /// is kept for `reregistration_grace`.
    void remove(const std::string& id, bool after_outage, time_point now);
    /// Removes the endpoints whose grace period has passed, and returns their ids.
    std::vector<std::string> expire(time_point now);

    [[nodiscard]] const endpoint* find(const std::string& id) const;
    /// The endpoints of a service that are not draining.
    [[nodiscard]] std::vector<const endpoint*> available(std::string_view service) const;
    [[nodiscard]] std::vector<std::string> ids() const;
    [[nodiscard]] std::size_t size() const noexcept { return endpoints_.size(); }

private:
    std::map<std::string, endpoint> endpoints_;
    std::unordered_map<std::string, time_point> removed_at_;
};

} // namespace samphiretray::gateway

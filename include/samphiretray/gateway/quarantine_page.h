#pragma once

#include "samphiretray/routing/request_quarantine.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::gateway {

/// The quarantined requests as an entry shows them to operators, with the caller and route of the attempts
/// that it has refused.
class quarantine_page {
public:
    void on_refused(routing::request_key request, std::string_view organisation, std::string_view route);
    /// The quarantine of the request has been lifted.
    void forget(routing::request_key request) { origins_.erase(request); }

    /// JSON text.
    [[nodiscard]] std::string text(std::string_view vm,
                                   const std::vector<routing::quarantined_request>& requests) const;

private:
    struct origin {
        std::string organisation;
        std::string route;
        std::uint64_t refused = 0;
    };

    std::map<routing::request_key, origin> origins_;
};

} // namespace samphiretray::gateway

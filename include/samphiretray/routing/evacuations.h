#pragma once

#include "samphiretray/base/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::routing {

/// The data centres whose servers get no requests, as the operator has ordered. An order that disappears
/// shortly after an outage of the store stays in force for a while, since a store that comes back from an
/// older copy lacks what the operator then writes again.
class evacuations {
public:
    static constexpr duration rewrite_grace = 2500ms;

    /// Returns false if the order is in force already.
    bool begin(const std::string& data_centre);
    /// Returns true if the order ends now; with `after_outage` it ends in `expire`.
    bool end(const std::string& data_centre, bool after_outage, time_point now);
    /// Ends the orders whose time of grace has passed, and returns their data centres.
    std::vector<std::string> expire(time_point now);

    [[nodiscard]] bool includes(std::string_view data_centre) const {
        return orders_.find(data_centre) != orders_.end();
    }
    [[nodiscard]] std::vector<std::string> data_centres() const;
    [[nodiscard]] bool empty() const noexcept { return orders_.empty(); }

private:
    /// The time at which an order that has disappeared ends.
    std::map<std::string, std::optional<time_point>, std::less<>> orders_;
};

} // namespace samphiretray::routing

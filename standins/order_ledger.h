#pragma once

#include "standins/answer_judge.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphiretray::standins {

/// The outcomes that callers received for their orders, to be compared with the runs that the order servers
/// counted.
class order_ledger {
public:
    /// Records the outcome of sending `order` once.
    void add(const std::string& order, const std::string& organisation, outcome reported);

    struct violation {
        std::string organisation;
        std::string reason;
    };
    /// Returns the contradictions. `runs` holds the number of runs of each order, summed over all servers.
    [[nodiscard]] std::vector<violation> compare(const std::map<std::string, std::uint32_t>& runs) const;

private:
    struct entry {
        std::string organisation;
        bool was_answered = false;
        /// True if the outcome was `not_run` each time the order was sent.
        bool is_not_run = true;
    };

    std::map<std::string, entry> entries_;
};

} // namespace samphiretray::standins

#pragma once

#include "standins/answer_judge.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphiretray::standins {

/// What callers were told about their orders, for a comparison with what the order servers ran.
class order_ledger {
public:
    /// Records the answer to one send of `order`.
    void add(const std::string& order, const std::string& organisation, outcome told);

    struct violation {
        std::string organisation;
        std::string reason;
    };
    /// `runs` is the number of runs of each order over all servers.
    [[nodiscard]] std::vector<violation> compare(const std::map<std::string, std::uint32_t>& runs) const;

private:
    struct entry {
        std::string organisation;
        bool was_answered = false;
        /// True while every send was refused as not run.
        bool is_not_run = true;
    };

    std::map<std::string, entry> entries_;
};

} // namespace samphiretray::standins

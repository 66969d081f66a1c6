#include "standins/order_ledger.h"

namespace samphiretray::standins {

void order_ledger::add(const std::string& order, const std::string& organisation, outcome reported) {
    entry& known = entries_[order];
    known.organisation = organisation;
    known.was_answered = known.was_answered || reported == outcome::answered;
    known.is_not_run = known.is_not_run && reported == outcome::not_run;
}

std::vector<order_ledger::violation>
order_ledger::compare(const std::map<std::string, std::uint32_t>& runs) const {
    std::vector<violation> violations;
    for (const auto& [order, known] : entries_) {
        const auto found = runs.find(order);
        const std::uint32_t count = found == runs.end() ? 0 : found->second;
        if (count > 1) {
            violations.push_back({known.organisation, "order_ran_twice"});
        }
        if (known.was_answered && count == 0) {
            violations.push_back({known.organisation, "answered_order_lost"});
        }
        if (known.is_not_run && count > 0) {
            violations.push_back({known.organisation, "order_ran_but_told_not_run"});
        }
    }
    return violations;
}

} // namespace samphiretray::standins

#include "samphiretray/gateway/quarantine_page.h"

#include "samphiretray/base/text.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace samphiretray::gateway {

void quarantine_page::on_refused(routing::request_key request, std::string_view organisation,
                                 std::string_view route) {
    origin& known = origins_[request];
    known.organisation = organisation;
    known.route = route;
    ++known.refused;
}

std::string quarantine_page::text(std::string_view vm,
                                  const std::vector<routing::quarantined_request>& requests) const {
    nlohmann::json shown = nlohmann::json::array();
    for (const routing::quarantined_request& each : requests) {
        nlohmann::json entry{{"request", to_hex(each.request)},
                             {"phase", name_of(each.phase)},
                             {"cuts", each.cuts},
                             {"last_cut_ms", milliseconds_in(each.last_cut_age)},
                             {"time_left_ms", milliseconds_in(each.time_left)}};
        if (const auto found = origins_.find(each.request); found != origins_.end()) {
            entry["organisation"] = found->second.organisation;
            entry["route"] = found->second.route;
            entry["refused"] = found->second.refused;
        }
        shown.push_back(std::move(entry));
    }
    return nlohmann::json{{"vm", vm}, {"requests", std::move(shown)}}.dump() + "\n";
}

} // namespace samphiretray::gateway

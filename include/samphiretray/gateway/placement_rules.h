#pragma once

#include "samphiretray/gateway/model.h"
#include "samphiretray/gateway/routing_table.h"
#include "samphiretray/rate/cold_start.h"
#include "samphiretray/rate/named_limit.h"
#include "samphiretray/routing/evacuations.h"
#include "samphiretray/routing/home_regions.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::gateway {

/// Which endpoints may get a request at all, whatever their load: those in its homes, outside data centres
/// that are evacuated, and cold ones only as fast as they take requests. Needs no network.
class placement_rules {
public:
    using region_map = std::map<std::string, std::string, std::less<>>;

    /// `regions` maps each data centre to its region.
    explicit placement_rules(region_map regions) : regions_(std::move(regions)) {}

    /// The names of the processes that send requests to servers, this one included.
    void set_members(std::string own_name, std::vector<std::string> all_names) {
        cold_limits_.set_members(std::move(own_name), std::move(all_names));
    }
    void set_services(const std::vector<service>& services);

    /// Returns false if nothing changes.
    bool begin_evacuation(const std::string& data_centre) { return evacuations_.begin(data_centre); }
    /// With `after_outage` the order may be written again and ends only after a time of grace. When it ends,
    /// the servers of the data centre count as cold. Returns true if it ends now.
    bool end_evacuation(const std::string& data_centre, bool after_outage,
                        const std::vector<const endpoint*>& endpoints, time_point now);
    /// Ends the evacuations whose time of grace has passed, and returns their data centres.
    std::vector<std::string> expire(const std::vector<const endpoint*>& endpoints, time_point now);
    [[nodiscard]] std::vector<std::string> evacuated() const { return evacuations_.data_centres(); }

    /// Takes in what the record of an endpoint says; `restarted` if it is of a new incarnation.
    void on_record(const endpoint& value, bool restarted, time_point now);
    /// No connection could be made to the endpoint, so that it may have been restarted.
    void on_unreachable(const endpoint& value, time_point now);
    void forget(const std::string& endpoint);

    /// The homes of a request, by the configuration under which it came, and by the `current` one if it is
    /// another. A request that waits or is sent again while its homes change has to fit both.
    [[nodiscard]] static routing::home_regions homes_of(const route& matched, const organisation* owner,
                                                        const routing_table* current, std::string_view host,
                                                        std::string_view path);
    [[nodiscard]] bool is_at_home(const endpoint& value, const routing::home_regions& homes) const;
    [[nodiscard]] bool is_evacuated(const endpoint& value) const {
        return evacuations_.includes(value.data_centre);
    }
    /// Whether an endpoint without an agent takes another request of this process now. An engine whose agent
    /// cannot be reached gets none while it is cold: only the agent knows what it has sent.
    [[nodiscard]] bool is_warm_enough(const endpoint& value, bool is_engine, time_point now) const;
    /// Counts a request that is sent to an endpoint without an agent.
    void count_direct(const endpoint& value, time_point now);
    /// Time for which the endpoint is still known to be cold.
    [[nodiscard]] duration cold_left(const std::string& endpoint, time_point now) const;
    [[nodiscard]] std::size_t cold_count(time_point now) const;

private:
    [[nodiscard]] const rate::cold_start_settings* cold_start_of(const endpoint& value) const;
    void set_cold(const endpoint& value, duration left, time_point now);
    void set_cold_in(const std::string& data_centre, const std::vector<const endpoint*>& endpoints,
                     time_point now);

    region_map regions_;
    routing::evacuations evacuations_;
    /// The settings of the services whose servers are limited while they are cold.
    std::map<std::string, rate::cold_start_settings, std::less<>> cold_starts_;
    std::map<std::string, rate::cold_state> cold_;
    rate::endpoint_limits cold_limits_{{}};
};

} // namespace samphiretray::gateway

#include "samphiretray/gateway/settings.h"

#include "samphiretray/base/json_fields.h"
#include "samphiretray/net/address_field.h"

#include <algorithm>
#include <limits>

namespace samphiretray::gateway {

namespace {

using presence = json_fields::presence;

void read_node(json_fields& fields, node_settings& target) {
    fields.read("vm", target.vm, presence::required);
    fields.read("region", target.region, presence::required);
    fields.read("data_centre", target.data_centre, presence::required);
    net::read_address(fields, "store", target.store);
    fields.read_enum("log", target.log);
    fields.read("log_lines_per_s", target.log_lines_per_s, 1, 1'000'000);
    fields.read("drain_limit", target.drain_limit, 0ms, 3600s);
    fields.read("memory_mb", target.memory_mb, 32, 1'048'576);
    fields.read("max_descriptors", target.max_descriptors, 64, 1'048'576);
    fields.read("link_mbps", target.link_mbps, 0.0, 1e6);
}

void read_regions(json_fields& fields, gateway_settings& target) {
    for (json_fields& each : fields.read_list("data_centres")) {
        std::string name;
        std::string region;
        each.read("name", name, presence::required);
        each.read("region", region, presence::required);
        target.regions.emplace(std::move(name), std::move(region));
    }
}

void read_gateway(json_fields& fields, gateway_settings& target) {
    read_node(fields, target.node);
    net::read_address(fields, "listen", target.listen);
    net::read_address(fields, "ready_listen", target.ready_listen);
    net::read_address(fields, "control_listen", target.control_listen);
    fields.read("agent_port", target.agent_port, 1, std::numeric_limits<std::uint16_t>::max(),
                presence::required);
    fields.read("agent_control_port", target.agent_control_port, 0,
                std::numeric_limits<std::uint16_t>::max());
    read_regions(fields, target);
    fields.read("retry_ratio", target.retry_ratio, 0.0, 10.0);
    fields.read("retry_floor", target.retry_floor, 0.0, 1e6);
    fields.read("retry_period", target.retry_period, 100ms, 600s);
    fields.read("rate_tolerance", target.rate_tolerance, 0.0, 10.0);
    fields.read("burst_tolerance", target.burst_tolerance, 0.0, 1e12);
    fields.read("max_requests", target.max_requests, 1, 1'000'000);
    fields.read("drain_notice", target.drain_notice, 0ms, 600s);
}

void read_engine_agent(json_fields& fields, engine_agent_settings& target) {
    read_node(fields, target.node);
    net::read_address(fields, "listen", target.listen);
    net::read_address(fields, "control_listen", target.control_listen);
    net::read_address(fields, "engine", target.engine);
    fields.read("service", target.service, presence::required);
    fields.read("evacuation_limit", target.evacuation_limit, 0ms, 3600s);
    fields.read("poll_interval", target.poll_interval, 10ms, 60s);
}

} // namespace

std::size_t max_caller_connections(std::uint32_t max_descriptors) noexcept {
    // The platform sets 200 descriptors aside for files.
    constexpr std::uint32_t file_descriptors = 200;
    constexpr std::size_t caller_percent = 45;
    const std::uint32_t sockets = max_descriptors - std::min(file_descriptors, max_descriptors / 2);
    return sockets * caller_percent / 100;
}

result<gateway_settings> parse_gateway_settings(std::string_view text, std::string_view file) {
    return parse_object<gateway_settings>(text, file, step::settings, read_gateway);
}

result<engine_agent_settings> parse_engine_agent_settings(std::string_view text, std::string_view file) {
    return parse_object<engine_agent_settings>(text, file, step::settings, read_engine_agent);
}

} // namespace samphiretray::gateway

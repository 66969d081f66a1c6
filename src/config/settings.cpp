#include "samphiretray/config/settings.h"

#include "samphiretray/base/json_fields.h"
#include "samphiretray/config/names.h"
#include "samphiretray/net/address_field.h"

#include <fstream>
#include <iterator>

namespace samphiretray::config {

namespace {

using presence = json_fields::presence;

constexpr std::size_t min_secret_length = 16;
constexpr std::size_t max_secret_length = 4096;
// A pull may get lost and the evidence of contact travels over several hops, so the freshness bound has to
// cover several pulls.
constexpr int min_pulls_in_freshness_bound = 3;

void read_name(json_fields& fields, std::string_view name, std::string& target, presence requirement) {
    fields.read(name, target, requirement);
    if (!fields.has_failed() && fields.has(name) && !is_name(target)) {
        fields.refuse(name, name_rule);
    }
}

std::string trim_line_ends(std::string text) {
    while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
        text.pop_back();
    }
    return text;
}

void read_secret(json_fields& fields, std::string& target) {
    std::string file;
    fields.read("cluster_secret", target);
    fields.read("cluster_secret_file", file);
    if (fields.has("cluster_secret") == fields.has("cluster_secret_file")) {
        fields.refuse("cluster_secret", "either cluster_secret or cluster_secret_file, and not both");
        return;
    }
    if (!file.empty()) {
        std::ifstream stream{file, std::ios::binary};
        target = trim_line_ends({std::istreambuf_iterator<char>{stream}, {}});
    }
    if (target.size() < min_secret_length || target.size() > max_secret_length) {
        fields.refuse(fields.has("cluster_secret") ? "cluster_secret" : "cluster_secret_file",
                      "a secret of 16 to 4096 characters, or the name of a readable file with one");
    }
}

void read_common(json_fields& fields, common_settings& target) {
    read_name(fields, "vm", target.vm, presence::required);
    read_name(fields, "region", target.region, presence::required);
    read_name(fields, "data_centre", target.data_centre, presence::required);
    net::read_address(fields, "peer_listen", target.peer_listen);
    net::read_address(fields, "admin_listen", target.admin_listen);
    net::read_address(fields, "key_value_service", target.key_value_service, net::port_rule::not_zero);
    net::read_address(fields, "vm_list", target.vm_list, net::port_rule::not_zero);
    read_secret(fields, target.cluster_secret);
    fields.read_enum("log", target.log);
    fields.read("vm_list_interval", target.vm_list_interval, 50ms, 60s);
    fields.read("pull_interval", target.pull_interval, 20ms, 10s);
    fields.read("freshness_bound", target.freshness_bound, 100ms, 60s);
    if (target.freshness_bound < min_pulls_in_freshness_bound * target.pull_interval) {
        fields.refuse(fields.has("freshness_bound_ms") ? "freshness_bound_ms" : "pull_interval_ms",
                      "a freshness_bound_ms of at least three times pull_interval_ms");
    }
}

void read_certificates(json_fields& fields, entry_settings& target) {
    fields.read("certificate_file", target.certificate_file);
    fields.read("private_key_file", target.private_key_file);
    if (target.certificate_file.empty() != target.private_key_file.empty()) {
        fields.refuse(target.certificate_file.empty() ? "certificate_file" : "private_key_file",
                      "both certificate_file and private_key_file, or neither");
    }
}

void read_drain(json_fields& fields, duration& notice, duration& limit) {
    fields.read("drain_notice", notice, 0ms, 60s);
    fields.read("drain_limit", limit, 0ms, 3600s);
}

void read_entry(json_fields& fields, entry_settings& target) {
    read_common(fields, target.common);
    net::read_address(fields, "listen", target.listen);
    fields.read("max_body_bytes", target.max_body_bytes, 1024, 1U << 30U);
    read_certificates(fields, target);
    fields.read("request_timeout", target.request_timeout, 1ms, 3600s);
    read_drain(fields, target.drain_notice, target.drain_limit);
    fields.read("max_requests", target.max_requests, 1, 1'000'000);
    fields.read("rate_shards", target.rate_shards, 1, 1024);
    fields.read("claim_shards", target.claim_shards, 1, 4096);
    fields.read("loads_per_second", target.loads_per_second, 0.01, 1e6);
    fields.read("loads_in_flight", target.loads_in_flight, 1, 100'000);
}

void read_agent(json_fields& fields, agent_settings& target) {
    read_common(fields, target.common);
    read_name(fields, "endpoint", target.endpoint, presence::required);
    read_name(fields, "service", target.service, presence::required);
    fields.read("base_model", target.base_model);
    if (!target.base_model.empty() && !is_model_name(target.base_model)) {
        fields.refuse("base_model", model_name_rule);
    }
    net::read_address(fields, "endpoint_address", target.endpoint_address, net::port_rule::not_zero);
    fields.read("concurrency", target.concurrency, 0, 100'000);
    fields.read("max_queue", target.max_queue, 1, 1'000'000);
    fields.read("engine_poll_interval", target.engine_poll_interval, 10ms, 60s);
    read_drain(fields, target.drain_notice, target.drain_limit);
}

} // namespace

result<entry_settings> parse_entry_settings(std::string_view text, std::string_view file) {
    return parse_object<entry_settings>(text, file, step::settings, read_entry);
}

result<agent_settings> parse_agent_settings(std::string_view text, std::string_view file) {
    return parse_object<agent_settings>(text, file, step::settings, read_agent);
}

} // namespace samphiretray::config

#include "samphiretray/gateway/usage_report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>

namespace samphiretray::gateway {

namespace {

using json = nlohmann::json;

/// A limit is a list of the endpoint, its age in milliseconds, and the requests a second if one is named.
json limit_json(const rate::limit_observation& limit) {
    json entry = json::array({limit.endpoint, static_cast<std::uint64_t>(milliseconds_in(limit.age))});
    if (limit.requests_per_s) {
        entry.push_back(*limit.requests_per_s);
    }
    return entry;
}

std::optional<rate::limit_observation> limit_from(const json& entry) {
    constexpr std::size_t shortest = 2;
    const bool is_limited = entry.is_array() && entry.size() == shortest + 1;
    const bool well_formed = entry.is_array() && (entry.size() == shortest || is_limited) &&
                             entry[0].is_string() && entry[1].is_number_unsigned() &&
                             (!is_limited || entry[shortest].is_number());
    if (!well_formed) {
        return std::nullopt;
    }
    rate::limit_observation limit{entry[0], std::nullopt, age_from(entry[1])};
    if (is_limited) {
        limit.requests_per_s = std::max(entry[shortest].get<double>(), 0.0);
    }
    return limit;
}

} // namespace

std::string encode(const usage_report& report) {
    json spent = json::object();
    for (const rate::spent_tokens& each : report.spent) {
        spent[each.organisation] = each.tokens;
    }
    json limits = json::array();
    std::ranges::transform(report.limits, std::back_inserter(limits), limit_json);
    return json{{"vm", report.vm},
                {"incarnation", report.incarnation},
                {"configuration", report.configuration_version},
                {"spent", std::move(spent)},
                {"crashes", to_json(report.crashes)},
                {"limits", std::move(limits)},
                {"requests", to_json(report.requests)}}
        .dump();
}

result<usage_report> decode_usage_report(std::string_view text, std::string_view peer) {
    const json parsed = json::parse(text, nullptr, false);
    const auto has = [&parsed](const char* name, auto is_type) {
        return parsed.contains(name) && is_type(parsed[name]);
    };
    const auto is_text = [](const json& value) { return value.is_string(); };
    const bool well_formed =
        parsed.is_object() && has("vm", is_text) && has("incarnation", is_text) &&
        has("configuration", [](const json& value) { return value.is_number_unsigned(); }) &&
        has("spent", [](const json& value) { return value.is_object(); });
    if (!well_formed) {
        return make_error(errc::protocol_error, step::parse, std::string{peer}, "malformed usage report");
    }
    usage_report report{parsed["vm"], parsed["incarnation"], parsed["configuration"], {}, {}, {}, {}};
    for (const auto& [organisation, tokens] : parsed["spent"].items()) {
        if (tokens.is_number()) {
            report.spent.push_back({organisation, tokens.get<double>()});
        }
    }
    // Entries of earlier versions report no crashes.
    if (parsed.contains("crashes")) {
        auto crashes = crash_evidence_from(parsed["crashes"], peer);
        if (!crashes) {
            return crashes.error();
        }
        report.crashes = std::move(*crashes);
    }
    // Entries of earlier versions report no requests.
    if (parsed.contains("requests")) {
        auto requests = request_evidence_from(parsed["requests"], peer);
        if (!requests) {
            return requests.error();
        }
        report.requests = *std::move(requests);
    }
    for (const json& each : parsed.value("limits", json::array())) {
        auto limit = limit_from(each);
        if (!limit) {
            return make_error(errc::protocol_error, step::parse, std::string{peer}, "malformed limit");
        }
        report.limits.push_back(std::move(*limit));
    }
    return report;
}

} // namespace samphiretray::gateway

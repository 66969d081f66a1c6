#include "samphiretray/node/process_status.h"

#include <nlohmann/json.hpp>
#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <utility>

namespace samphiretray::node {

namespace {

prometheus::MetricFamily make_family(std::string name, metric_kind kind, double value) {
    prometheus::ClientMetric metric;
    prometheus::MetricFamily family;
    family.name = std::move(name);
    if (kind == metric_kind::counter) {
        family.type = prometheus::MetricType::Counter;
        metric.counter.value = value;
    } else {
        family.type = prometheus::MetricType::Gauge;
        metric.gauge.value = value;
    }
    family.metric.push_back(std::move(metric));
    return family;
}

} // namespace

std::string to_json(const process_status& status) {
    nlohmann::json body{{"vm", status.self.vm},
                        {"role", name_of(status.self.kind)},
                        {"region", status.self.region},
                        {"data_centre", status.self.data_centre},
                        {"incarnation", status.self.incarnation},
                        {"revision", status.revision},
                        {"refused_configuration", status.refused_configuration},
                        {"contact", name_of(status.contact)},
                        {"ready", status.ready},
                        {"draining", status.draining},
                        {"watcher", status.watcher},
                        {"links", status.links}};
    if (status.contact_age) {
        body["contact_age_ms"] = milliseconds_in(*status.contact_age);
    }
    for (const status_metric& each : status.values) {
        body["values"][each.name] = each.value;
    }
    return body.dump();
}

std::string to_metrics(const process_status& status, std::string_view prefix) {
    const auto name = [prefix](std::string_view text) {
        return std::string{prefix} + "_" + std::string{text};
    };
    std::vector<prometheus::MetricFamily> families;
    const auto gauge = [&](std::string_view text, double value) {
        families.push_back(make_family(name(text), metric_kind::gauge, value));
    };
    gauge("configuration_revision", static_cast<double>(status.revision));
    gauge("ready", status.ready ? 1 : 0);
    gauge("draining", status.draining ? 1 : 0);
    gauge("links", static_cast<double>(status.links));
    gauge("contact_state", static_cast<double>(status.contact));
    if (status.contact_age) {
        gauge("contact_age_seconds", std::chrono::duration<double>(*status.contact_age).count());
    }
    std::ranges::transform(status.values, std::back_inserter(families), [&](const status_metric& each) {
        return make_family(name(each.name), each.kind, each.value);
    });
    return prometheus::TextSerializer{}.Serialize(families);
}

} // namespace samphiretray::node

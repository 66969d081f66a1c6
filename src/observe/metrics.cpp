#include "samphiretray/observe/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <map>
#include <stdexcept>
#include <utility>

namespace samphiretray::observe {

namespace {

constexpr std::string_view counter_suffix = "_total";
constexpr std::array<std::string_view, 10> unit_suffixes{"_seconds",  "_bytes", "_tokens", "_ratio",
                                                         "_requests", "_slots", "_loads",  "_peers",
                                                         "_revision", "_state"};
constexpr std::string_view overflow_label_value = "other";

void require_unit(bool has_unit, const std::string& name) {
    if (!has_unit) {
        throw std::invalid_argument("metric " + name + " has no unit in its name");
    }
}

bool ends_in_unit(std::string_view name) {
    return std::ranges::any_of(unit_suffixes,
                               [name](std::string_view suffix) { return name.ends_with(suffix); });
}

/// Finds or creates the series with given label values, up to the limit of the family.
template <typename Metric>
class bounded_series {
public:
    bounded_series(prometheus::Family<Metric>& family, metric_description description)
        : family_(family), description_(std::move(description)) {}

    template <typename... Arguments>
    Metric& at(label_values labels, const Arguments&... arguments) {
        std::vector<std::string> values(labels.begin(), labels.end());
        if (values.size() != description_.labels.size()) {
            throw std::invalid_argument("metric " + description_.name +
                                        " got a wrong number of label values");
        }
        auto found = series_by_labels_.find(values);
        if (found == series_by_labels_.end() && series_by_labels_.size() >= description_.max_series) {
            values.assign(values.size(), std::string{overflow_label_value});
            found = series_by_labels_.find(values);
        }
        if (found == series_by_labels_.end()) {
            found = series_by_labels_.emplace(values, &create(values, arguments...)).first;
        }
        return *found->second;
    }

private:
    template <typename... Arguments>
    Metric& create(const std::vector<std::string>& values, const Arguments&... arguments) {
        std::map<std::string, std::string> pairs;
        for (std::size_t i = 0; i < values.size(); ++i) {
            pairs.emplace(description_.labels[i], values[i]);
        }
        return family_.Add(pairs, arguments...);
    }

    prometheus::Family<Metric>& family_;
    metric_description description_;
    std::map<std::vector<std::string>, Metric*> series_by_labels_;
};

template <typename Builder>
auto& build(Builder builder, const metric_description& description, prometheus::Registry& registry) {
    return builder.Name(description.name).Help(description.help).Register(registry);
}

class counter_series final : public counter_family {
public:
    counter_series(const metric_description& description, prometheus::Registry& registry)
        : series_(build(prometheus::BuildCounter(), description, registry), description) {}
    void add(label_values labels, double amount) override { series_.at(labels).Increment(amount); }

private:
    bounded_series<prometheus::Counter> series_;
};

class gauge_series final : public gauge_family {
public:
    gauge_series(const metric_description& description, prometheus::Registry& registry)
        : series_(build(prometheus::BuildGauge(), description, registry), description) {}
    void set(label_values labels, double value) override { series_.at(labels).Set(value); }

private:
    bounded_series<prometheus::Gauge> series_;
};

class histogram_series final : public histogram_family {
public:
    histogram_series(const metric_description& description, prometheus::Registry& registry,
                     std::vector<double> buckets)
        : series_(build(prometheus::BuildHistogram(), description, registry), description),
          buckets_(std::move(buckets)) {}
    void observe(label_values labels, double value) override { series_.at(labels, buckets_).Observe(value); }

private:
    bounded_series<prometheus::Histogram> series_;
    std::vector<double> buckets_;
};

} // namespace

struct metrics::state {
    prometheus::Registry registry;
    std::vector<std::unique_ptr<counter_family>> counters;
    std::vector<std::unique_ptr<gauge_family>> gauges;
    std::vector<std::unique_ptr<histogram_family>> histograms;
};

metrics::metrics() : state_(std::make_unique<state>()) {}
metrics::~metrics() = default;

counter_family& metrics::counter(const metric_description& description) {
    require_unit(description.name.ends_with(counter_suffix), description.name);
    state_->counters.push_back(std::make_unique<counter_series>(description, state_->registry));
    return *state_->counters.back();
}

gauge_family& metrics::gauge(const metric_description& description) {
    require_unit(ends_in_unit(description.name), description.name);
    state_->gauges.push_back(std::make_unique<gauge_series>(description, state_->registry));
    return *state_->gauges.back();
}

histogram_family& metrics::histogram(const metric_description& description, std::vector<double> buckets) {
    require_unit(ends_in_unit(description.name), description.name);
    state_->histograms.push_back(
        std::make_unique<histogram_series>(description, state_->registry, std::move(buckets)));
    return *state_->histograms.back();
}

std::string metrics::text() const {
    return prometheus::TextSerializer{}.Serialize(state_->registry.Collect());
}

std::vector<double> latency_buckets() {
    return {0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 60};
}

} // namespace samphiretray::observe

#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Counters, gauges and histograms, exported in the Prometheus text format.
namespace samphiretray::observe {

/// Name, help text and labels of a metric family, and the limit of its time series.
struct metric_description {
    /// The name must end in a unit: counters end in "_total"; gauges and histograms in "_seconds", "_bytes",
    /// "_tokens", "_ratio", "_requests", "_slots", "_loads", "_peers", "_revision" or "_state".
    std::string name;
    std::string help;
    std::vector<std::string> labels;
    /// Once the family has this many series, all label values of new ones are replaced by "other".
    std::size_t max_series = 200;
};

using label_values = std::initializer_list<std::string_view>;

/// Label values are passed in the order of the family's labels. `std::invalid_argument` is thrown for a
/// family name without a unit, and for a wrong number of label values.
class counter_family {
public:
    virtual ~counter_family() = default;
    virtual void add(label_values labels, double amount = 1) = 0;
};

class gauge_family {
public:
    virtual ~gauge_family() = default;
    virtual void set(label_values labels, double value) = 0;
};

class histogram_family {
public:
    virtual ~histogram_family() = default;
    virtual void observe(label_values labels, double value) = 0;
};

/// Upper bounds in seconds of histogram buckets for latencies from 1 ms to 60 s.
[[nodiscard]] std::vector<double> latency_buckets();

/// A registry of metric families.
class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// Each call registers a new family, which lives as long as this object.
    [[nodiscard]] counter_family& counter(const metric_description& description);
    [[nodiscard]] gauge_family& gauge(const metric_description& description);
    [[nodiscard]] histogram_family& histogram(const metric_description& description,
                                              std::vector<double> buckets);

    /// All series in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace samphiretray::observe

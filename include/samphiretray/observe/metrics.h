#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// Counters, gauges and histograms in the Prometheus text format.
namespace samphiretray::observe {

/// What a family is called and how many series it may have.
struct metric_description {
    /// Names carry their unit: counters end in "_total"; gauges and histograms in "_seconds", "_bytes",
    /// "_tokens", "_ratio", "_requests", "_slots", "_loads", "_peers", "_revision" or "_state".
    std::string name;
    std::string help;
    std::vector<std::string> labels;
    /// Values of labels beyond this count of series are replaced by "other".
    std::size_t max_series = 200;
};

using label_values = std::initializer_list<std::string_view>;

/// The values of a family are given in the order of its labels. Creation throws `std::invalid_argument` for a
/// name without a unit, and a call for a wrong number of values.
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

/// Upper bounds in seconds for times from one millisecond to a minute.
[[nodiscard]] std::vector<double> latency_buckets();

class metrics {
public:
    metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /// Families live as long as this object.
    [[nodiscard]] counter_family& counter(const metric_description& description);
    [[nodiscard]] gauge_family& gauge(const metric_description& description);
    [[nodiscard]] histogram_family& histogram(const metric_description& description,
                                              std::vector<double> buckets);

    /// All series in the text format.
    [[nodiscard]] std::string text() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace samphiretray::observe

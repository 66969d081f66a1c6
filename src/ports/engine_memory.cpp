#include "samphiretray/ports/engine_memory.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>

namespace samphiretray::ports {

namespace {

std::optional<double> size_of(const engine_memory& limits, const adapter_version& target) {
    const auto model = limits.models.find(base_model_of(target.adapter));
    if (model == limits.models.end()) {
        return std::nullopt;
    }
    return is_base_model(target) ? model->second.weights_mb : model->second.adapter_mb;
}

} // namespace

std::string_view base_model_of(std::string_view name) {
    return name.substr(0, name.find('/'));
}

bool is_base_model(const adapter_version& target) {
    return target.adapter.find('/') == std::string::npos;
}

bool fits(const engine_memory& limits, const std::vector<adapter_version>& held,
          const adapter_version& wanted) {
    const bool is_adapter = !is_base_model(wanted);
    const auto held_adapters =
        static_cast<std::size_t>(std::ranges::count_if(held, std::not_fn(is_base_model)));
    if (is_adapter && held_adapters >= limits.adapter_slots) {
        return false;
    }
    if (!limits.weights_mb) {
        return true;
    }
    double known_mb = 0;
    bool is_known = true;
    const auto add = [&](const adapter_version& each) {
        const auto size = size_of(limits, each);
        known_mb += size.value_or(0);
        is_known = is_known && size.has_value();
    };
    std::ranges::for_each(held, add);
    add(wanted);
    const bool is_first = is_adapter ? held_adapters == 0 : held.empty();
    return known_mb <= *limits.weights_mb && (is_known || is_first);
}

std::size_t adapter_capacity(const engine_memory& limits, const std::vector<std::string>& models) {
    if (!limits.weights_mb || models.empty()) {
        return limits.adapter_slots;
    }
    double left_mb = *limits.weights_mb;
    double largest_mb = 0;
    bool is_known = true;
    for (const std::string& each : models) {
        const auto size = limits.models.find(each);
        const bool has_sizes =
            size != limits.models.end() && size->second.weights_mb && size->second.adapter_mb;
        if (has_sizes) {
            left_mb -= *size->second.weights_mb;
            largest_mb = std::max(largest_mb, *size->second.adapter_mb);
        }
        is_known = is_known && has_sizes;
    }
    if (left_mb < largest_mb) {
        return 0;
    }
    if (!is_known) {
        return std::min<std::size_t>(limits.adapter_slots, 1);
    }
    const double count = largest_mb > 0 ? left_mb / largest_mb : std::numeric_limits<double>::infinity();
    return count >= static_cast<double>(limits.adapter_slots) ? limits.adapter_slots
                                                              : static_cast<std::size_t>(count);
}

std::string choose_base_model(const engine_memory& limits, const std::string& current,
                              const std::vector<std::string>& models, std::size_t seed) {
    const auto fits_alone = [&limits](const std::string& model) { return fits(limits, {}, {model, ""}); };
    if (!current.empty() && fits_alone(current)) {
        return current;
    }
    std::vector<std::string> fitting;
    std::ranges::copy_if(models, std::back_inserter(fitting), fits_alone);
    const auto unknown = std::ranges::stable_partition(fitting, [&limits](const std::string& model) {
        return size_of(limits, {model, ""}).has_value();
    });
    if (unknown.size() < fitting.size()) {
        fitting.erase(unknown.begin(), unknown.end());
    }
    return fitting.empty() ? std::string{} : fitting[seed % fitting.size()];
}

} // namespace samphiretray::ports

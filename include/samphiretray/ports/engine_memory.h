#pragma once

#include <compare>
#include <cstddef>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::ports {

/// Identifies an adapter version at an engine. A base model is named without an adapter and has no version.
struct adapter_version {
    std::string adapter;
    std::string version;

    auto operator<=>(const adapter_version&) const = default;
};

/// Sizes in megabytes; nothing if they are not known.
struct model_size {
    std::optional<double> weights_mb;
    /// Of each of the model's adapters.
    std::optional<double> adapter_mb;
};

/// What an engine may hold. It crashes when it is ordered to load more.
struct engine_memory {
    std::size_t adapter_slots = std::numeric_limits<std::size_t>::max();
    /// For base models and adapters together; nothing if there is no such limit.
    std::optional<double> weights_mb = {};
    /// By the names of the base models.
    std::map<std::string, model_size, std::less<>> models = {};
};

/// Name of the base model in "model/adapter".
[[nodiscard]] std::string_view base_model_of(std::string_view name);
[[nodiscard]] bool is_base_model(const adapter_version& target);

/// Whether `wanted` can be loaded beside `held`, which has to include what is being loaded and what an
/// unanswered order may still load. Nothing of unknown size is loaded beside something of the same kind, nor
/// beside something else of unknown size: an adapter only beside no other one, a base model only into an
/// empty engine.
[[nodiscard]] bool fits(const engine_memory& limits, const std::vector<adapter_version>& held,
                        const adapter_version& wanted);

/// Number of adapters, of whatever model, that fit beside the base models.
[[nodiscard]] std::size_t adapter_capacity(const engine_memory& limits,
                                           const std::vector<std::string>& models);

/// The model that an empty engine loads: `current` if it fits, else one of `models` that does, chosen by
/// `seed`. Models of unknown size come last. Empty if none fits.
[[nodiscard]] std::string choose_base_model(const engine_memory& limits, const std::string& current,
                                            const std::vector<std::string>& models, std::size_t seed);

} // namespace samphiretray::ports

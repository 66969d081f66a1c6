#pragma once

#include "standins/load_plan.h"
#include "standins/random_source.h"
#include "standins/zipf.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::standins {

/// One request of a run.
struct planned_request {
    std::uint64_t number = 0;
    /// Time from the start of the run.
    duration at{0};
    std::size_t source = 0;

    /// The fields from here to `foreign` are set for completions.
    std::string adapter;
    /// Empty if the system is to choose the current version in the inventory.
    std::string version;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool stream = false;
    bool chat = false;
    /// True if the adapter belongs to another organisation.
    bool foreign = false;

    /// Order id; set for orders and calls.
    std::string order;

    /// `<adapter>` or `<adapter>@<version>`.
    [[nodiscard]] std::string model() const;
};

/// Generates the requests of a plan in the order of their times. The same plan always gives the same
/// requests.
class load_schedule {
public:
    explicit load_schedule(const load_plan& plan);

    /// The next request, or nothing after the end of the run.
    [[nodiscard]] std::optional<planned_request> next();

private:
    struct source_state {
        random_source random;
        std::vector<std::size_t> own_adapters;
        std::vector<std::size_t> foreign_adapters;
        zipf_distribution popularity;
        duration next_at{0};
    };

    [[nodiscard]] source_state make_state(std::size_t source) const;
    void advance(std::size_t source);
    [[nodiscard]] bool is_past_end(std::size_t source) const;
    void fill_completion(planned_request& request, source_state& state);
    [[nodiscard]] const plan_adapter& pick_adapter(planned_request& request, source_state& state);

    const load_plan* plan_;
    std::vector<source_state> states_;
    std::uint64_t planned_ = 0;
};

} // namespace samphiretray::standins

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

    /// Completions.
    std::string adapter;
    /// Empty if the request leaves the version to the inventory.
    std::string version;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    bool stream = false;
    bool chat = false;
    /// True if the adapter belongs to another organisation.
    bool foreign = false;

    /// Orders.
    std::string order;

    /// `<adapter>` or `<adapter>@<version>`.
    [[nodiscard]] std::string model() const;
};

/// The requests of a plan in the order of their times; the same for the same plan.
class load_schedule {
public:
    explicit load_schedule(const load_plan& plan);

    /// The next request, or nothing after the end of the run.
    [[nodiscard]] std::optional<planned_request> next();

private:
    struct stream_state {
        random_source random;
        std::vector<std::size_t> own_adapters;
        std::vector<std::size_t> foreign_adapters;
        zipf_ranks popularity;
        duration next_at{0};
    };

    [[nodiscard]] stream_state make_state(std::size_t source) const;
    void advance(std::size_t source);
    [[nodiscard]] bool is_past_end(std::size_t source) const;
    void fill_completion(planned_request& request, stream_state& state);
    [[nodiscard]] const load_adapter& pick_adapter(planned_request& request, stream_state& state);

    const load_plan* plan_;
    std::vector<stream_state> states_;
    std::uint64_t planned_ = 0;
};

} // namespace samphiretray::standins

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Service-level objectives (SLOs) and the burn rates of their error budgets.
namespace samphiretray::observe {

/// What an objective is evaluated for.
enum class objective_scope { organisation, service };

/// A service-level objective.
struct objective {
    std::string name;
    objective_scope scope = objective_scope::service;
    /// Name of the organisation or service; "*" applies the objective to each one separately.
    std::string subject = "*";
    /// Fraction of events that must be good, above 0 and below 1.
    double target = 0.999;
};

/// Parses a JSON array (comments allowed) of {"name", "scope": "organisation" | "service", "subject",
/// "target"}. Errors (`errc::invalid_argument`, step `settings`) state `file` and the field.
[[nodiscard]] result<std::vector<objective>> parse_objectives(std::string_view text, std::string_view file);

/// Number of events, and how many of them were good.
struct event_count {
    std::uint64_t good = 0;
    std::uint64_t total = 0;
};

/// Event counts of the last three days in two ring buffers: the last hour with a resolution of 10 s, and all
/// three days with a resolution of 5 minutes.
class event_history {
public:
    void record(event_count added, time_point now);
    /// Sums the events of the last `window`, rounded up to the resolution of the ring buffer.
    [[nodiscard]] event_count sum_within(duration window, time_point now) const;

private:
    template <std::size_t Slots>
    class ring_buffer {
    public:
        void record(event_count added, std::int64_t slot);
        [[nodiscard]] event_count sum_within(std::int64_t slots, std::int64_t now_slot) const;

    private:
        void advance(std::int64_t slot);

        std::array<event_count, Slots> counts_{};
        /// Newest slot, numbered from the epoch of the clock.
        std::int64_t newest_slot_ = 0;
    };

    ring_buffer<361> fine_counts_;
    ring_buffer<865> coarse_counts_;
};

/// A multi-window burn-rate alert: it fires if the burn rate exceeds `threshold` in both windows. The long
/// window shows that the loss of budget is significant, the short one that it still goes on.
struct burn_window_pair {
    std::string_view name;
    duration short_window;
    duration long_window;
    double threshold = 0;
};

inline constexpr std::array<burn_window_pair, 3> burn_window_pairs{{
    {"5m/1h", 5min, 1h, 14.4},
    {"30m/6h", 30min, 6h, 6.0},
    {"6h/3d", 6h, 72h, 1.0},
}};

/// Burn rates in both windows of a pair, and whether its alert fires.
struct window_pair_burn {
    double short_rate = 0;
    double long_rate = 0;
    bool firing = false;
};

/// Burn rates of one objective for one subject. A burn rate of 1 uses up the error budget exactly.
struct burn_report {
    std::string objective;
    objective_scope scope = objective_scope::service;
    std::string subject;
    double target = 0;
    /// Events of the last three days.
    event_count events;
    /// In the order of `burn_window_pairs`.
    std::array<window_pair_burn, burn_window_pairs.size()> pairs;
};

/// Counts events for each organisation and service, and reports the burn rates of objectives.
class burn_monitor {
public:
    /// Once `max_subjects` organisations and services are known, events of further ones are counted for the
    /// subject "other".
    explicit burn_monitor(std::vector<objective> objectives, std::size_t max_subjects = 256);

    void record(objective_scope scope, std::string_view subject, event_count added, time_point now);
    [[nodiscard]] std::vector<burn_report> report(time_point now) const;

private:
    using subject_key = std::pair<objective_scope, std::string>;

    std::vector<objective> objectives_;
    std::size_t max_subjects_;
    std::map<subject_key, event_history> histories_;
};

/// Formats a table with a line for each report; pairs whose alert fires are marked with "!".
[[nodiscard]] std::string format_table(std::span<const burn_report> reports);
[[nodiscard]] std::string format_json(std::span<const burn_report> reports);

} // namespace samphiretray::observe

namespace samphiretray {

template <>
inline constexpr auto name_table<observe::objective_scope> =
    std::to_array<std::pair<observe::objective_scope, std::string_view>>({
        {observe::objective_scope::organisation, "organisation"},
        {observe::objective_scope::service, "service"},
    });

} // namespace samphiretray

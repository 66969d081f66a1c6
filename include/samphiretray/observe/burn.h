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

/// Service-level objectives and the rates at which their error budgets are used up.
namespace samphiretray::observe {

enum class objective_scope { organisation, service };

struct objective {
    std::string name;
    objective_scope scope = objective_scope::service;
    /// Organisation or service; "*" for each one.
    std::string subject = "*";
    /// Part of the events that is to be good, above 0 and below 1.
    double target = 0.999;
};

/// Parses a JSON array (comments allowed) of {"name", "scope": "organisation" | "service", "subject",
/// "target"}. `file` is used in errors (`errc::invalid_argument`, step `settings`), which name the field.
[[nodiscard]] result<std::vector<objective>> parse_objectives(std::string_view text, std::string_view file);

struct event_count {
    std::uint64_t good = 0;
    std::uint64_t total = 0;
};

/// Counts of the last three days in two rings: 10 s resolution for an hour, 5 minutes for the rest.
class event_history {
public:
    void record(event_count added, time_point now);
    /// Counts of the last `window`, rounded up to the ring's resolution.
    [[nodiscard]] event_count within(duration window, time_point now) const;

private:
    template <std::size_t Slots>
    class ring {
    public:
        void record(event_count added, std::int64_t slot);
        [[nodiscard]] event_count within(std::int64_t slots, std::int64_t now_slot) const;

    private:
        void advance(std::int64_t slot);

        std::array<event_count, Slots> counts_{};
        /// Number of the newest slot since the clock's epoch.
        std::int64_t newest_ = 0;
    };

    ring<361> fine_;
    ring<865> coarse_;
};

/// An alert fires if the budget burns faster than `threshold` in both windows: the long one shows that it
/// matters, the short one that it still goes on.
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

struct pair_burn {
    double short_rate = 0;
    double long_rate = 0;
    bool firing = false;
};

/// Burn rates of one objective for one subject. A rate of 1 uses up the budget exactly.
struct burn_report {
    std::string objective;
    objective_scope scope = objective_scope::service;
    std::string subject;
    double target = 0;
    /// Of the last three days.
    event_count events;
    /// In the order of `burn_window_pairs`.
    std::array<pair_burn, burn_window_pairs.size()> pairs;
};

class burn_monitor {
public:
    /// Counts of more than `max_subjects` organisations and services go to the subject "other".
    explicit burn_monitor(std::vector<objective> objectives, std::size_t max_subjects = 256);

    void record(objective_scope scope, std::string_view subject, event_count added, time_point now);
    [[nodiscard]] std::vector<burn_report> report(time_point now) const;

private:
    using subject_key = std::pair<objective_scope, std::string>;

    std::vector<objective> objectives_;
    std::size_t max_subjects_;
    std::map<subject_key, event_history> histories_;
};

/// One line for each report, columns aligned, firing pairs marked with "!".
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

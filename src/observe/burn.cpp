#include "samphiretray/observe/burn.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace samphiretray::observe {

namespace {

using nlohmann::json;

constexpr duration fine_resolution = 10s;
constexpr duration coarse_resolution = 5min;
constexpr duration fine_span = 1h;
constexpr std::string_view other_subject = "other";
constexpr std::string_view every_subject = "*";

error invalid_objective(std::string_view file, std::size_t index, std::string_view detail) {
    return make_error(errc::invalid_argument, step::settings, std::string{file},
                      "objective " + std::to_string(index) + ": " + std::string{detail});
}

std::string string_field(const json& object, const char* name, std::string_view default_value) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>()
                                                       : std::string{default_value};
}

bool has_unknown_field(const json& object) {
    constexpr std::array<std::string_view, 4> known{"name", "scope", "subject", "target"};
    return std::ranges::any_of(object.items(), [&](const auto& item) {
        return std::ranges::find(known, std::string_view{item.key()}) == known.end();
    });
}

result<objective> parse_objective(const json& object, std::string_view file, std::size_t index) {
    if (!object.is_object() || has_unknown_field(object)) {
        return invalid_objective(file, index,
                                 "must be an object with only the fields name, scope, subject and target");
    }
    const auto scope = parse_name<objective_scope>(string_field(object, "scope", {}));
    const auto target = object.find("target");
    objective parsed{.name = string_field(object, "name", {}),
                     .subject = string_field(object, "subject", "*")};
    if (parsed.name.empty() || parsed.subject.empty()) {
        return invalid_objective(file, index, "name and subject must be non-empty strings");
    }
    if (!scope) {
        return invalid_objective(file, index, "scope must be \"organisation\" or \"service\"");
    }
    if (target == object.end() || !target->is_number() || *target <= 0.0 || *target >= 1.0) {
        return invalid_objective(file, index, "target must be a number above 0 and below 1");
    }
    parsed.scope = *scope;
    parsed.target = target->get<double>();
    return parsed;
}

/// The fraction of bad events, relative to the fraction that the target allows.
double burn_rate(event_count counted, double target) {
    if (counted.total == 0) {
        return 0;
    }
    const auto bad = static_cast<double>(counted.total - std::min(counted.good, counted.total));
    return bad / static_cast<double>(counted.total) / (1 - target);
}

window_pair_burn evaluate_pair(const event_history& history, const burn_window_pair& pair, double target,
                               time_point now) {
    window_pair_burn burn{.short_rate = burn_rate(history.sum_within(pair.short_window, now), target),
                          .long_rate = burn_rate(history.sum_within(pair.long_window, now), target)};
    burn.firing = burn.short_rate > pair.threshold && burn.long_rate > pair.threshold;
    return burn;
}

json to_json(const burn_report& report) {
    json windows = json::object();
    for (std::size_t i = 0; i < report.pairs.size(); ++i) {
        const window_pair_burn& burn = report.pairs.at(i);
        windows[std::string{burn_window_pairs.at(i).name}] = {
            {"short", burn.short_rate}, {"long", burn.long_rate}, {"firing", burn.firing}};
    }
    return {{"objective", report.objective},
            {"scope", name_of(report.scope)},
            {"subject", report.subject},
            {"target", report.target},
            {"good", report.events.good},
            {"total", report.events.total},
            {"burn", windows}};
}

std::string format_rates(const window_pair_burn& burn) {
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << burn.short_rate << '/' << burn.long_rate;
    text << (burn.firing ? "!" : "");
    return text.str();
}

} // namespace

result<std::vector<objective>> parse_objectives(std::string_view text, std::string_view file) {
    const json parsed = json::parse(text, nullptr, false, true);
    if (!parsed.is_array()) {
        return make_error(errc::invalid_argument, step::settings, std::string{file},
                          "must be a JSON array of objectives");
    }
    std::vector<objective> objectives;
    for (const json& element : parsed) {
        auto parsed_objective = parse_objective(element, file, objectives.size());
        if (!parsed_objective) {
            return parsed_objective.error();
        }
        objectives.push_back(*std::move(parsed_objective));
    }
    return objectives;
}

template <std::size_t Slots>
void event_history::ring_buffer<Slots>::advance(std::int64_t slot) {
    const auto elapsed_slots = std::min<std::int64_t>(slot - newest_slot_, Slots);
    for (std::int64_t i = 1; i <= elapsed_slots; ++i) {
        counts_.at(
            static_cast<std::size_t>((slot - elapsed_slots + i) % static_cast<std::int64_t>(Slots))) = {};
    }
    newest_slot_ = std::max(newest_slot_, slot);
}

template <std::size_t Slots>
void event_history::ring_buffer<Slots>::record(event_count added, std::int64_t slot) {
    advance(slot);
    event_count& counted =
        counts_.at(static_cast<std::size_t>(newest_slot_ % static_cast<std::int64_t>(Slots)));
    counted.good += added.good;
    counted.total += added.total;
}

template <std::size_t Slots>
event_count event_history::ring_buffer<Slots>::sum_within(std::int64_t slots, std::int64_t now_slot) const {
    event_count sum;
    const std::int64_t first =
        std::max(now_slot - slots, newest_slot_ - static_cast<std::int64_t>(Slots) + 1);
    for (std::int64_t slot = std::max<std::int64_t>(first, 0); slot <= newest_slot_; ++slot) {
        const event_count& counted =
            counts_.at(static_cast<std::size_t>(slot % static_cast<std::int64_t>(Slots)));
        sum.good += counted.good;
        sum.total += counted.total;
    }
    return sum;
}

void event_history::record(event_count added, time_point now) {
    fine_counts_.record(added, now.time_since_epoch() / fine_resolution);
    coarse_counts_.record(added, now.time_since_epoch() / coarse_resolution);
}

event_count event_history::sum_within(duration window, time_point now) const {
    if (window <= fine_span) {
        return fine_counts_.sum_within(window / fine_resolution, now.time_since_epoch() / fine_resolution);
    }
    return coarse_counts_.sum_within(window / coarse_resolution, now.time_since_epoch() / coarse_resolution);
}

burn_monitor::burn_monitor(std::vector<objective> objectives, std::size_t max_subjects)
    : objectives_(std::move(objectives)), max_subjects_(max_subjects) {}

void burn_monitor::record(objective_scope scope, std::string_view subject, event_count added,
                          time_point now) {
    subject_key key{scope, std::string{subject}};
    if (histories_.size() >= max_subjects_ && !histories_.contains(key)) {
        key.second = other_subject;
    }
    histories_[key].record(added, now);
}

std::vector<burn_report> burn_monitor::report(time_point now) const {
    std::vector<burn_report> reports;
    for (const objective& slo : objectives_) {
        for (const auto& [key, history] : histories_) {
            const bool matches_subject = slo.subject == every_subject || slo.subject == key.second;
            if (key.first != slo.scope || !matches_subject) {
                continue;
            }
            burn_report subject_report{.objective = slo.name,
                                       .scope = slo.scope,
                                       .subject = key.second,
                                       .target = slo.target,
                                       .events = history.sum_within(72h, now),
                                       .pairs = {}};
            std::ranges::transform(
                burn_window_pairs, subject_report.pairs.begin(),
                [&](const burn_window_pair& pair) { return evaluate_pair(history, pair, slo.target, now); });
            reports.push_back(std::move(subject_report));
        }
    }
    return reports;
}

std::string format_table(std::span<const burn_report> reports) {
    std::ostringstream table;
    const auto column = [&](int width, std::string_view text) {
        table << std::left << std::setw(width) << text;
    };
    column(24, "OBJECTIVE");
    column(14, "SCOPE");
    column(24, "SUBJECT");
    column(10, "TARGET");
    for (const burn_window_pair& pair : burn_window_pairs) {
        column(16, pair.name);
    }
    table << "GOOD/TOTAL\n";
    for (const burn_report& report : reports) {
        column(24, report.objective + ' ');
        column(14, name_of(report.scope));
        column(24, report.subject + ' ');
        table << std::setw(10) << report.target;
        for (const window_pair_burn& burn : report.pairs) {
            column(16, format_rates(burn) + ' ');
        }
        table << report.events.good << '/' << report.events.total << '\n';
    }
    return table.str();
}

std::string format_json(std::span<const burn_report> reports) {
    json list = json::array();
    std::ranges::transform(reports, std::back_inserter(list), to_json);
    return list.dump();
}

} // namespace samphiretray::observe

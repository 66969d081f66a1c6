#include "samphiretray/config/configuration.h"
#include "samphiretray/config/names.h"

#include <algorithm>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <tuple>

namespace samphiretray::config {

namespace {

// Keeps the product of a rate and a time in microseconds within 64 bits.
constexpr std::uint64_t max_rate = 1'000'000'000'000;
// Snapshots store indices into these lists in 16 bits.
constexpr std::size_t max_list_size = std::numeric_limits<std::uint16_t>::max();

std::string quoted(std::string_view text) {
    return "\"" + std::string{text} + "\"";
}

std::string field_path(std::string_view list, std::size_t index, std::string_view field) {
    return std::string{list} + "[" + std::to_string(index) + "]." + std::string{field};
}

bool is_digest(std::string_view text) {
    const auto is_digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == 64 && std::ranges::all_of(text, is_digit);
}

bool is_label(std::string_view text) {
    const auto is_control = [](unsigned char c) { return c < ' ' || c == 0x7F; };
    return text.size() <= max_name_length && std::ranges::none_of(text, is_control);
}

/// Collects the invalid fields and inconsistencies of one configuration.
class configuration_validator {
public:
    explicit configuration_validator(const configuration& value) : value_(value) {}

    std::vector<std::string> run() {
        check_names("organisations", value_.rules.organisations);
        check_names("services", value_.rules.services);
        check_names("endpoints", value_.rules.endpoints);
        check_organisations();
        check_services();
        check_keys();
        check_inventory();
        return std::move(problems_);
    }

private:
    void add_problem(const std::string& location, const std::string& problem) {
        problems_.push_back(location + " " + problem);
    }

    template <typename T>
    void check_names(std::string_view list, const std::vector<T>& values) {
        if (values.size() > max_list_size) {
            add_problem(std::string{list}, "has more than " + std::to_string(max_list_size) + " elements");
        }
        std::set<std::string_view> seen;
        for (std::size_t i = 0; i < values.size(); ++i) {
            const std::string& name = values[i].name;
            if (!is_name(name)) {
                add_problem(field_path(list, i, "name"),
                            "is " + quoted(name) + "; allowed: " + std::string{name_rule});
            } else if (!seen.insert(name).second) {
                add_problem(field_path(list, i, "name"), "is " + quoted(name) + ", which is there twice");
            }
        }
    }

    void check_token_amount(std::size_t index, std::string_view field, std::uint64_t amount) {
        if (amount == 0 || amount > max_rate) {
            add_problem(field_path("organisations", index, field),
                        "is " + std::to_string(amount) + "; allowed: 1 to " + std::to_string(max_rate));
        }
    }

    void check_organisations() {
        for (std::size_t i = 0; i < value_.rules.organisations.size(); ++i) {
            const organisation& checked = value_.rules.organisations[i];
            organisations_.insert(checked.name);
            check_token_amount(i, "rate", checked.rate);
            check_token_amount(i, "burst", checked.burst);
        }
    }

    void check_services() {
        for (std::size_t i = 0; i < value_.rules.services.size(); ++i) {
            const service& checked = value_.rules.services[i];
            services_.emplace(checked.name, checked.kind);
            if (checked.kind == service_kind::engine) {
                check_engine_service(i, checked);
            } else if (!checked.base_model.empty()) {
                add_problem(field_path("services", i, "base_model"), "is set; plain services have none");
            }
        }
    }

    void check_engine_service(std::size_t index, const service& checked) {
        if (!is_model_name(checked.base_model)) {
            add_problem(field_path("services", index, "base_model"),
                        "is " + quoted(checked.base_model) + "; allowed: " + std::string{model_name_rule});
        }
        if (!checked.repeatable) {
            add_problem(field_path("services", index, "repeatable"),
                        "is false; allowed for plain services only");
        }
    }

    void check_keys() {
        std::set<std::string_view> digests;
        for (std::size_t i = 0; i < value_.rules.keys.size(); ++i) {
            const key_grant& checked = value_.rules.keys[i];
            if (!is_digest(checked.digest)) {
                add_problem(field_path("keys", i, "digest"),
                            "is not a SHA-256 of 64 lower-case hexadecimal digits");
            } else if (!digests.insert(checked.digest).second) {
                add_problem(field_path("keys", i, "digest"),
                            "is " + quoted(checked.digest) + ", which is there twice");
            }
            if (!organisations_.contains(checked.organisation)) {
                add_problem(field_path("keys", i, "organisation"),
                            "is " + quoted(checked.organisation) + ", which is not among the organisations");
            }
            if (!is_label(checked.label)) {
                add_problem(field_path("keys", i, "label"),
                            "is longer than 128 bytes or has control characters");
            }
        }
    }

    static std::string row_label(std::size_t index) { return "inventory row " + std::to_string(index + 1); }

    void check_inventory() {
        for (std::size_t i = 0; i < value_.inventory.size(); ++i) {
            check_row_names(i);
            check_row_references(i);
        }
        check_adapters();
    }

    void check_row_names(std::size_t index) {
        const adapter_record& row = value_.inventory[index];
        if (!is_model_name(row.adapter)) {
            add_problem(row_label(index), "field adapter is " + quoted(row.adapter) +
                                              "; allowed: " + std::string{model_name_rule});
        }
        if (!is_model_name(row.version)) {
            add_problem(row_label(index), "field version is " + quoted(row.version) +
                                              "; allowed: " + std::string{model_name_rule});
        }
    }

    void check_row_references(std::size_t index) {
        const adapter_record& row = value_.inventory[index];
        if (!organisations_.contains(row.organisation)) {
            add_problem(row_label(index), "field organisation is " + quoted(row.organisation) +
                                              ", which is not among the organisations");
        }
        const auto found = services_.find(row.service);
        if (found == services_.end()) {
            add_problem(row_label(index),
                        "field service is " + quoted(row.service) + ", which is not among the services");
        } else if (found->second != service_kind::engine) {
            add_problem(row_label(index),
                        "field service is " + quoted(row.service) + ", which is a plain service");
        }
    }

    /// Compares the rows of each adapter in the order of their versions. Sorting is faster than sets of
    /// names, which matters because each process validates 38,000 rows on its event loop after each change.
    void check_adapters() {
        const inventory& rows = value_.inventory;
        std::vector<std::size_t> order(rows.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        const auto name = [&rows](std::size_t index) {
            return std::tie(rows[index].adapter, rows[index].version);
        };
        std::ranges::stable_sort(order, {}, name);
        bool has_current = false;
        for (std::size_t i = 0; i < order.size(); ++i) {
            const bool is_same_adapter = i > 0 && rows[order[i]].adapter == rows[order[i - 1]].adapter;
            const bool had_current = is_same_adapter && has_current;
            if (is_same_adapter) {
                check_adjacent_rows(order[i - 1], order[i], had_current);
            }
            has_current = had_current || rows[order[i]].current;
        }
    }

    /// Compares a row with the previous row of the same adapter. `had_current` is true if one of its earlier
    /// rows is current.
    void check_adjacent_rows(std::size_t first, std::size_t second, bool had_current) {
        const adapter_record& before = value_.inventory[first];
        const adapter_record& row = value_.inventory[second];
        const std::string location = row_label(second);
        if (row.version == before.version) {
            add_problem(location,
                        "has adapter " + quoted(row.adapter) + " version " + quoted(row.version) + " twice");
            return;
        }
        if (row.organisation != before.organisation) {
            add_problem(location, "gives adapter " + quoted(row.adapter) + " to a second organisation");
        }
        if (row.service != before.service) {
            add_problem(location, "gives adapter " + quoted(row.adapter) + " to a second service");
        }
        if (row.current && had_current) {
            add_problem(location, "gives adapter " + quoted(row.adapter) + " a second current version");
        }
    }

    const configuration& value_;
    std::vector<std::string> problems_;
    std::set<std::string_view> organisations_;
    std::map<std::string_view, service_kind> services_;
};

} // namespace

std::vector<std::string> find_validation_errors(const configuration& value) {
    return configuration_validator{value}.run();
}

status validate(const configuration& value) {
    const std::vector<std::string> problems = find_validation_errors(value);
    if (problems.empty()) {
        return success();
    }
    std::string detail = problems.front();
    if (problems.size() > 1) {
        detail += " (and " + std::to_string(problems.size() - 1) + " more)";
    }
    return make_error(errc::invalid_argument, step::configure, {}, std::move(detail));
}

} // namespace samphiretray::config

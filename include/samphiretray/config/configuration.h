#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::config {

/// The complete configuration that operators edit.
struct configuration {
    config::rules rules;
    config::inventory inventory;
};

/// Parses rules: a JSON object with the lists `organisations`, `services`, `keys` and `endpoints`. `file` is
/// used in errors (`errc::invalid_argument`, step `configure`).
[[nodiscard]] result<rules> parse_rules(std::string_view text, std::string_view file);

/// Parses an export of the adapter register: a JSON list of rows, or CSV with a header line. `file` is used
/// in errors.
[[nodiscard]] result<inventory> parse_inventory(std::string_view text, std::string_view file);

/// All invalid fields and inconsistencies of `value`, each starting with its location ("services[2].name",
/// "inventory row 17").
[[nodiscard]] std::vector<std::string> find_validation_errors(const configuration& value);

/// Fails if `value` has any invalid field or inconsistency (`errc::invalid_argument`, step `configure`); the
/// detail states the first one and how many more there are.
[[nodiscard]] status validate(const configuration& value);

/// Serialises to JSON that `parse_rules` and `parse_inventory` accept.
[[nodiscard]] std::string to_json(const rules& value);
[[nodiscard]] std::string to_json(const inventory& value);

/// One line for each object that was added, changed or removed, such as "organisation bagwis: rate 10, burst
/// 40, priority no -> rate 20, burst 40, priority no" or "key 1a2b3c4d5e6f: removed".
[[nodiscard]] std::vector<std::string> describe_changes(const configuration& before,
                                                        const configuration& after);

} // namespace samphiretray::config

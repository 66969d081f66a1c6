#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/config/model.h"

#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::config {

/// Everything that operators edit.
struct configuration {
    config::rules rules;
    config::inventory inventory;
};

/// Parses rules: a JSON object with the lists `organisations`, `services`, `keys` and `endpoints`. `file` is
/// used in errors (`errc::invalid_argument`, step `configure`).
[[nodiscard]] result<rules> parse_rules(std::string_view text, std::string_view file);

/// Parses the register's export: a JSON list of rows, or CSV with a header line. `file` is used in errors.
[[nodiscard]] result<inventory> parse_inventory(std::string_view text, std::string_view file);

/// All contradictions in `value`, each naming the place ("services[2].name", "inventory row 17").
[[nodiscard]] std::vector<std::string> find_contradictions(const configuration& value);

/// Refuses `value` as a whole if it has contradictions (`errc::invalid_argument`, step `configure`); the
/// detail has the first one and their number.
[[nodiscard]] status validate(const configuration& value);

/// JSON texts that the parse functions accept.
[[nodiscard]] std::string to_json(const rules& value);
[[nodiscard]] std::string to_json(const inventory& value);

/// One line for each difference, such as "organisation bagwis: rate 10 -> 20" or "key 1a2b..: withdrawn".
[[nodiscard]] std::vector<std::string> describe_changes(const configuration& before,
                                                        const configuration& after);

} // namespace samphiretray::config

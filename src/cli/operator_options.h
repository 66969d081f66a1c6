#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"

#include <optional>
#include <string>
#include <vector>

namespace samphiretray::cli {

/// Parsed command line of the subcommands for operators.
struct operator_options {
    std::optional<net::address> key_value_service;
    bool json = false;
    /// Positional arguments.
    std::vector<std::string> arguments;
};

/// Parses the command line; `--help` and `--version` print their text and exit. Fails with
/// `errc::invalid_argument`.
[[nodiscard]] result<operator_options> parse_operator_options(int argc, const char** argv);

} // namespace samphiretray::cli

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"

#include <optional>
#include <string>
#include <vector>

namespace samphiretray::cli {

/// Command line of the operators' subcommands.
struct operator_options {
    std::optional<net::address> key_value_service;
    bool json = false;
    /// Arguments that are not options.
    std::vector<std::string> words;
};

/// Parses options; `--help` and `--version` print and end the process. Fails with `errc::invalid_argument`.
[[nodiscard]] result<operator_options> parse_operator_options(int argc, const char** argv);

} // namespace samphiretray::cli

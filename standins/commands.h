#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::standins {

/// A subcommand of `samphiretray-standins`. `run` returns the exit status of the process.
struct command {
    std::string_view name;
    std::string_view summary;
    int (*run)(const std::vector<std::string>& arguments);
};

[[nodiscard]] const std::vector<command>& commands();

} // namespace samphiretray::standins

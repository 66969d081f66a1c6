#pragma once

#include "samphiretray/cli/daemon.h"

namespace samphiretray::cli {

/// Runs one of the subcommands for operators: `check`, `config` and `key`. `argv[0]` is the name of the
/// subcommand. Prints results to standard output and errors to standard error, and returns an `exit_code`.
[[nodiscard]] int run_cli(int argc, const char** argv);

} // namespace samphiretray::cli

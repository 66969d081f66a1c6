#pragma once

#include "samphiretray/cli/daemon.h"

namespace samphiretray::cli {

/// The operators' subcommands: `check`, `config` and `key`. `argv[0]` is the subcommand's name.
/// Results go to standard output, errors to standard error. Returns an `exit_code`.
[[nodiscard]] int run_cli(int argc, const char** argv);

} // namespace samphiretray::cli

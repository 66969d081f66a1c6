#pragma once

namespace samphiretray::cli {

/// Exit codes of all subcommands.
enum exit_code : int {
    exit_ok = 0,
    exit_failure = 1,
    exit_usage = 2,
    exit_conflict = 3,
};

/// `samphiretray entry --settings FILE`: runs until the process has drained after SIGTERM, SIGINT or
/// `POST /drain`. SIGHUP reloads the TLS certificates. `argv[0]` is the name of the subcommand.
[[nodiscard]] int run_entry(int argc, const char** argv);

/// `samphiretray agent --settings FILE`: like `run_entry`, but without a handler for SIGHUP.
[[nodiscard]] int run_agent(int argc, const char** argv);

} // namespace samphiretray::cli

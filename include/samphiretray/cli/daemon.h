#pragma once

namespace samphiretray::cli {

/// Exit codes of all subcommands.
enum exit_code : int {
    exit_ok = 0,
    exit_failure = 1,
    exit_usage = 2,
    exit_conflict = 3,
};

/// `samphiretray entry --settings FILE`: runs until a planned stop (SIGTERM, SIGINT or `POST /drain`) is
/// done. SIGHUP reads the certificates again. `argv[0]` is the subcommand's name.
[[nodiscard]] int run_entry(int argc, const char** argv);

/// `samphiretray agent --settings FILE`, likewise.
[[nodiscard]] int run_agent(int argc, const char** argv);

} // namespace samphiretray::cli

#pragma once

namespace samphiretray::cli {

/// `status ADDRESS...` and `burn ADDRESS [--json]`: ask processes at their admin addresses. `argv[0]` is the
/// subcommand's name. Returns an `exit_code`; failure if a process does not answer.
[[nodiscard]] int run_report(int argc, const char** argv);

} // namespace samphiretray::cli

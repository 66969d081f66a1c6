#pragma once

namespace samphiretray::cli {

/// `status ADDRESS...` and `burn ADDRESS... [--json]`: query processes at their admin addresses. `argv[0]` is
/// the name of the subcommand. Returns an `exit_code`; `exit_failure` if a query fails.
[[nodiscard]] int run_report(int argc, const char** argv);

} // namespace samphiretray::cli

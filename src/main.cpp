#include "samphiretray/cli/cli.h"
#include "samphiretray/cli/daemon.h"
#include "samphiretray/cli/report.h"

#include "platform/processes.h"

#include <cstdio>
#include <string_view>

int main(int argc, const char** argv) {
    using namespace samphiretray;
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "entry") {
        return cli::run_entry(argc - 1, argv + 1);
    }
    if (command == "agent") {
        return cli::run_agent(argc - 1, argv + 1);
    }
    if (command == "gateway") {
        return platform::run_gateway(argc - 1, argv + 1);
    }
    if (command == "engine-agent") {
        return platform::run_engine_agent(argc - 1, argv + 1);
    }
    if (command == "--version") {
        std::puts("samphiretray " SAMPHIRETRAY_VERSION);
        return cli::exit_ok;
    }
    if (command == "status" || command == "burn") {
        return cli::run_report(argc - 1, argv + 1);
    }
    if (command == "check" || command == "config" || command == "key") {
        return cli::run_cli(argc - 1, argv + 1);
    }
    const bool help_requested = command == "--help";
    std::fputs("usage: samphiretray COMMAND [OPTION...]\n"
               "  entry   serve callers on an entry VM\n"
               "  agent   serve the endpoint on an endpoint VM\n"
               "  gateway       serve callers on an entry VM of the users' platform\n"
               "  engine-agent  serve the engine on an endpoint VM of the users' platform\n"
               "  check   check settings, rules and inventory files\n"
               "  config  show, import, diff and apply the configuration\n"
               "  key     grant, withdraw and list keys\n"
               "  status  show the status of processes\n"
               "  burn    show the error budget burn rates of an entry\n"
               "Each command has --help.\n",
               help_requested ? stdout : stderr);
    return help_requested ? cli::exit_ok : cli::exit_usage;
}

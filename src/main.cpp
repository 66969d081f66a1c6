#include "samphiretray/cli/daemon.h"

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
    if (command == "--version") {
        std::puts("samphiretray " SAMPHIRETRAY_VERSION);
        return cli::exit_ok;
    }
    std::fputs("usage: samphiretray COMMAND\n", stderr);
    return cli::exit_usage;
}

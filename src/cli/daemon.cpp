#include "samphiretray/cli/daemon.h"

#include "samphiretray/agent/agent_process.h"
#include "samphiretray/base/file_text.h"
#include "samphiretray/base/log.h"
#include "samphiretray/cli/popt_context.h"
#include "samphiretray/config/settings.h"
#include "samphiretray/entry/entry_process.h"
#include "samphiretray/net/loop.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace samphiretray::cli {

namespace {

/// Returns the path given with --settings. Prints a usage error and returns nothing if the arguments are
/// invalid.
std::optional<std::string> parse_settings_file(int argc, const char** argv) {
    char* file = nullptr;
    const std::array options{poptOption{"settings", 's', POPT_ARG_STRING, static_cast<void*>(&file), 0,
                                        "settings of this process, JSON with comments", "FILE"},
                             poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const popt_context_ptr context{poptGetContext("samphiretray", argc, argv, options.data(), 0)};
    const int outcome = poptGetNextOpt(context.get());
    const std::unique_ptr<char, decltype(&std::free)> file_owner{file, &std::free};
    if (outcome < -1) {
        std::fprintf(stderr, "samphiretray: %s: %s\n", poptBadOption(context.get(), 0),
                     poptStrerror(outcome));
        return std::nullopt;
    }
    if (file == nullptr || poptPeekArg(context.get()) != nullptr) {
        std::fputs("samphiretray: expected --settings FILE and nothing else\n", stderr);
        return std::nullopt;
    }
    return std::string{file};
}

int report(const error& failure) {
    std::fprintf(stderr, "samphiretray: %s\n", to_string(failure).c_str());
    return exit_failure;
}

void drain_on_signals(net::loop& loop, const std::function<void()>& drain) {
    std::signal(SIGPIPE, SIG_IGN);
    loop.on_signal(SIGTERM, drain);
    loop.on_signal(SIGINT, drain);
}

template <typename Process, typename Settings>
int run(int argc, const char** argv, result<Settings> (*parse)(std::string_view, std::string_view)) {
    const auto file = parse_settings_file(argc, argv);
    if (!file) {
        return exit_usage;
    }
    const auto text = read_text_file(*file);
    if (!text) {
        return report(make_error(errc::not_found, step::settings, "", "cannot read " + *file));
    }
    auto settings = parse(*text, *file);
    if (!settings) {
        return report(settings.error());
    }
    configure_logging(settings->common.log);
    net::loop loop;
    auto process = Process::create(loop, std::move(*settings));
    if (!process) {
        return report(process.error());
    }
    drain_on_signals(loop, [&process] { (*process)->drain(); });
    if constexpr (std::is_same_v<Process, entry::entry_process>) {
        loop.on_signal(SIGHUP, [&process] { (*process)->reload_certificates(); });
    }
    loop.run();
    return exit_ok;
}

} // namespace

int run_entry(int argc, const char** argv) {
    return run<entry::entry_process>(argc, argv, config::parse_entry_settings);
}

int run_agent(int argc, const char** argv) {
    return run<agent::agent_process>(argc, argv, config::parse_agent_settings);
}

} // namespace samphiretray::cli

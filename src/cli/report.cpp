#include "samphiretray/cli/report.h"

#include "samphiretray/cli/daemon.h"
#include "samphiretray/cli/popt_context.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/net/loop.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::cli {

namespace {

constexpr duration answer_timeout = 5s;

struct report_options {
    bool json = false;
    std::vector<net::address> processes;
};

/// Nothing after a usage error, which is printed.
std::optional<report_options> parse_options(int argc, const char** argv) {
    int json = 0;
    const std::array options{
        poptOption{"json", 'j', POPT_ARG_NONE, static_cast<void*>(&json), 0, "print JSON", nullptr},
        poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const popt_pointer context{poptGetContext("samphiretray", argc, argv, options.data(), 0)};
    poptSetOtherOptionHelp(context.get(), "ADMIN_ADDRESS...");
    if (const int outcome = poptGetNextOpt(context.get()); outcome < -1) {
        std::fprintf(stderr, "samphiretray: %s: %s\n", poptBadOption(context.get(), 0),
                     poptStrerror(outcome));
        return std::nullopt;
    }
    report_options parsed;
    parsed.json = json != 0;
    while (const char* word = poptGetArg(context.get())) {
        const auto process = net::parse_address(word);
        if (!process) {
            std::fprintf(stderr, "samphiretray: %s: expected IP:PORT of an admin address\n", word);
            return std::nullopt;
        }
        parsed.processes.push_back(*process);
    }
    if (parsed.processes.empty()) {
        std::fputs("samphiretray: expected at least one admin address\n", stderr);
        return std::nullopt;
    }
    return parsed;
}

/// Prints what the process answers; false if it does not.
bool print_answer(net::loop& events, net::http_client& client, const net::address& process,
                  const std::string& target) {
    net::http_call call;
    call.peer = process;
    call.target = target;
    call.timeout = answer_timeout;
    std::optional<result<net::http_answer>> answer;
    const auto exchange =
        client.fetch(std::move(call), [&answer](result<net::http_answer> got) { answer = std::move(got); });
    (void)events.run_until([&answer] { return answer.has_value(); }, answer_timeout + 1s);
    if (!answer || !*answer || (*answer)->status != 200) {
        const std::string cause = answer && !*answer ? to_string(answer->error()) : "no usable answer";
        std::fprintf(stderr, "samphiretray: %s: %s\n", to_string(process).c_str(), cause.c_str());
        return false;
    }
    const std::string& body = (*answer)->body;
    std::printf("%s%s", body.c_str(), body.ends_with('\n') ? "" : "\n");
    return true;
}

} // namespace

int run_report(int argc, const char** argv) {
    const auto options = parse_options(argc, argv);
    if (!options) {
        return exit_usage;
    }
    const bool burn = std::string_view{argv[0]} == "burn";
    const std::string target = !burn ? "/status" : options->json ? "/burn" : "/burn?format=text";
    net::loop events;
    const auto client = net::http_client::create(events);
    const auto answered = std::ranges::count_if(options->processes, [&](const net::address& process) {
        return print_answer(events, *client, process, target);
    });
    return answered == std::ssize(options->processes) ? exit_ok : exit_failure;
}

} // namespace samphiretray::cli

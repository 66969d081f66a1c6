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

constexpr duration response_timeout = 5s;

struct report_options {
    bool json = false;
    std::vector<net::address> addresses;
};

/// Prints a usage error and returns nothing if the arguments are invalid.
std::optional<report_options> parse_options(int argc, const char** argv) {
    int json = 0;
    const std::array options{
        poptOption{"json", 'j', POPT_ARG_NONE, static_cast<void*>(&json), 0, "print JSON", nullptr},
        poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const popt_context_ptr context{poptGetContext("samphiretray", argc, argv, options.data(), 0)};
    poptSetOtherOptionHelp(context.get(), "ADMIN_ADDRESS...");
    if (const int outcome = poptGetNextOpt(context.get()); outcome < -1) {
        std::fprintf(stderr, "samphiretray: %s: %s\n", poptBadOption(context.get(), 0),
                     poptStrerror(outcome));
        return std::nullopt;
    }
    report_options parsed;
    parsed.json = json != 0;
    while (const char* argument = poptGetArg(context.get())) {
        const auto address = net::parse_address(argument);
        if (!address) {
            std::fprintf(stderr, "samphiretray: %s: expected IP:PORT of an admin address\n", argument);
            return std::nullopt;
        }
        parsed.addresses.push_back(*address);
    }
    if (parsed.addresses.empty()) {
        std::fputs("samphiretray: expected at least one admin address\n", stderr);
        return std::nullopt;
    }
    return parsed;
}

/// Queries a process and prints its response. Prints an error and returns false if that fails.
bool print_response(net::loop& loop, net::http_client& client, const net::address& address,
                    const std::string& target) {
    net::http_call call;
    call.peer = address;
    call.target = target;
    call.timeout = response_timeout;
    std::optional<result<net::fetched_response>> response;
    const auto exchange = client.fetch(std::move(call), [&response](result<net::fetched_response> received) {
        response = std::move(received);
    });
    (void)loop.run_until([&response] { return response.has_value(); }, response_timeout + 1s);
    if (!response || !*response || (*response)->status != 200) {
        const std::string problem =
            response && !*response ? to_string(response->error()) : "no usable answer";
        std::fprintf(stderr, "samphiretray: %s: %s\n", to_string(address).c_str(), problem.c_str());
        return false;
    }
    const std::string& body = (*response)->body;
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
    net::loop loop;
    const auto client = net::http_client::create(loop);
    const auto succeeded = std::ranges::count_if(options->addresses, [&](const net::address& address) {
        return print_response(loop, *client, address, target);
    });
    return succeeded == std::ssize(options->addresses) ? exit_ok : exit_failure;
}

} // namespace samphiretray::cli

#include "operator_options.h"

#include "samphiretray/cli/popt_context.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace samphiretray::cli {

namespace {

constexpr const char* usage = "check FILE... | config show | config import INVENTORY | "
                              "config diff|apply RULES [INVENTORY] | key grant ORGANISATION [LABEL] | "
                              "key withdraw DIGEST | key list";

using c_text = std::unique_ptr<char, decltype(&std::free)>;

error usage_error(std::string detail) {
    return make_error(errc::invalid_argument, step::settings, {}, std::move(detail));
}

/// Parses the address of an option or, if that is not given, of an environment variable.
result<std::optional<net::address>> read_address(const char* option, const char* variable) {
    const char* text = option != nullptr ? option : std::getenv(variable);
    if (text == nullptr) {
        return std::optional<net::address>{};
    }
    auto parsed = net::parse_address(text);
    if (!parsed) {
        return parsed.error();
    }
    return std::optional{*std::move(parsed)};
}

} // namespace

result<operator_options> parse_operator_options(int argc, const char** argv) {
    operator_options parsed;
    char* key_value = nullptr;
    int json = 0;
    int version = 0;
    const std::array table{poptOption{"kv", 'k', POPT_ARG_STRING, static_cast<void*>(&key_value), 0,
                                      "address of the key-value service (or SAMPHIRETRAY_KV)", "IP:PORT"},
                           poptOption{"json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", nullptr},
                           poptOption{"version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr},
                           poptOption POPT_AUTOHELP poptOption POPT_TABLEEND};
    const popt_context_ptr context{poptGetContext("samphiretray", argc, argv, table.data(), 0)};
    poptSetOtherOptionHelp(context.get(), usage);
    const int outcome = poptGetNextOpt(context.get());
    const c_text key_value_owner{key_value, &std::free};
    if (outcome < -1) {
        return usage_error(std::string{poptBadOption(context.get(), 0)} + ": " + poptStrerror(outcome));
    }
    if (version != 0) {
        std::puts("samphiretray " SAMPHIRETRAY_VERSION);
        std::exit(0);
    }
    while (const char* argument = poptGetArg(context.get())) {
        parsed.arguments.emplace_back(argument);
    }
    parsed.json = json != 0;
    const auto service = read_address(key_value, "SAMPHIRETRAY_KV");
    if (!service) {
        return service.error();
    }
    parsed.key_value_service = *service;
    return parsed;
}

} // namespace samphiretray::cli

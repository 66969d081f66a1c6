#include "samphiretray/base/log.h"

#include "standins/commands.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace {

int print_usage() {
    std::puts("samphiretray-standins " SAMPHIRETRAY_VERSION ": test stand-ins of the outside systems");
    for (const auto& item : samphiretray::standins::commands()) {
        std::printf("  %-15s %s\n", std::string{item.name}.c_str(), std::string{item.summary}.c_str());
    }
    return 2;
}

} // namespace

int main(int argc, char** argv) {
    const std::vector<std::string> words(argv, argv + argc);
    const auto& all = samphiretray::standins::commands();
    const auto found = std::ranges::find(all, words.size() > 1 ? std::string_view{words[1]} : "",
                                         &samphiretray::standins::command::name);
    if (found == all.end()) {
        return print_usage();
    }
    samphiretray::configure_logging(samphiretray::log_level::info);
    return found->run({words.begin() + 2, words.end()});
}

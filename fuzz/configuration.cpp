// Feeds changed and cut configuration texts to the parsers; a crash or a sanitizer report is a failure.
#include "samphiretray/config/configuration.h"

#include "samphiretray/config/chunks.h"
#include "samphiretray/config/settings.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>
#include <string>

using namespace samphiretray;

namespace {

constexpr int inputs = 20'000;
constexpr std::size_t most_changes = 8;

const std::array<std::string, 5> seeds{
    R"({"vm":"a","region":"r","data_centre":"d","peer_listen":"127.0.0.1:1","admin_listen":"127.0.0.1:2",
        "key_value_service":"127.0.0.1:3","vm_list":"[::1]:4","cluster_secret":"0123456789abcdef",
        "listen":"127.0.0.1:5","pull_interval_ms":500,"loads_per_second":2.5 /* a comment */})",
    R"({"organisations":[{"name":"o","rate":1,"burst":2,"priority":true}],
        "services":[{"name":"s","kind":"engine","base_model":"b"}],"keys":[],"endpoints":[]})",
    "adapter,version,organisation,service,current\na,1,o,s,true\n\"b\"\"c\",2,o,s,0\n",
    R"([{"adapter":"a","version":"1","organisation":"o","service":"s"}])",
    R"({"revision":1,"token":"t","history":[],"rules_chunk":"00","keys_chunk":"11","inventory_chunks":["22"]})",
};

std::string change(std::string text, std::mt19937_64& random) {
    const std::string tokens = "{}[]\",:0-9eE.+\\/*\n\xff\x00 tfn";
    const std::size_t changes = random() % most_changes;
    for (std::size_t i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t place = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[place] = tokens[random() % tokens.size()];
            break;
        case 1:
            text.erase(place, random() % 8);
            break;
        case 2:
            text.insert(place, text.substr(random() % text.size(), random() % 32));
            break;
        default:
            text.insert(place, std::string(random() % 64, tokens[random() % tokens.size()]));
        }
    }
    return text;
}

/// Runs all parsers; gives how many accepted the text. What is accepted must survive a round trip.
int parse_all(const std::string& text) {
    int accepted = 0;
    accepted += config::parse_entry_settings(text, "fuzz") ? 1 : 0;
    accepted += config::parse_agent_settings(text, "fuzz") ? 1 : 0;
    accepted += config::parse_manifest(text) ? 1 : 0;
    const auto rules = config::parse_rules(text, "fuzz");
    const auto rows = config::parse_inventory(text, "fuzz");
    accepted += rules ? 1 : 0;
    accepted += rows ? 1 : 0;
    const config::configuration value{rules ? *rules : config::rules{}, rows ? *rows : config::inventory{}};
    if (!config::validate(value)) {
        return accepted;
    }
    const auto parts = config::split(value, 4);
    const auto joined = config::join(parts.manifest, parts.chunks);
    return joined && config::describe_changes(value, *joined).empty() ? accepted : -1;
}

} // namespace

int main() {
    std::mt19937_64 random{1};
    int accepted = 0;
    for (int i = 0; i < inputs; ++i) {
        const std::string text = change(seeds.at(random() % seeds.size()), random);
        const int count = parse_all(text);
        if (count < 0) {
            std::printf("a valid configuration was changed by a round trip: %s\n", text.c_str());
            return 1;
        }
        accepted += count;
    }
    // Nested deeper than any recursion could follow.
    accepted += parse_all(std::string(1'000'000, '['));
    accepted +=
        parse_all("{\"organisations\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}");
    std::printf("inputs=%d accepted=%d\n", inputs, accepted);
    return 0;
}

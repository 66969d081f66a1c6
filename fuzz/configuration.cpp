// Feeds mutated configuration texts to the parsers. Fails on a crash, a sanitizer report, or a valid
// configuration that a split and join changes.
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

constexpr int input_count = 20'000;
constexpr std::size_t mutation_limit = 8;

const std::array<std::string, 5> seed_texts{
    R"({"vm":"a","region":"r","data_centre":"d","peer_listen":"127.0.0.1:1","admin_listen":"127.0.0.1:2",
        "key_value_service":"127.0.0.1:3","vm_list":"[::1]:4","cluster_secret":"0123456789abcdef",
        "listen":"127.0.0.1:5","pull_interval_ms":500,"loads_per_second":2.5 /* a comment */})",
    R"({"organisations":[{"name":"o","rate":1,"burst":2,"priority":true}],
        "services":[{"name":"s","kind":"engine","base_model":"b"}],"keys":[],"endpoints":[]})",
    "adapter,version,organisation,service,current\na,1,o,s,true\n\"b\"\"c\",2,o,s,0\n",
    R"([{"adapter":"a","version":"1","organisation":"o","service":"s"}])",
    R"({"revision":1,"token":"t","history":[],"rules_chunk":"00","keys_chunk":"11","inventory_chunks":["22"]})",
};

std::string mutate(std::string text, std::mt19937_64& random) {
    const std::string inserted_characters = "{}[]\",:0-9eE.+\\/*\n\xff\x00 tfn";
    const std::size_t mutation_count = random() % mutation_limit;
    for (std::size_t i = 0; i < mutation_count && !text.empty(); ++i) {
        const std::size_t position = random() % text.size();
        switch (random() % 4) {
        case 0:
            text[position] = inserted_characters[random() % inserted_characters.size()];
            break;
        case 1:
            text.erase(position, random() % 8);
            break;
        case 2:
            text.insert(position, text.substr(random() % text.size(), random() % 32));
            break;
        default:
            text.insert(position, std::string(random() % 64,
                                              inserted_characters[random() % inserted_characters.size()]));
        }
    }
    return text;
}

/// Runs all parsers and returns how many accepted the text, or -1 if a valid configuration is not the same
/// after a split into chunks and a join.
int parse_all(const std::string& text) {
    int accepted = 0;
    accepted += config::parse_entry_settings(text, "fuzz") ? 1 : 0;
    accepted += config::parse_agent_settings(text, "fuzz") ? 1 : 0;
    accepted += config::parse_manifest(text) ? 1 : 0;
    const auto rules = config::parse_rules(text, "fuzz");
    const auto inventory = config::parse_inventory(text, "fuzz");
    accepted += rules ? 1 : 0;
    accepted += inventory ? 1 : 0;
    const config::configuration parsed_configuration{rules ? *rules : config::rules{},
                                                     inventory ? *inventory : config::inventory{}};
    if (!config::validate(parsed_configuration)) {
        return accepted;
    }
    const auto parts = config::split_into_chunks(parsed_configuration, 4);
    const auto joined = config::join_chunks(parts.manifest, parts.chunks);
    return joined && config::describe_changes(parsed_configuration, *joined).empty() ? accepted : -1;
}

} // namespace

int main() {
    std::mt19937_64 random{1};
    int accepted = 0;
    for (int i = 0; i < input_count; ++i) {
        const std::string text = mutate(seed_texts.at(random() % seed_texts.size()), random);
        const int count = parse_all(text);
        if (count < 0) {
            std::printf("a valid configuration changed in a split and join: %s\n", text.c_str());
            return 1;
        }
        accepted += count;
    }
    // Nested so deeply that a recursive parser would overflow the stack.
    accepted += parse_all(std::string(1'000'000, '['));
    accepted +=
        parse_all("{\"organisations\":" + std::string(100'000, '[') + std::string(100'000, ']') + "}");
    std::printf("inputs=%d accepted=%d\n", input_count, accepted);
    return 0;
}

#include "samphiretray/config/configuration.h"
#include "samphiretray/config/settings.h"

#include "standins/preset.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <regex>
#include <set>

using namespace samphiretray;
using namespace samphiretray::standins;
using nlohmann::json;

namespace {

json parse(const std::string& text) {
    return json::parse(text, nullptr, true, true);
}

std::size_t vms_of_kind(const json& list, const std::string& service) {
    const auto matches = [&service](const json& vm) { return vm.value("service", "") == service; };
    return static_cast<std::size_t>(std::ranges::count_if(list["vms"], matches));
}

} // namespace

TEST_CASE("the examples have the sizes of the users' deployments") {
    const auto bagwis = make_example(*find_preset("bagwis"), 1);
    const json bagwis_vms = parse(bagwis.at("vms.json"));
    CHECK(vms_of_kind(bagwis_vms, "assistant") == 9);
    CHECK(vms_of_kind(bagwis_vms, "orders") == 3);
    CHECK(vms_of_kind(bagwis_vms, "") == 6);
    const auto cuenca = make_example(*find_preset("cuenca"), 1);
    const json cuenca_vms = parse(cuenca.at("vms.json"));
    CHECK(vms_of_kind(cuenca_vms, "fitting-notes") == 12);
    CHECK(vms_of_kind(cuenca_vms, "counter") == 3);
    std::set<std::string> adapters;
    for (const json& row : parse(bagwis.at("inventory.json"))) {
        adapters.insert(row["adapter"]);
    }
    CHECK(adapters.size() == 3000);
}

TEST_CASE("a seed gives the same example each time, and another seed another inventory") {
    const auto preset = reduce(*find_preset("cuenca"));
    CHECK(make_example(preset, 3) == make_example(preset, 3));
    CHECK(make_example(preset, 3).at("inventory.json") != make_example(preset, 4).at("inventory.json"));
    CHECK_FALSE(find_preset("elsewhere"));
}

// An example with two processes on the same port could not start.
TEST_CASE("the listening addresses of an example are distinct") {
    for (const char* name : {"bagwis", "cuenca"}) {
        std::multiset<std::string> listening;
        for (const auto& [file, text] : make_example(*find_preset(name), 1)) {
            if (!file.starts_with("settings/")) {
                continue;
            }
            const json settings = parse(text);
            for (const char* field : {"listen", "peer_listen", "admin_listen"}) {
                if (settings.contains(field)) {
                    listening.insert(settings[field].get<std::string>());
                }
            }
        }
        const std::string standins = make_example(*find_preset(name), 1).at("standins.txt");
        const std::regex listener{"(--listen |,)([a-z]+=)?(127[0-9.:]+)"};
        for (auto at = std::sregex_iterator(standins.begin(), standins.end(), listener);
             at != std::sregex_iterator(); ++at) {
            listening.insert((*at)[3]);
        }
        const std::set<std::string> distinct(listening.begin(), listening.end());
        CHECK(listening.size() == distinct.size());
        CHECK(listening.size() > 40);
    }
}

// Guards against examples that cannot be applied or started because a field was renamed.
TEST_CASE("the parsers accept all files of the examples") {
    for (const char* name : {"bagwis", "cuenca"}) {
        const auto files = make_example(*find_preset(name), 1);
        const auto rules = config::parse_rules(files.at("rules.json"), "rules.json");
        REQUIRE(rules);
        const auto inventory = config::parse_inventory(files.at("inventory.json"), "inventory.json");
        REQUIRE(inventory);
        CHECK(config::find_contradictions({*rules, *inventory}).empty());
        for (const auto& [file, text] : files) {
            if (file.starts_with("settings/entry")) {
                CHECK(config::parse_entry_settings(text, file));
            } else if (file.starts_with("settings/")) {
                CHECK(config::parse_agent_settings(text, file));
            }
        }
    }
}

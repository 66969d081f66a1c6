#include "samphiretray/base/hash.h"
#include "samphiretray/config/configuration.h"

#include "tests/support/sample_configuration.h"

#include <catch2/catch.hpp>

#include <functional>
#include <regex>

using namespace samphiretray;
using namespace samphiretray::config;
using test::sample_configuration;

TEST_CASE("rules and inventory survive a round trip through JSON") {
    const configuration sample = sample_configuration(3);
    const auto parsed_rules = parse_rules(to_json(sample.rules), "rules");
    const auto parsed_rows = parse_inventory(to_json(sample.inventory), "inventory");
    REQUIRE(parsed_rules);
    REQUIRE(parsed_rows);
    CHECK(describe_changes(sample, {*parsed_rules, *parsed_rows}).empty());
}

TEST_CASE("an inventory is read from CSV with quotes, any column order and CRLF") {
    const auto rows =
        parse_inventory("version,adapter,service,organisation\r\n\"v\"\"1\",a,s,\"o\"\r\n", "f");
    REQUIRE(rows);
    REQUIRE(rows->size() == 1);
    CHECK(rows->front().version == "v\"1");
    CHECK(rows->front().organisation == "o");
    CHECK(rows->front().current);
}

TEST_CASE("an invalid inventory is refused with the line number") {
    const auto [text, pattern] = GENERATE(table<std::string, std::string>({
        {"adapter,version,organisation\na,1,o\n", "line 1 lacks column \"service\""},
        {"adapter,version,organisation,service,x\n", "line 1 has unknown column \"x\""},
        {"adapter,version,organisation,service\na,1,o,s\n\na,1,o\n", "line 4 has 3 fields"},
        {"adapter,version,organisation,service,current\na,1,o,s,maybe\n", "line 2 .*\"maybe\".*true, false"},
        {"adapter,version,organisation,service\n\"a,1,o,s\n", "line 2 has an unfinished"},
        {"[{\"adapter\":\"a\"}]", "row 1.version\" is missing"},
        {"[{\"adapter\":\"a\",\"version\":\"1\",\"organisation\":\"o\",\"service\":\"s\",\"z\":1}]",
         "row 1.z\" is unknown"},
        {"", "line 1 has no header"},
    }));
    const auto rows = parse_inventory(text, "f");
    REQUIRE_FALSE(rows);
    INFO(rows.error().detail);
    CHECK(std::regex_search(rows.error().detail, std::regex{pattern}));
}

// Each invalid field or inconsistency alone must make validation of the whole configuration fail.
TEST_CASE("validation errors state the location of the invalid field") {
    using edit = std::function<void(configuration&)>;
    const std::vector<std::pair<edit, std::string>> cases{
        {[](auto& c) { c.rules.organisations[1].name = "bagwis"; }, "organisations\\[1\\].name.*twice"},
        {[](auto& c) { c.rules.organisations[0].burst = 0; }, "organisations\\[0\\].burst is 0"},
        {[](auto& c) { c.rules.organisations[0].name = "a b"; }, "organisations\\[0\\].name.*allowed"},
        {[](auto& c) { c.rules.services[1].name = "assistant"; }, "services\\[1\\].name.*twice"},
        {[](auto& c) { c.rules.services[0].base_model = ""; }, "services\\[0\\].base_model"},
        {[](auto& c) { c.rules.services[0].repeatable = false; }, "services\\[0\\].repeatable"},
        {[](auto& c) { c.rules.services[1].base_model = "b"; }, "services\\[1\\].base_model is set"},
        {[](auto& c) { c.rules.keys.push_back(c.rules.keys[0]); }, "keys\\[1\\].digest.*twice"},
        {[](auto& c) { c.rules.keys[0].organisation = "nobody"; }, "keys\\[0\\].organisation.*nobody"},
        {[](auto& c) { c.rules.keys[0].digest = "12"; }, "keys\\[0\\].digest"},
        {[](auto& c) {
             c.rules.endpoints.push_back({"e1", false});
         },
         "endpoints\\[1\\].name.*twice"},
        {[](auto& c) { c.inventory[0].organisation = "nobody"; }, "row 1 field organisation.*nobody"},
        {[](auto& c) { c.inventory[0].service = "nothing"; }, "row 1 field service.*nothing"},
        {[](auto& c) { c.inventory[0].service = "orders"; }, "row 1 field service.*plain"},
        {[](auto& c) { c.inventory[0].adapter = "a@b"; }, "row 1 field adapter"},
        {[](auto& c) { c.inventory.push_back(c.inventory[0]); }, "row 3 has adapter.*twice"},
        {[](auto& c) {
             c.inventory.push_back({"adapter-0", "v2", "bagwis", "assistant", true});
         },
         "row 3 .*second current"},
        {[](auto& c) {
             c.inventory.push_back({"adapter-0", "v2", "cuenca", "assistant", false});
         },
         "row 3 .*second organisation"},
    };
    REQUIRE(validate(sample_configuration(2)));
    for (const auto& [change, pattern] : cases) {
        configuration changed = sample_configuration(2);
        change(changed);
        const auto verdict = validate(changed);
        INFO(pattern);
        REQUIRE_FALSE(verdict);
        INFO(verdict.error().detail);
        CHECK(std::regex_search(verdict.error().detail, std::regex{pattern}));
    }
}

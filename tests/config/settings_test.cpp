#include "samphiretray/config/settings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <regex>
#include <sstream>
#include <string>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::config;

namespace {

const std::string common_fields = R"(
    // A comment.
    "vm": "entry-1", "region": "luzon", "data_centre": "luzon-1",
    "peer_listen": "127.0.0.1:7000", "admin_listen": "127.0.0.1:7001",
    "key_value_service": "127.0.0.1:7002", "vm_list": "127.0.0.1:7003",
    "cluster_secret": "0123456789abcdef", "pull_interval_ms": 500)";

std::string entry_text(const std::string& more) {
    return "{" + common_fields + R"(, "listen": "127.0.0.1:80")" + more + "}";
}

std::string entry_problem(const std::string& more) {
    const auto parsed = parse_entry_settings(entry_text(more), "entry.json");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == errc::invalid_argument);
    CHECK(parsed.error().at == step::settings);
    return parsed.error().detail;
}

} // namespace

TEST_CASE("settings of both roles are read, with defaults") {
    const auto entry = parse_entry_settings(entry_text(R"(, "log": "debug", "loads_per_second": 3)"), "f");
    REQUIRE(entry);
    CHECK(entry->common.vm == "entry-1");
    CHECK(entry->common.pull_interval == 500ms);
    CHECK(entry->common.log == log_level::debug);
    CHECK(entry->listen.port == 80);
    CHECK(entry->loads_per_second == 3.0);
    CHECK(entry->max_requests == 20'000);
    const auto agent = parse_agent_settings(
        "{" + common_fields +
            R"(, "endpoint": "e1", "service": "assistant", "endpoint_address": "[::1]:9", "concurrency": 4})",
        "f");
    REQUIRE(agent);
    CHECK(agent->endpoint_address.port == 9);
    CHECK(agent->concurrency == 4);
}

// A misspelt or wrong setting must stop the process with a message that tells what to correct.
TEST_CASE("a wrong settings field is refused with file, field, value and what is allowed") {
    const auto [more, words] = GENERATE(table<std::string, std::string>({
        {R"(, "max_requets": 1)", "max_requets.*is unknown.*max_requests"},
        {R"(, "max_requests": "many")", "max_requests.*\"many\".*integer from 1 to 1000000"},
        {R"(, "max_requests": 0)", "max_requests.*is 0.*integer from 1"},
        {R"(, "rate_shards": -1)", "rate_shards.*is -1"},
        {R"(, "rate_shards": 4294967297)", "rate_shards.*is 4294967297"},
        {R"(, "request_timeout_ms": 1.5)", "request_timeout_ms.*1.5.*integer"},
        {R"(, "log": "loud")", "log.*loud.*debug info warning error"},
        {R"(, "certificate_file": "a.pem")", "private_key_file.*missing.*both"},
        {R"(, "freshness_bound_ms": 1000)", "freshness_bound_ms.*three times"},
        {R"(, "listen": "localhost:80")", "has field \"listen\" twice"},
        {R"(, "cluster_secret_file": "/nowhere")", "not both"},
        {R"(, "x": )", "is not JSON.*line"},
    }));
    const std::string detail = entry_problem(more);
    INFO(detail);
    CHECK(detail.find("entry.json") != std::string::npos);
    CHECK(std::regex_search(detail, std::regex{words}));
}

TEST_CASE("a missing field and a host name are refused") {
    const auto missing = parse_entry_settings("{" + common_fields + "}", "f");
    REQUIRE_FALSE(missing);
    CHECK(missing.error().detail.find("\"listen\" is missing") != std::string::npos);
    const auto named = parse_entry_settings("{" + common_fields + R"(, "listen": "localhost:80"})", "f");
    REQUIRE_FALSE(named);
    CHECK(named.error().detail.find("an IP address") != std::string::npos);
}

// A secret must not reach a log through an error message.
TEST_CASE("the value of a refused secret is not shown") {
    std::string text = entry_text("");
    text.replace(text.find("0123456789abcdef"), 16, "tooshort");
    const auto parsed = parse_entry_settings(text, "f");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().detail.find("tooshort") == std::string::npos);
}

namespace {

/// The fields that the parser knows, from its message about an unknown one.
std::vector<std::string> known_fields(const error& unknown_field) {
    const std::string& detail = unknown_field.detail;
    const std::string marker = "allowed: the fields ";
    REQUIRE(detail.find(marker) != std::string::npos);
    std::istringstream names{detail.substr(detail.find(marker) + marker.size())};
    return {std::istream_iterator<std::string>{names}, {}};
}

} // namespace

// A field that is added to the settings must be described for operators.
TEST_CASE("each settings field is documented") {
    std::ifstream file{std::string{SAMPHIRETRAY_BIN_DIR} + "/../../docs/configuration.md"};
    const std::string text{std::istreambuf_iterator<char>{file}, {}};
    REQUIRE_FALSE(text.empty());
    const auto entry = parse_entry_settings(entry_text(R"(, "zzz": 1)"), "f");
    const auto agent = parse_agent_settings(
        "{" + common_fields +
            R"(, "endpoint": "e1", "service": "s", "endpoint_address": "[::1]:9", "zzz": 1})",
        "f");
    for (const error& unknown : {entry.error(), agent.error()}) {
        const auto fields = known_fields(unknown);
        CHECK(fields.size() > 15);
        for (const std::string& field : fields) {
            INFO(field);
            CHECK(text.find("| `" + field + "` |") != std::string::npos);
        }
    }
}

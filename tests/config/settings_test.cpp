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

std::string entry_text(const std::string& extra_fields) {
    return "{" + common_fields + R"(, "listen": "127.0.0.1:80")" + extra_fields + "}";
}

std::string entry_error_detail(const std::string& extra_fields) {
    const auto parsed = parse_entry_settings(entry_text(extra_fields), "entry.json");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().code == errc::invalid_argument);
    CHECK(parsed.error().failed_step == step::settings);
    return parsed.error().detail;
}

} // namespace

TEST_CASE("settings of both roles are parsed with defaults") {
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

// A misspelt or invalid setting must stop the process with a message that states what to correct.
TEST_CASE("an invalid settings field is refused with file, field, value and what is allowed") {
    const auto [extra_fields, pattern] = GENERATE(table<std::string, std::string>({
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
    const std::string detail = entry_error_detail(extra_fields);
    INFO(detail);
    CHECK(detail.find("entry.json") != std::string::npos);
    CHECK(std::regex_search(detail, std::regex{pattern}));
}

TEST_CASE("a missing required field and a host name instead of an IP address are refused") {
    const auto missing_error = parse_entry_settings("{" + common_fields + "}", "f");
    REQUIRE_FALSE(missing_error);
    CHECK(missing_error.error().detail.find("\"listen\" is missing") != std::string::npos);
    const auto host_name_error =
        parse_entry_settings("{" + common_fields + R"(, "listen": "localhost:80"})", "f");
    REQUIRE_FALSE(host_name_error);
    CHECK(host_name_error.error().detail.find("an IP address") != std::string::npos);
}

// An invalid secret must not get into a log through the error message.
TEST_CASE("the error for an invalid secret does not contain its value") {
    std::string text = entry_text("");
    text.replace(text.find("0123456789abcdef"), 16, "tooshort");
    const auto parsed = parse_entry_settings(text, "f");
    REQUIRE_FALSE(parsed);
    CHECK(parsed.error().detail.find("tooshort") == std::string::npos);
}

namespace {

/// The fields that the parser accepts, as listed in its error for an unknown field.
std::vector<std::string> known_fields(const error& unknown_field) {
    const std::string& detail = unknown_field.detail;
    const std::string marker = "allowed: the fields ";
    REQUIRE(detail.find(marker) != std::string::npos);
    std::istringstream names{detail.substr(detail.find(marker) + marker.size())};
    return {std::istream_iterator<std::string>{names}, {}};
}

} // namespace

// Guards against a new settings field without a row in the configuration page for operators.
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

#include "samphiretray/gateway/agent_protocol.h"
#include "samphiretray/gateway/settings.h"
#include "samphiretray/gateway/usage_report.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

TEST_CASE("agent headers round-trip through encoding, and remove_agent_headers removes them all") {
    net::http_headers headers{{"content-type", "text/plain"}};
    add_engine_load(headers, {1200, 3, 40'000, 2, 1, 24'000, {"m/a1@1", "m/a7@2"}});
    add_refusal(headers, agent_refusal::engine_down);
    add_waiting_budget(headers, {350ms, 800ms, 3200ms});
    add_sending(headers, "17-2");
    const auto load = read_engine_load(headers);
    REQUIRE(load);
    CHECK(load->backlog_tokens == 1200);
    CHECK(load->running == 3);
    CHECK(load->kv_reserved == 40'000);
    CHECK(load->free_slots == 2);
    CHECK(load->waiting_adapters == 1);
    CHECK(load->resident == std::vector<std::string>{"m/a1@1", "m/a7@2"});
    CHECK(read_refusal(headers) == agent_refusal::engine_down);
    CHECK(load->prefill_rate == 24'000);
    const auto budget = read_waiting_budget(headers);
    REQUIRE(budget);
    CHECK(budget->max_queue_wait == 350ms);
    CHECK(budget->until_late == 800ms);
    CHECK(budget->until_abandoned == 3200ms);
    CHECK(read_sending(headers) == "17-2");
    remove_agent_headers(headers);
    CHECK(headers.size() == 1);
}

TEST_CASE("an exhausted waiting budget is encoded as zero, not as a huge unsigned number") {
    net::http_headers headers;
    add_waiting_budget(headers, {-5ms, -1s, 10ms});
    const auto budget = read_waiting_budget(headers);
    REQUIRE(budget);
    CHECK(budget->max_queue_wait == 0ms);
    CHECK(budget->until_late == 0ms);
    CHECK(budget->until_abandoned == 10ms);
}

TEST_CASE("malformed agent headers are ignored, so that no engine is taken for idle") {
    CHECK_FALSE(read_engine_load({{"samphiretray-engine-load", "12,x,3,0,0,9"}}));
    CHECK_FALSE(read_waiting_budget({{"samphiretray-waiting-budget-ms", "12,x,3"}}));
    CHECK_FALSE(read_waiting_budget({{"samphiretray-waiting-budget-ms", "12,3"}}));
    CHECK_FALSE(read_engine_load({{"samphiretray-engine-load", "12"}}));
    CHECK_FALSE(read_engine_load({}));
    CHECK_FALSE(read_refusal({{"samphiretray-refusal", "other"}}));
}

TEST_CASE("a usage report round-trips through encoding") {
    const usage_report report{"entry-1", "abc", 17, {{"coop", 1250.5}, {"city", 0}}};
    const auto decoded = decode_usage_report(encode(report), "entry-1");
    REQUIRE(decoded);
    CHECK(decoded->vm == "entry-1");
    CHECK(decoded->incarnation == "abc");
    CHECK(decoded->configuration_version == 17);
    REQUIRE(decoded->spent.size() == 2);
    CHECK(decoded->spent[1].organisation == "coop");
    CHECK(decoded->spent[1].tokens == 1250.5);
}

TEST_CASE("a malformed usage report is rejected with an error that names the peer") {
    for (const char* text : {"", "[]", "{}", R"({"vm":1,"incarnation":"a","configuration":1,"spent":{}})"}) {
        const auto decoded = decode_usage_report(text, "entry-2");
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().code == errc::protocol_error);
        CHECK(decoded.error().peer == "entry-2");
    }
}

namespace {

constexpr const char* entry_settings_text = R"({
    "vm": "entry-1", "region": "north", "data_centre": "north-a", "store": "10.0.0.9:80",
    "data_centres": [{ "name": "north-a", "region": "north" }, { "name": "south-a", "region": "south" }],
    "listen": "10.0.0.1:80", "ready_listen": "10.0.0.1:81", "control_listen": "10.0.0.1:82",
    "agent_port": 7601, "retry_floor": 56, "drain_limit_ms": 8000
})";

} // namespace

TEST_CASE("gateway settings are parsed, with the region of each data centre") {
    const auto settings = parse_gateway_settings(entry_settings_text, "boot");
    REQUIRE(settings);
    CHECK(settings->regions.at("south-a") == "south");
    CHECK(settings->agent_port == 7601);
    CHECK(settings->node.drain_limit == 8s);
    CHECK(settings->retry_floor == 56);
}

TEST_CASE("an out-of-range setting is rejected with an error that names the field") {
    std::string text = entry_settings_text;
    text.replace(text.find("7601"), 4, "70000");
    const auto settings = parse_gateway_settings(text, "boot");
    REQUIRE_FALSE(settings);
    CHECK(settings.error().detail.find("agent_port") != std::string::npos);
    CHECK_FALSE(parse_engine_agent_settings(R"({"vm": "e"})", "boot"));
}

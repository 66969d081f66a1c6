#include "samphiretray/gateway/quarantine_page.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

// Guards against operators who cannot tell whose request is held back.
TEST_CASE("the page shows each quarantined request, with its caller and route where attempts were refused") {
    quarantine_page page;
    page.on_refused(0xABC, "coop", "/u/");
    page.on_refused(0xABC, "coop", "/u/");
    page.on_refused(0xDEF, "city", "/s/");
    page.forget(0xDEF);
    const auto shown =
        nlohmann::json::parse(page.text("entry-1", {{0xABC, routing::request_phase::quarantined, 3, 2s, 28s},
                                                    {0xDEF, routing::request_phase::probing, 4, 40s, 0ms}}));
    CHECK(shown["vm"] == "entry-1");
    REQUIRE(shown["requests"].size() == 2);
    const auto& first = shown["requests"][0];
    CHECK(first["request"] == "0000000000000abc");
    CHECK(first["phase"] == "quarantined");
    CHECK(first["cuts"] == 3);
    CHECK(first["time_left_ms"] == 28'000);
    CHECK(first["organisation"] == "coop");
    CHECK(first["refused"] == 2);
    CHECK(shown["requests"][1]["phase"] == "probing");
    CHECK_FALSE(shown["requests"][1].contains("organisation"));
}

#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::net;

TEST_CASE("numeric addresses are parsed and printed") {
    CHECK(*parse_address("10.0.0.1:80") == address{"10.0.0.1", 80});
    CHECK(*parse_address("[::1]:8080") == address{"::1", 8080});
    CHECK(to_string(address{"::1", 8080}) == "[::1]:8080");
}

TEST_CASE("addresses that would need a resolver or have no port are refused") {
    for (const char* text : {"localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "::1:80",
                             "[10.0.0.1]:80", "[::1]", "", ":80", "10.0.0.1:+1", "1.2.3:1"}) {
        INFO(text);
        const auto parsed = parse_address(text);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().code == errc::invalid_argument);
    }
}

TEST_CASE("headers are found without regard to case") {
    const http_headers headers{{"Content-Type", "a"}, {"X-A", "b"}};
    CHECK(find_header(headers, "content-type") == "a");
    CHECK(find_header(headers, "x-b").empty());
}

TEST_CASE("query values survive encoding and decoding") {
    const auto round_trip = [](const std::string& value) {
        return find_query("first=1&key=" + url_encode(value) + "&last", "key") == value;
    };
    CHECK(rc::check("any value", [&](const std::string& value) { RC_ASSERT(round_trip(value)); }));
}

TEST_CASE("malformed escapes in a query stay as they are") {
    CHECK(find_query("a=%4", "a") == "%4");
    CHECK(find_query("a=%zz", "a") == "%zz");
    CHECK(find_query("a=1&&b", "b").empty());
}

#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::net;

TEST_CASE("numeric IPv4 and IPv6 addresses are parsed and formatted") {
    CHECK(*parse_address("10.0.0.1:80") == address{"10.0.0.1", 80});
    CHECK(*parse_address("[::1]:8080") == address{"::1", 8080});
    CHECK(to_string(address{"::1", 8080}) == "[::1]:8080");
}

TEST_CASE("host names, addresses without a port and malformed addresses are rejected") {
    for (const char* text : {"localhost:80", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "::1:80",
                             "[10.0.0.1]:80", "[::1]", "", ":80", "10.0.0.1:+1", "1.2.3:1"}) {
        INFO(text);
        const auto parsed = parse_address(text);
        REQUIRE_FALSE(parsed);
        CHECK(parsed.error().code == errc::invalid_argument);
    }
}

TEST_CASE("header lookup ignores case") {
    const http_headers headers{{"Content-Type", "a"}, {"X-A", "b"}};
    CHECK(find_header(headers, "content-type") == "a");
    CHECK(find_header(headers, "x-b").empty());
}

TEST_CASE("query parameters round-trip through percent-encoding") {
    const auto round_trip = [](const std::string& value) {
        return find_query_parameter("first=1&key=" + url_encode(value) + "&last", "key") == value;
    };
    CHECK(rc::check("any value", [&](const std::string& value) { RC_ASSERT(round_trip(value)); }));
}

TEST_CASE("malformed percent escapes in a query are kept unchanged") {
    CHECK(find_query_parameter("a=%4", "a") == "%4");
    CHECK(find_query_parameter("a=%zz", "a") == "%zz");
    CHECK(find_query_parameter("a=1&&b", "b").empty());
}

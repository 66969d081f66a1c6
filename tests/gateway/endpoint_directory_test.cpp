#include "samphiretray/gateway/endpoint_directory.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

endpoint make_endpoint(std::string id, std::uint64_t started_at = 1) {
    endpoint made;
    made.id = std::move(id);
    made.service = "engines";
    made.at = {"10.0.0.1", 80};
    made.started_at = started_at;
    return made;
}

const time_point start{1h};

} // namespace

TEST_CASE("a leaving endpoint stays known but takes no new requests") {
    endpoint_directory directory;
    endpoint leaving = make_endpoint("e1");
    leaving.draining = true;
    directory.update(leaving);
    directory.update(make_endpoint("e2"));
    REQUIRE(directory.live("engines").size() == 1);
    CHECK(directory.live("engines").front()->id == "e2");
    CHECK(directory.find("e1") != nullptr);
}

TEST_CASE("a restart under the same id is noticed, since the endpoint then holds nothing of before") {
    endpoint_directory directory;
    CHECK(directory.update(make_endpoint("e1", 5)));
    CHECK_FALSE(directory.update(make_endpoint("e1", 5)));
    CHECK(directory.update(make_endpoint("e1", 6)));
}

TEST_CASE("an entry that lapsed during an outage keeps its endpoint in use until it is due back") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1"));
    directory.remove("e1", true, start);
    CHECK(directory.expire(start + 1900ms).empty());
    CHECK(directory.live("engines").size() == 1);
    SECTION("it returns") {
        directory.update(make_endpoint("e1"));
        CHECK(directory.expire(start + 10s).empty());
        CHECK(directory.live("engines").size() == 1);
    }
    SECTION("it does not return") {
        CHECK(directory.expire(start + 2s) == std::vector<std::string>{"e1"});
        CHECK(directory.live("engines").empty());
    }
}

TEST_CASE("without an outage a removed entry ends the endpoint's use at once") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1"));
    directory.remove("e1", false, start);
    CHECK(directory.live("engines").empty());
    CHECK(directory.ids().empty());
}

#include "samphiretray/gateway/endpoint_directory.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

endpoint make_endpoint(std::string id, std::uint64_t started_at = 1) {
    endpoint made;
    made.id = std::move(id);
    made.service = "engines";
    made.address = {"10.0.0.1", 80};
    made.started_at = started_at;
    return made;
}

const time_point start{1h};

} // namespace

TEST_CASE("a draining endpoint stays in the directory but gets no new requests") {
    endpoint_directory directory;
    endpoint draining_endpoint = make_endpoint("e1");
    draining_endpoint.draining = true;
    directory.update(draining_endpoint);
    directory.update(make_endpoint("e2"));
    REQUIRE(directory.available("engines", start).size() == 1);
    CHECK(directory.available("engines", start).front()->id == "e2");
    CHECK(directory.find("e1") != nullptr);
}

TEST_CASE("a restart under the same id is detected, since the endpoint has then lost its state") {
    endpoint_directory directory;
    CHECK(directory.update(make_endpoint("e1", 5)));
    CHECK_FALSE(directory.update(make_endpoint("e1", 5)));
    CHECK(directory.update(make_endpoint("e1", 6)));
}

TEST_CASE("an endpoint whose record expired during an outage is kept for the grace period") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1"));
    directory.remove("e1", true, start);
    CHECK(directory.expire(start + 1900ms).empty());
    CHECK(directory.available("engines", start).size() == 1);
    SECTION("the record is written again") {
        directory.update(make_endpoint("e1"));
        CHECK(directory.expire(start + 10s).empty());
        CHECK(directory.available("engines", start).size() == 1);
    }
    SECTION("the record is not written again") {
        CHECK(directory.expire(start + 2s) == std::vector<std::string>{"e1"});
        CHECK(directory.available("engines", start).empty());
    }
}

TEST_CASE("without an outage, an endpoint is removed at once with its record") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1"));
    directory.remove("e1", false, start);
    CHECK(directory.available("engines", start).empty());
    CHECK(directory.ids().empty());
}

// Guards against the use of servers that had left, or were leaving, when the store came back from an older
// copy (DRAIN).
TEST_CASE("a record that is older than what is known of the endpoint is outdated") {
    const auto record = [](std::uint64_t started_at, std::uint64_t sequence) {
        endpoint made = make_endpoint("e1", started_at);
        made.sequence = sequence;
        return made;
    };
    endpoint_directory directory;
    endpoint leaving = record(5, 8);
    leaving.draining = true;
    directory.update(leaving);
    CHECK(directory.is_outdated(record(5, 7), start));
    CHECK(directory.is_outdated(record(4, 9), start));
    CHECK_FALSE(directory.is_outdated(record(5, 8), start));
    CHECK_FALSE(directory.is_outdated(record(5, 9), start));
    CHECK_FALSE(directory.is_outdated(record(6, 1), start));
    directory.remove("e1", false, start);
    CHECK(directory.is_outdated(record(5, 8), start + 1s));
    CHECK_FALSE(directory.is_outdated(record(5, 9), start + 1s));
    CHECK_FALSE(directory.is_outdated(record(6, 1), start + 1s));
    CHECK_FALSE(directory.is_outdated(record(5, 8), start + endpoint_directory::departed_memory));
}

TEST_CASE("an endpoint that is kept after an outage takes the record that it had before") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1", 5));
    directory.remove("e1", true, start);
    CHECK_FALSE(directory.is_outdated(make_endpoint("e1", 5), start + 1s));
}

TEST_CASE(
    "an endpoint that says that it leaves gets no new requests, until it restarts or that is long ago") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1", 5));
    CHECK(directory.note_leaving("e1", start));
    CHECK_FALSE(directory.note_leaving("e1", start));
    CHECK_FALSE(directory.note_leaving("unknown", start));
    directory.update(make_endpoint("e1", 5));
    CHECK(directory.available("engines", start + 10s).empty());
    CHECK(directory.available("engines", start + endpoint_directory::leaving_memory).size() == 1);
    directory.update(make_endpoint("e1", 6));
    CHECK(directory.available("engines", start + 10s).size() == 1);
}

// Guards against a pause that is cut short by another refusal of the same endpoint (BUDGET).
TEST_CASE("a pause does not end earlier because a later answer asks for a shorter one") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1", 5));
    directory.note_pause("e1", start + 5s);
    directory.note_pause("e1", start + 1s);
    CHECK(directory.available("engines", start + 4s).empty());
    CHECK(directory.available("engines", start + 5s).size() == 1);
}

TEST_CASE("an endpoint that asks for a pause gets no requests until its end") {
    endpoint_directory directory;
    directory.update(make_endpoint("e1", 5));
    directory.update(make_endpoint("e2", 5));
    CHECK_FALSE(directory.pause_left("engines", start));
    directory.note_pause("e1", start + 3s);
    directory.note_pause("e2", start + 5s);
    CHECK(directory.available("engines", start + 2s).empty());
    CHECK(directory.pause_left("engines", start + 2s) == 1s);
    CHECK(directory.available("engines", start + 3s).size() == 1);
    directory.update(make_endpoint("e2", 6));
    CHECK(directory.available("engines", start + 3s).size() == 2);
}

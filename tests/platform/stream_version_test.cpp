#include "tests/platform/entry_with_servers.h"

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;

namespace {

/// An entry with servers of two software versions; each event names the version that has written it.
struct two_versions : entry_with_servers {
    explicit two_versions(const std::string& first = "v1", const std::string& second = "v2") {
        entry->apply(make_state(3));
        register_server(0, false, first);
        register_server(1, false, second);
        entry->set_endpoints_complete();
        respond_as(0, "v1");
        respond_as(1, "v2");
    }

    /// Begins streams with two events and breaks them off, and goes on with them to their end.
    void respond_as(std::size_t server, const std::string& version) {
        responders[server] = [version](const auto& request, const auto& response) {
            const bool begins = net::find_header(request.headers, "last-event-id").empty();
            response->start(200, signed_headers(request));
            response->write(begins ? "id: 1\ndata: " + version + "\n\n" : "id: 2\ndata: " + version + "\n\n");
            begins ? response->abort() : response->finish();
        };
    }

    /// The server reports that it drains; the report is `age` old.
    void drain(std::size_t server, const std::string& version, duration age) {
        gateway::endpoint value = make_endpoint(server, version);
        value.draining = true;
        entry->update_endpoint(value, events.now() - age);
    }

    /// Begins a stream that is broken off, as attempt "begun", and returns the version that has begun it.
    std::string begin_stream() {
        send_request("/r/1", {}, "key", "order", "begun");
        (void)wait_for_outcome();
        return received[0].empty() ? "v2" : "v1";
    }

    const result<net::fetched_response>& take_up(const std::string& begun = "begun",
                                                 const std::string& key = "key") {
        received = std::vector<std::vector<net::http_request>>(2);
        send_request("/r/1", {{"last-event-id", "1"}, {"resumes", begun}}, key, "order", "next");
        return wait_for_outcome();
    }
};

} // namespace

TEST_CASE("a stream that breaks off does not go on at a server of another software version") {
    // Guards against events of two versions in one answer.
    two_versions fixture;
    const auto& answer = fixture.send_and_wait("/r/1");
    CHECK_FALSE(answer);
    CHECK(fixture.received_count() == 1);
}

TEST_CASE("a stream that breaks off goes on at another server of its version") {
    // Guards against streams that are given up although their version serves.
    two_versions fixture{"v1", "v1"};
    fixture.respond_as(1, "v1");
    const auto& answer = fixture.send_and_wait("/r/1");
    REQUIRE(answer);
    CHECK(answer->body == "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n");
}

TEST_CASE("an entry that is out of step vouches for no version of a server without an agent") {
    // Guards against a stream that is joined from two versions (ORDER): a server came back under its id with
    // newer software while the entry stood still or was cut off, and its record still names the older one.
    two_versions fixture{"v1", "v1"};
    fixture.entry->set_records_age([] { return 5s; });
    CHECK_FALSE(fixture.send_and_wait("/r/1"));
    CHECK(fixture.received_count() == 1);
    fixture.begin_stream();
    // Also once it is in step again.
    fixture.entry->set_records_age([] { return 1s; });
    const auto& answer = fixture.take_up();
    CHECK(status_of(answer) == 503);
    CHECK(answer->body == "stream_origin_unknown\n");
}

TEST_CASE("a record that changes the version of an incarnation makes it unknown") {
    // Guards against a server that gets the streams of another version because its record is wrong.
    two_versions fixture;
    const std::size_t changed = fixture.begin_stream() == "v1" ? 1 : 0;
    const std::string begun = changed == 1 ? "v1" : "v2";
    fixture.register_server(changed, false, begun);
    CHECK(status_of(fixture.take_up()) == 200);
    CHECK(fixture.received[changed].empty());
    fixture.entry->remove_endpoint("i-" + std::to_string(1 - changed), false);
    const auto& refused = fixture.take_up();
    CHECK(status_of(refused) == 503);
    CHECK(refused->body == "stream_version_gone\n");
}

TEST_CASE("a caller that takes its stream up gets a server of the version that began it") {
    // Guards against streams that are joined from two versions over a caller's attempts.
    two_versions fixture;
    const std::string version = fixture.begin_stream();
    for (int i = 0; i < 8; ++i) {
        const auto& answer = fixture.take_up();
        REQUIRE(answer);
        CHECK(answer->body == "id: 2\ndata: " + version + "\n\n");
    }
}

TEST_CASE("a stream whose version has gone is refused at once as not run") {
    // Guards against a join with what is left, and against a caller that waits for nothing.
    two_versions fixture;
    const bool is_first = fixture.begin_stream() == "v1";
    fixture.entry->remove_endpoint(is_first ? "i-0" : "i-1", false);
    const auto& answer = fixture.take_up();
    CHECK(status_of(answer) == 503);
    CHECK(answer->body == "stream_version_gone\n");
    CHECK(net::find_header(answer->headers, "retry-after").empty());
    CHECK(fixture.received_count() == 0);
}

TEST_CASE("a caller that takes its stream up gets a draining server of its version while that still serves") {
    // Guards against streams that are lost in a rolling release (LOST): the servers of their version all
    // drain.
    two_versions fixture;
    const bool is_first = fixture.begin_stream() == "v1";
    const std::size_t leaving = is_first ? 0 : 1;
    const std::string version = is_first ? "v1" : "v2";
    fixture.drain(leaving, version, 1s);
    for (int i = 0; i < 4; ++i) {
        const auto& answer = fixture.take_up();
        REQUIRE(answer);
        CHECK(answer->body == "id: 2\ndata: " + version + "\n\n");
    }
    // New streams begin elsewhere.
    fixture.received = std::vector<std::vector<net::http_request>>(2);
    CHECK_FALSE(fixture.send_and_wait("/r/1", {}, "key", "other"));
    CHECK(fixture.received[leaving].empty());
}

TEST_CASE("a draining server gets no stream that is taken up after its promise, nor one that another can go "
          "on with") {
    // Guards against requests that reach a draining server late (DRAIN), and against streams that are cut
    // again.
    two_versions fixture;
    const bool is_first = fixture.begin_stream() == "v1";
    const std::size_t leaving = is_first ? 0 : 1;
    const std::string version = is_first ? "v1" : "v2";
    SECTION("the promise is over") {
        fixture.drain(leaving, version, 2500ms);
        const auto& answer = fixture.take_up();
        CHECK(status_of(answer) == 503);
        CHECK(answer->body == "stream_version_gone\n");
        CHECK(fixture.received_count() == 0);
    }
    SECTION("another server of the version stays") {
        gateway::endpoint other = fixture.make_endpoint(1 - leaving, version);
        other.id = "i-other";
        fixture.respond_as(1 - leaving, version);
        fixture.entry->update_endpoint(other);
        fixture.drain(leaving, version, 0s);
        for (int i = 0; i < 8; ++i) {
            CHECK(status_of(fixture.take_up()) == 200);
            CHECK(fixture.received[leaving].empty());
        }
    }
}

TEST_CASE("a stream that nobody knows is refused, whichever versions are there") {
    // Guards against the guess that a stream began at the only version in sight, and against a caller that
    // names another one's attempt.
    two_versions fixture{"v2", "v2"};
    fixture.begin_stream();
    const auto& made_up = fixture.take_up("made-up");
    CHECK(status_of(made_up) == 503);
    CHECK(made_up->body == "stream_origin_unknown\n");
    CHECK(status_of(fixture.take_up("")) == 503);
    CHECK(fixture.received_count() == 0);
    CHECK(status_of(fixture.take_up("begun")) == 200);
}

TEST_CASE("an entry that has been restarted knows no stream of before") {
    // Guards against a join after all entries were killed. Plain servers have no process beside them that
    // would know.
    two_versions fixture;
    fixture.begin_stream();
    fixture.start_entry();
    fixture.entry->apply(fixture.make_state(3));
    fixture.register_server(0, false, "v1");
    fixture.register_server(1, false, "v2");
    fixture.entry->set_endpoints_complete();
    CHECK(status_of(fixture.take_up()) == 503);
    CHECK(fixture.received_count() == 0);
}

TEST_CASE("a server whose version is not known begins streams, and goes on with none") {
    // Guards against two unknown versions that count as the same.
    two_versions fixture{"", ""};
    CHECK_FALSE(fixture.send_and_wait("/r/1"));
    CHECK(fixture.received_count() == 1);
    CHECK(status_of(fixture.take_up("attempt-1")) == 503);
}

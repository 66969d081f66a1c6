#include "tests/fleet/small_fleet.h"

#include <algorithm>

using namespace samphiretray;
using namespace samphiretray::platform;
using namespace samphiretray::platform::testing;

namespace {

/// Two entries before engines of two software versions. The events of a stream name the version that wrote
/// them, and a stream that begins stays open until its engine crashes.
struct versioned_fleet : small_fleet {
    versioned_fleet() : small_fleet(2, 4) {
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i]->software_version = i % 2 == 0 ? "v1" : "v2";
            // Another incarnation: the software of one does not change.
            ++engines[i]->engine.born;
            engines[i]->engine.on_request = [this, i](const auto& request, const auto& response) {
                respond(i, request, response);
            };
        }
        std::ranges::for_each(entries, [this](const auto& each) { register_engines(*each); });
        // Entries look for each other once a second.
        run_for(1200ms);
    }

    void respond(std::size_t engine, const net::http_request& request,
                 const std::shared_ptr<net::http_response>& response) {
        const std::string last = std::string{net::find_header(request.headers, "last-event-id")};
        const net::http_headers headers{
            {"x-samphiretray-attempt-id",
             std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
            {"x-samphiretray-server-seal", "seal"},
            {"content-type", "text/event-stream"}};
        response->start(200, headers);
        response->write("id: " + std::string{last.empty() ? "1" : "2"} +
                        "\ndata: " + engines[engine]->software_version + "\n\n");
        if (last.empty()) {
            begun_at = engine;
            begun.push_back(response);
        } else {
            response->finish();
        }
    }

    std::shared_ptr<asked> stream(std::size_t entry, const std::string& attempt,
                                  net::http_headers more = {}) {
        auto sent = std::make_shared<asked>();
        net::http_call call;
        call.peer = entries[entry]->listen_address();
        call.method = "POST";
        call.target = "/r/1";
        call.timeout = 5s;
        call.headers = {{"host", "a.example"},
                        {"x-samphiretray-attempt-id", attempt},
                        {"x-samphiretray-credential", "key"},
                        {"x-samphiretray-deadline-ms", "4000"},
                        {"x-samphiretray-model", "m0"},
                        {"x-samphiretray-token-count", "100,10"},
                        {"x-samphiretray-prompt-prefix", attempt + ":20,own:50"}};
        call.headers.insert(call.headers.end(), more.begin(), more.end());
        sent->exchange = client->fetch(std::move(call),
                                       [weak = std::weak_ptr{sent}](result<net::fetched_response> answer) {
                                           if (const auto self = weak.lock()) {
                                               self->answer.emplace(std::move(answer));
                                           }
                                       });
        return sent;
    }

    /// Begins a stream at an entry, and returns once its first event has been passed on.
    std::string begin(std::size_t entry, const std::string& attempt) {
        const std::size_t before = begun.size();
        open.push_back(stream(entry, attempt));
        REQUIRE(events.run_until([&] { return begun.size() > before; }, hang_limit));
        run_for(50ms);
        return engines[begun_at]->software_version;
    }

    result<net::fetched_response> take_up(std::size_t entry, const std::string& begun_by,
                                          const std::string& attempt) {
        const auto sent = stream(entry, attempt, {{"last-event-id", "1"}, {"resumes", begun_by}});
        REQUIRE(events.run_until([&] { return sent->answer.has_value(); }, hang_limit));
        return *sent->answer;
    }

    void kill_all_entries() {
        for (std::size_t i = 0; i < entries.size(); ++i) {
            entries[i].reset();
        }
        for (std::size_t i = 0; i < entries.size(); ++i) {
            start_entry(i);
        }
        run_for(300ms);
    }

    std::size_t begun_at = 0;
    std::vector<std::shared_ptr<net::http_response>> begun;
    std::vector<std::shared_ptr<asked>> open;
};

} // namespace

TEST_CASE("streams go on at their version after all entries were killed at once") {
    // Guards against streams that are joined from two versions by entries that have just started; the agents
    // know what their engines have begun.
    versioned_fleet fleet;
    std::vector<std::string> versions;
    for (int i = 0; i < 12; ++i) {
        versions.push_back(fleet.begin(0, "begun-" + std::to_string(i)));
    }
    CHECK(std::ranges::count(versions, "v1") > 0);
    CHECK(std::ranges::count(versions, "v2") > 0);
    fleet.kill_all_entries();
    for (std::size_t i = 0; i < versions.size(); ++i) {
        const std::string attempt = "begun-" + std::to_string(i);
        for (std::size_t entry = 0; entry < 2; ++entry) {
            const auto answer =
                fleet.take_up(entry, attempt, "next-" + std::to_string(entry) + "-" + std::to_string(i));
            REQUIRE(answer);
            CHECK(answer->body == "id: 2\ndata: " + versions[i] + "\n\n");
        }
    }
}

TEST_CASE("another entry goes on with a stream whose agent was restarted and whose engine has left") {
    // Guards against evidence that only the agent has: entries tell each other what they have passed on.
    versioned_fleet fleet;
    const std::string version = fleet.begin(0, "begun");
    const std::size_t left = fleet.begun_at;
    fleet.start_agent(*fleet.engines[left]);
    std::ranges::for_each(fleet.entries, [&](const auto& each) {
        each->remove_endpoint(fleet.engines[left]->engine.id, false);
    });
    const auto answer = fleet.take_up(1, "begun", "next");
    REQUIRE(answer);
    CHECK(answer->body == "id: 2\ndata: " + version + "\n\n");
}

TEST_CASE("a stream is refused if its version has left, and if nobody knows it any more") {
    // Guards against a join with the only version in sight.
    versioned_fleet fleet;
    const std::string version = fleet.begin(0, "begun");
    const bool all_agents_lost = GENERATE(false, true);
    for (const auto& each : fleet.engines) {
        if (each->software_version == version) {
            std::ranges::for_each(fleet.entries,
                                  [&](const auto& entry) { entry->remove_endpoint(each->engine.id, false); });
        }
        if (all_agents_lost) {
            fleet.start_agent(*each);
        }
    }
    if (all_agents_lost) {
        fleet.kill_all_entries();
    }
    const auto answer = fleet.take_up(1, "begun", "next");
    REQUIRE(answer);
    CHECK(answer->status == 503);
    CHECK(answer->body == (all_agents_lost ? "stream_origin_unknown\n" : "stream_version_gone\n"));
}

TEST_CASE(
    "an agent does not take an engine that was restarted with other software for the one that is meant") {
    // Guards against a stream that goes on at a restarted engine whose record is still the old one.
    versioned_fleet fleet;
    const std::string version = fleet.begin(0, "begun");
    for (const auto& each : fleet.engines) {
        if (each->software_version == version) {
            each->engine.restart(each->engine.id);
            each->engine.models = {"m0"};
            each->software_version = "v3";
        }
    }
    fleet.run_for(200ms);
    const auto answer = fleet.take_up(1, "begun", "next");
    REQUIRE(answer);
    CHECK(answer->status == 503);
}

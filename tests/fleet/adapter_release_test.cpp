#include "tests/fleet/small_fleet.h"

#include <catch2/catch.hpp>

#include <ranges>

using namespace samphiretray;
using namespace samphiretray::platform;
using platform::testing::fake_engine;
using platform::testing::hang_limit;
using platform::testing::small_fleet;

namespace {

/// A fleet whose only engine is full with eight requests for an adapter, while two more wait at its agent.
/// The agent does not learn of releases from the store.
struct fleet_with_waiting_requests {
    fleet_with_waiting_requests() {
        fake_engine& engine = fleet.engines[0]->engine;
        answer = engine.on_request;
        engine.on_request = [this](const net::http_request& request,
                                   std::shared_ptr<net::http_response> response) {
            held.push_back([this, request, kept = std::move(response)] { answer(request, kept); });
        };
        for (int i = 0; i < 10; ++i) {
            sent.push_back(fleet.send(0, "first:20,own:" + std::to_string(50 + i), "m0/a1"));
        }
        REQUIRE(fleet.events.run_until([this] { return held.size() == 8; }, hang_limit));
    }

    void end_running_requests() {
        fleet.engines[0]->engine.on_request = answer;
        std::ranges::for_each(held, [](const auto& each) { each(); });
        const auto is_answered = [](const auto& each) { return each->answer.has_value(); };
        REQUIRE(fleet.events.run_until([&] { return std::ranges::all_of(sent, is_answered); }, hang_limit));
    }

    /// The versions that the requests which waited have begun on.
    [[nodiscard]] std::vector<std::string> later_versions() const {
        std::vector<std::string> versions;
        std::ranges::transform(fleet.engines[0]->engine.requests | std::views::drop(8),
                               std::back_inserter(versions), [](const net::http_request& each) {
                                   return std::string{
                                       net::find_header(each.headers, "x-samphiretray-expect-version")};
                               });
        return versions;
    }

    small_fleet fleet{1, 1};
    std::function<void(const net::http_request&, std::shared_ptr<net::http_response>)> answer;
    std::vector<std::function<void()>> held;
    std::vector<std::shared_ptr<small_fleet::asked>> sent;
};

} // namespace

TEST_CASE("requests that wait at an agent which the store does not serve begin on the released version") {
    // Guards against a request on an older version long after a release (VERSION): only its entry knows of
    // it.
    fleet_with_waiting_requests test;
    test.fleet.entries[0]->apply(gateway::adapter_release{"m0/a1", 2});
    test.fleet.run_for(100ms);
    test.end_running_requests();
    CHECK(test.later_versions() == std::vector<std::string>{"2", "2"});
}

TEST_CASE("releases in quick succession reach the agent, also if it does not answer at first") {
    // Guards against an announcement that is lost, or that hides a later one.
    fleet_with_waiting_requests test;
    small_fleet& fleet = test.fleet;
    const auto client = net::http_client::create(fleet.events);
    std::size_t calls = 0;
    std::vector<std::string> bodies;
    auto agent = net::http_server::create(
        fleet.events, {{"127.0.0.90", small_fleet::agent_control_port}},
        [&](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
            bodies.push_back(request.body);
            response->send(++calls <= 2 ? 503 : 200, {}, "");
        });
    REQUIRE(agent);
    gateway::release_exchange exchange{fleet.events, *client, small_fleet::agent_control_port};
    exchange.announce({"127.0.0.90"}, {"m0/a1", 2});
    exchange.announce({"127.0.0.90"}, {"m0/a2", 7});
    exchange.announce({"127.0.0.90"}, {"m0/a1", 3});
    fleet.run_for(1s);
    REQUIRE(calls == 3);
    const auto last = gateway::decode_releases(bodies.back(), "entry");
    REQUIRE(last);
    REQUIRE(last->size() == 2);
    CHECK(last->at(0).version == 3);
    CHECK(last->at(1).version == 7);
}

TEST_CASE("nothing but a list of releases is taken for one") {
    // Guards against versions that are read from a message that is none.
    const std::string text = gateway::encode_releases({{"m0/a1", 2}});
    REQUIRE(gateway::decode_releases(text, "entry"));
    for (const std::string bad : {"", "{}", "[1]", R"([["m0/a1"]])", R"([["m0/a1", -1]])", R"([[1, 2]])"}) {
        INFO(bad);
        CHECK_FALSE(gateway::decode_releases(bad, "entry"));
    }
}

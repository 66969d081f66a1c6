#include "tests/fleet/small_fleet.h"

#include <nlohmann/json.hpp>

using namespace samphiretray;
using platform::testing::hang_limit;
using platform::testing::small_fleet;

namespace {

/// From the operators' rule: at most this many attempts reach servers later than `contact` after the third
/// crash.
constexpr std::size_t max_reached = 3;
constexpr duration contact = 4s;
/// Servers start again after this time.
constexpr duration downtime = 100ms;
const std::string crashing = "crashing body";

net::http_headers signed_headers(const net::http_request& request) {
    return {{"content-type", "text/event-stream"},
            {"x-samphiretray-attempt-id",
             std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
            {"x-samphiretray-server-seal", "seal"}};
}

/// Three entries before servers that crash whenever they run the request with the body `crashing` of the
/// organisation "coop".
struct fleet_with_crashing_request : small_fleet {
    fleet_with_crashing_request() : small_fleet(3, 4, 3) {
        for (auto& each : engines) {
            each->engine.on_request = [this, &engine = each->engine](const auto& request,
                                                                     const auto& response) {
                run(request, response, [&engine] { engine.restart(); });
            };
        }
        for (auto& each : plain_servers) {
            each->on_request = [this, &server = *each](const auto& request, const auto& response) {
                run(request, response, [&server] { server.crash(downtime); });
            };
        }
    }

    void run(const net::http_request& request, const std::shared_ptr<net::http_response>& response,
             const std::function<void()>& crash) {
        const bool is_crashing =
            request.body == crashing && net::find_header(request.headers, "x-samphiretray-tenant") == "coop";
        if (!is_crashing) {
            response->send(200, signed_headers(request), "id: 1\ndata: x\n\n");
            return;
        }
        ++crash_count;
        response->abort();
        crash();
    }

    /// Lets servers start again and registers their new incarnations.
    void recover() {
        run_for(250ms);
        for (const auto& each : entries) {
            register_engines(*each);
        }
    }

    result<net::fetched_response> ask_to(std::size_t entry, const std::string& path, const std::string& body,
                                         const std::string& key = "key") {
        const auto sent = send_to(entry, path, body, "first:20,own:50", "m0", key);
        REQUIRE(events.run_until([&] { return sent->answer.has_value(); }, hang_limit));
        return *sent->answer;
    }

    /// Sends the crashing request to the entries in turn, twice at least, until it has crashed three servers
    /// or more, and until what that shows has reached all entries.
    void crash_three_servers(const std::string& path) {
        for (std::size_t i = 0; i < 2 || crash_count < 3; ++i) {
            REQUIRE(i < 6);
            (void)ask_to(i % entries.size(), path, crashing);
            recover();
        }
        run_for(contact);
    }

    bool is_served(std::size_t entry, const std::string& path, const std::string& body,
                   const std::string& key = "key") {
        const auto answer = ask_to(entry, path, body, key);
        return answer && answer->status == 200;
    }

    std::string control(std::size_t entry, const std::string& method, const std::string& target) {
        net::http_call call;
        call.peer = control_address(entry);
        call.method = method;
        call.target = target;
        std::optional<result<net::fetched_response>> answer;
        const auto exchange = client->fetch(std::move(call), [&answer](result<net::fetched_response> each) {
            answer.emplace(std::move(each));
        });
        REQUIRE(events.run_until([&] { return answer.has_value(); }, hang_limit));
        REQUIRE(*answer);
        return (*answer)->body;
    }

    std::size_t crash_count = 0;
};

bool is_refusal_with_time(const result<net::fetched_response>& answer) {
    return answer && answer->status == 503 && !net::find_header(answer->headers, "retry-after").empty();
}

} // namespace

// Guards against a request that crashes server after server, since its caller sends it again (BUDGET).
TEST_CASE("attempts at a request that has crashed three servers stop reaching servers at every entry") {
    const auto path = GENERATE(as<std::string>{}, "/s/1", "/u/1", "/e/1", "/r/1");
    CAPTURE(path);
    fleet_with_crashing_request fleet;
    fleet.crash_three_servers(path);
    const std::size_t before = fleet.crash_count;
    std::size_t refused = 0;
    std::size_t served = 0;
    for (std::size_t i = 0; i < 12; ++i) {
        refused += is_refusal_with_time(fleet.ask_to(i % 3, path, crashing)) ? 1 : 0;
        fleet.recover();
        served += fleet.is_served(i % 3, path, "sound body " + std::to_string(i)) ? 1 : 0;
    }
    CHECK(fleet.crash_count - before <= max_reached);
    CHECK(refused >= 12 - max_reached);
    CHECK(served == 12);
}

// Guards against a quarantine that ends with the processes that know it (BUDGET).
TEST_CASE("entries and agents that are all restarted send no attempt at a quarantined request to servers") {
    const auto path = GENERATE(as<std::string>{}, "/u/1", "/r/1");
    CAPTURE(path);
    fleet_with_crashing_request fleet;
    fleet.crash_three_servers(path);
    const std::size_t before = fleet.crash_count;
    for (std::size_t i = 0; i < 4; ++i) {
        fleet.entries.clear();
        for (auto& each : fleet.engines) {
            fleet.start_agent(*each);
        }
        for (std::size_t entry = 0; entry < 3; ++entry) {
            fleet.start_entry(entry);
        }
        fleet.run_for(600ms);
        (void)fleet.ask_to(i % 3, path, crashing);
        fleet.recover();
    }
    CHECK(fleet.crash_count - before <= max_reached);
    CHECK(fleet.is_served(0, path, "sound body"));
}

// Guards against entries that are cut off from each other and each learn of the request by three crashes.
TEST_CASE("entries that do not hear each other learn of a request that crashes servers from the store") {
    fleet_with_crashing_request fleet;
    fleet.store.hides_peers = true;
    for (std::size_t entry = 0; entry < 3; ++entry) {
        fleet.start_entry(entry);
    }
    fleet.run_for(2s);
    for (std::size_t i = 0; fleet.crash_count < 3; ++i) {
        REQUIRE(i < 6);
        (void)fleet.ask_to(i % 3, "/u/1", crashing);
        fleet.recover();
    }
    fleet.run_for(contact);
    const std::size_t before = fleet.crash_count;
    for (std::size_t i = 0; i < 9; ++i) {
        (void)fleet.ask_to(i % 3, "/u/1", crashing);
        fleet.recover();
    }
    CHECK(fleet.crash_count - before <= max_reached);
    CHECK(fleet.is_served(0, "/u/1", "sound body"));
}

// Guards against a caller that shuts out the requests of another one: the same path and body of another
// organisation is another request.
TEST_CASE("a quarantined request of one organisation does not hold back the same request of another one") {
    const auto path = GENERATE(as<std::string>{}, "/s/1", "/r/1");
    CAPTURE(path);
    fleet_with_crashing_request fleet;
    fleet.crash_three_servers(path);
    CHECK(is_refusal_with_time(fleet.ask_to(0, path, crashing)));
    for (std::size_t entry = 0; entry < 3; ++entry) {
        CHECK(fleet.is_served(entry, path, crashing, "other key"));
    }
}

// Guards against a quarantine that operators can neither see nor end after they have mended the servers.
TEST_CASE("operators see a quarantined request and release it at one entry for all") {
    fleet_with_crashing_request fleet;
    fleet.crash_three_servers("/u/1");
    REQUIRE(is_refusal_with_time(fleet.ask_to(0, "/u/1", crashing)));
    const auto shown = nlohmann::json::parse(fleet.control(0, "GET", "/quarantine"));
    REQUIRE(shown["requests"].size() == 1);
    const auto& request = shown["requests"][0];
    CHECK(request["phase"] == "quarantined");
    CHECK(request["cuts"] >= 3);
    CHECK(request["organisation"] == "coop");
    CHECK(request["route"] == "/u/");
    const std::string release = "/quarantine/release?request=" + request["request"].get<std::string>();
    CHECK(fleet.control(0, "GET", release).find("POST") != std::string::npos);
    CHECK(fleet.control(0, "POST", "/quarantine/release?request=12") == "no such request\n");
    CHECK(fleet.control(0, "POST", release) == "released\n");
    fleet.run_for(1s);
    for (std::size_t entry = 0; entry < 3; ++entry) {
        CHECK(nlohmann::json::parse(fleet.control(entry, "GET", "/quarantine"))["requests"].empty());
    }
    const std::size_t before = fleet.crash_count;
    (void)fleet.ask_to(1, "/u/1", crashing);
    CHECK(fleet.crash_count == before + 1);
}

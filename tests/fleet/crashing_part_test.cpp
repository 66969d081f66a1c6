#include "tests/fleet/small_fleet.h"

using namespace samphiretray;
using platform::testing::small_fleet;

namespace {

/// From the operators' rule: at most this many requests reach engines later than `contact` after the fifth
/// crash.
constexpr std::size_t max_reached = 3;
constexpr duration contact = 4s;

/// Engines that crash whenever they begin an answer to a request with the part "dead".
struct fleet_with_crashing_part : small_fleet {
    explicit fleet_with_crashing_part(std::size_t engine_count = 3) : small_fleet(2, engine_count) {
        for (auto& each : engines) {
            each->engine.on_request =
                [this, &engine = each->engine](const net::http_request& request,
                                               const std::shared_ptr<net::http_response>& response) {
                    answer(engine, request, response);
                };
        }
    }

    void answer(platform::testing::fake_engine& engine, const net::http_request& request,
                const std::shared_ptr<net::http_response>& response) {
        const net::http_headers headers{
            {"content-type", "text/event-stream"},
            {"x-samphiretray-attempt-id",
             std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
            {"x-samphiretray-server-seal", "seal"}};
        const std::string_view prompt = net::find_header(request.headers, "x-samphiretray-prompt-prefix");
        if (prompt.find("hang:") != std::string_view::npos) {
            response->start(200, headers);
            response->write("id: 1\ndata: x\n\n");
            hanging.push_back(response);
            return;
        }
        if (prompt.find("dead:") == std::string_view::npos) {
            response->send(200, headers, "id: 1\ndata: x\n\n");
            return;
        }
        ++crash_count;
        response->start(200, headers);
        response->abort();
        engine.restart();
    }

    /// Lets the agents find the crash, load the base model again and register the new start.
    void recover() {
        run_for(250ms);
        for (const auto& each : entries) {
            register_engines(*each);
        }
    }

    /// Requests with the part crash five engines or fewer, until the part is quarantined.
    void quarantine() {
        for (std::uint64_t i = 0; i < 5; ++i) {
            (void)ask(i % 2, "first:20,dead:40,own" + std::to_string(i) + ":50");
            recover();
        }
        run_for(1s);
        REQUIRE(crash_count >= 3);
        await_quarantine();
    }

    /// Waits until both entries hold a part back.
    void await_quarantine() {
        constexpr duration step = 20ms;
        for (duration waited{0}; !is_quarantining(0) || !is_quarantining(1); waited += step) {
            REQUIRE(waited < contact);
            run_for(step);
        }
    }

    bool is_quarantining(std::size_t entry) {
        net::http_call call;
        call.peer = control_address(entry);
        call.target = "/status";
        call.timeout = contact;
        std::optional<result<net::fetched_response>> answer;
        const auto exchange = client->fetch(std::move(call), [&answer](result<net::fetched_response> each) {
            answer.emplace(std::move(each));
        });
        REQUIRE(events.run_until([&] { return answer.has_value(); }, platform::testing::hang_limit));
        REQUIRE((*answer && (*answer)->status == 200));
        const std::string& body = (*answer)->body;
        REQUIRE(body.find("\"quarantined_parts\":") != std::string::npos);
        return body.find("\"quarantined_parts\":0") == std::string::npos;
    }

    /// Whatever entries and agents knew is gone; the store goes on.
    void restart_all() {
        entries.clear();
        for (auto& each : engines) {
            start_agent(*each);
        }
        start_entry(0);
        start_entry(1);
        run_for(300ms);
        await_quarantine();
    }

    std::size_t crash_count = 0;
    /// Answers that fall silent after the first event, as if their link had been cut.
    std::vector<std::shared_ptr<net::http_response>> hanging;
};

std::string own_part(std::uint64_t number) {
    return "own" + std::to_string(number) + ":50";
}

} // namespace

TEST_CASE("requests that share a part which crashes engines stop reaching engines at every entry") {
    // Each such request used to crash one more engine, whatever entry it came to: nothing remembered what the
    // crashed engines had been running.
    fleet_with_crashing_part fleet;
    for (std::uint64_t i = 0; i < 5; ++i) {
        const auto sound = fleet.ask(i % 2, "first:20,other:30," + own_part(100 + i));
        CHECK((sound && sound->status == 200));
        (void)fleet.ask(i % 2, "first:20,other:30,dead:40," + own_part(i));
        fleet.recover();
    }
    REQUIRE(fleet.crash_count <= 5);
    fleet.run_for(contact);
    const std::size_t before = fleet.crash_count;
    std::size_t refused = 0;
    std::size_t served = 0;
    for (std::uint64_t i = 0; i < 12; ++i) {
        const auto held_back = fleet.ask(i % 2, "first:20,other:30,dead:40," + own_part(10 + i));
        const bool is_refusal = held_back && held_back->status == 503 &&
                                !net::find_header(held_back->headers, "retry-after").empty();
        refused += is_refusal ? 1 : 0;
        fleet.recover();
        const auto sound = fleet.ask(i % 2, "first:20,other:30," + own_part(200 + i));
        served += sound && sound->status == 200 ? 1 : 0;
    }
    CHECK(fleet.crash_count - before <= max_reached);
    CHECK(refused >= 12 - max_reached);
    CHECK(served == 12);
}

// Guards against a quarantine that ends with the processes that know it (BUDGET): an entry that had been
// restarted sent requests with the part to engines until it had heard of the crashes from a peer.
TEST_CASE("entries that are restarted send no request with a quarantined part to engines") {
    fleet_with_crashing_part fleet;
    fleet.quarantine();
    const std::size_t before = fleet.crash_count;
    for (std::uint64_t i = 0; i < 8; ++i) {
        fleet.start_entry(i % 2);
        (void)fleet.ask(i % 2, "first:20,dead:40," + own_part(10 + i));
        fleet.recover();
    }
    CHECK(fleet.crash_count - before <= max_reached);
    const auto sound = fleet.ask(0, "first:20," + own_part(100));
    CHECK((sound && sound->status == 200));
}

// As above, while no other entry can tell: all were restarted at the same time.
TEST_CASE("entries that are all restarted send no request with a quarantined part to engines") {
    fleet_with_crashing_part fleet;
    fleet.quarantine();
    const std::size_t before = fleet.crash_count;
    for (std::uint64_t i = 0; i < 4; ++i) {
        fleet.start_entry(0);
        fleet.start_entry(1);
        (void)fleet.ask(i % 2, "first:20,dead:40," + own_part(10 + i));
        (void)fleet.ask((i + 1) % 2, "first:20,dead:40," + own_part(20 + i));
        fleet.recover();
    }
    CHECK(fleet.crash_count - before <= max_reached);
}

// Guards against a quarantine that is forgotten if all entries and agents are killed at one moment (BUDGET):
// only their memory held it, so that each time more engines had to crash before it was known again.
TEST_CASE("a quarantine outlives entries and agents that are all restarted at one moment") {
    fleet_with_crashing_part fleet;
    fleet.quarantine();
    const std::size_t before = fleet.crash_count;
    for (std::uint64_t i = 0; i < 4; ++i) {
        fleet.restart_all();
        (void)fleet.ask(0, "first:20,dead:40," + own_part(10 + i));
        (void)fleet.ask(1, "first:20,dead:40," + own_part(20 + i));
        fleet.recover();
    }
    CHECK(fleet.crash_count == before);
    const auto sound = fleet.ask(0, "first:20," + own_part(100));
    CHECK((sound && sound->status == 200));
}

// Guards against requests that reach engines long after their part has been quarantined, since they were
// waiting at an agent at that moment (BUDGET).
TEST_CASE("requests that wait at an agent do not begin once their part is quarantined") {
    fleet_with_crashing_part fleet{8};
    std::vector<std::shared_ptr<small_fleet::asked>> waiting;
    for (auto& each : fleet.engines) {
        each->engine.delay_orders(1000);
    }
    for (std::uint64_t i = 0; i < 12; ++i) {
        waiting.push_back(
            fleet.send(i % 2, "first:20,dead:40," + own_part(10 + i), "m0/a" + std::to_string(i)));
    }
    fleet.run_for(100ms);
    for (std::uint64_t i = 0; i < 3; ++i) {
        (void)fleet.ask(i % 2, "first:20,dead:40," + own_part(i));
        fleet.run_for(20ms);
    }
    fleet.await_quarantine();
    fleet.run_for(300ms);
    const std::size_t before = fleet.crash_count;
    for (auto& each : fleet.engines) {
        each->engine.order_fates.clear();
    }
    fleet.run_for(2s);
    CHECK(fleet.crash_count == before);
    for (const auto& each : waiting) {
        CHECK(each->status() == 503);
    }
}

// Guards against a quarantine that is lifted at all entries by an answer that only seems to go on, since its
// link was cut or its agent frozen when the engine crashed (BUDGET).
TEST_CASE("an answer that falls silent after its first event does not clear a part that crashes engines") {
    fleet_with_crashing_part fleet{4};
    const auto silent = fleet.send(0, "first:20,dead:40,hang:5," + own_part(50), "m0");
    REQUIRE(fleet.events.run_until([&] { return !fleet.hanging.empty(); }, platform::testing::hang_limit));
    fleet.quarantine();
    fleet.run_for(1500ms);
    const std::size_t before = fleet.crash_count;
    for (std::uint64_t i = 0; i < 4; ++i) {
        (void)fleet.ask(i % 2, "first:20,dead:40," + own_part(10 + i));
        fleet.recover();
    }
    CHECK(fleet.crash_count == before);
}

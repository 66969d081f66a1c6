#include "platform/engine_port.h"
#include "tests/platform/fake_engine.h"

using namespace samphiretray;
using namespace samphiretray::platform;
using platform::testing::fake_engine;
using platform::testing::hang_limit;
using platform::testing::order_fate;

namespace {

struct ordered {
    net::loop events;
    fake_engine engine{events};
    std::unique_ptr<net::http_client> client = net::http_client::create(events);
    engine_port port{events,
                     *client,
                     {.engine = engine.address(),
                      .owner = "side-1",
                      .order_timeout = 30ms,
                      .look_interval = 2ms,
                      .load_limit = 1s}};
    std::vector<result<std::string>> outcomes;

    ports::completion<std::string> collect() {
        return [this](result<std::string> outcome) { outcomes.push_back(std::move(outcome)); };
    }

    void wait_for(std::size_t count) {
        REQUIRE(events.run_until([&] { return outcomes.size() == count; }, hang_limit));
    }
};

ports::engine_order order_for(const std::string& adapter, std::uint64_t fencing_number = 5,
                              std::size_t slots = 8) {
    return {{"m0/" + adapter, "1"}, fencing_number, slots};
}

} // namespace

TEST_CASE("an order carries the condition, the fencing number and the owner") {
    ordered all;
    all.engine.seq = 7;
    all.port.load(order_for("a1"), all.collect());
    all.wait_for(1);
    CHECK(all.outcomes[0]);
    REQUIRE(all.engine.orders.size() == 1);
    const auto& order = all.engine.orders[0];
    CHECK(order["operation"] == "load");
    CHECK(order["model"] == "m0");
    CHECK(order["adapter"] == "a1");
    CHECK(order["version"] == 1);
    CHECK(order["precondition"] == 7);
    CHECK(order["fencingToken"] == 5);
    CHECK(order["owner"] == "side-1");
}

TEST_CASE("orders given at once go out one after another, each on the state that the last has left") {
    ordered all;
    for (const char* adapter : {"a1", "a2", "a3"}) {
        all.port.load(order_for(adapter), all.collect());
    }
    all.wait_for(3);
    CHECK(all.engine.adapters == std::vector<std::string>{"a1@1", "a2@1", "a3@1"});
    CHECK(all.engine.orders.size() == 3);
}

TEST_CASE("an order whose answer is lost is not given twice") {
    ordered all;
    all.engine.fates = {order_fate::answer_lost};
    all.port.load(order_for("a1"), all.collect());
    all.wait_for(1);
    CHECK(all.outcomes[0]);
    CHECK(all.engine.orders.size() == 1);
}

TEST_CASE("an order that is carried out late has no effect after it has been repeated") {
    ordered all;
    all.engine.adapters = {"a1@1"};
    all.engine.fates = {order_fate::late};
    all.port.unload(order_for("a1"), all.collect());
    all.wait_for(1);
    all.port.load(order_for("a1"), all.collect());
    all.wait_for(2);
    all.engine.run_late_orders();
    CHECK(all.engine.adapters == std::vector<std::string>{"a1@1"});
}

TEST_CASE("a load is refused while the engine has no free place, instead of crashing it") {
    ordered all;
    all.engine.places = 2;
    all.engine.adapters = {"a1@1", "a2@1"};
    all.port.load(order_for("a3", 5, 2), all.collect());
    all.wait_for(1);
    REQUIRE_FALSE(all.outcomes[0]);
    CHECK(all.outcomes[0].error().code == errc::load_failed);
    CHECK(all.engine.orders.empty());
}

TEST_CASE("orders that waited while the engine restarted are given up, since its slots are filled anew") {
    ordered all;
    std::optional<result<gateway::engine_report>> report;
    all.port.report([&](result<gateway::engine_report> given) { report.emplace(std::move(given)); });
    REQUIRE(all.events.run_until([&] { return report.has_value(); }, hang_limit));
    all.port.load(order_for("a1"), all.collect());
    all.engine.restart();
    all.wait_for(1);
    REQUIRE_FALSE(all.outcomes[0]);
    CHECK(all.outcomes[0].error().code == errc::load_failed);
    CHECK(all.engine.orders.empty());
}

TEST_CASE("an agent that has been replaced learns that it is fenced") {
    ordered all;
    all.engine.fence = 9;
    all.port.load(order_for("a1", 5), all.collect());
    all.wait_for(1);
    REQUIRE_FALSE(all.outcomes[0]);
    CHECK(all.outcomes[0].error().code == errc::fenced);
}

TEST_CASE("a base model is loaded into an empty engine") {
    ordered all;
    all.engine.models.clear();
    all.port.load({{"m0", ""}, 5}, all.collect());
    all.wait_for(1);
    CHECK(all.outcomes[0]);
    CHECK_FALSE(all.engine.orders[0].contains("adapter"));
    CHECK_FALSE(all.engine.orders[0].contains("version"));
}

TEST_CASE("orders to an engine that answers none of them end after their limit") {
    ordered all;
    for (int i = 0; i < 200; ++i) {
        all.engine.fates.push_back(order_fate::late);
    }
    all.port.load(order_for("a1"), all.collect());
    all.wait_for(1);
    REQUIRE_FALSE(all.outcomes[0]);
    CHECK(all.outcomes[0].error().code == errc::timeout);
}

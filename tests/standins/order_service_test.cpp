#include "standins/lagging_text.h"
#include "standins/order_service_model.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::standins;

namespace {

constexpr time_point start{1000s};

} // namespace

TEST_CASE("the runs of each order are counted even if the response is lost") {
    order_service_model service({.order_time = 50ms});
    service.change_faults({{"lose_next", 1}});
    REQUIRE(service.begin("o1", start));
    REQUIRE(service.next_event() == start + 50ms);
    auto finished = service.advance(start + 50ms);
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].reply == reply_outcome::lost);
    REQUIRE(service.begin("o1", start + 60ms));
    finished = service.advance(start + 110ms);
    REQUIRE(finished.size() == 1);
    CHECK(finished[0].reply == reply_outcome::answered);
    CHECK(finished[0].runs == 2);
    CHECK(service.counters()["repeated_orders"] == 1);
}

TEST_CASE("a refused order does not run") {
    order_service_model service({});
    service.change_faults({{"refuse_next", 1}});
    CHECK_FALSE(service.begin("o1", start));
    CHECK(service.orders().empty());
}

TEST_CASE("orders are queued while all workers are busy") {
    order_service_model service({.order_time = 50ms, .workers = 1});
    REQUIRE(service.begin("o1", start));
    REQUIRE(service.begin("o2", start));
    CHECK(service.waiting() == 1);
    CHECK(service.advance(start + 50ms).size() == 1);
    CHECK(service.next_event() == start + 100ms);
}

TEST_CASE("a changed text becomes visible after the delay") {
    lagging_text list{2s};
    list.observe("one", start);
    list.observe("two", start + 1s);
    CHECK(list.visible(start + 2s) == "one");
    CHECK(list.visible(start + 3s) == "two");
}

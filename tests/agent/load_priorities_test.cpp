#include "samphiretray/agent/load_priorities.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{1h};

service_rank in_time(duration due, std::uint32_t urgency = 1) {
    return {false, urgency, start + due};
}

service_rank late(duration deadline) {
    return {true, 1, start + deadline};
}

} // namespace

TEST_CASE("adapters are loaded first for requests that can still meet their first-byte deadline") {
    // Rarely used adapters are requested at the same time. Loaded in the order of arrival, each would be too
    // late.
    load_priorities order;
    order.add({"m/a1", "1"}, late(100ms));
    order.add({"m/a2", "1"}, in_time(800ms));
    order.add({"m/a3", "1"}, in_time(300ms));
    CHECK(order.weight({"m/a3", "1"}) > order.weight({"m/a2", "1"}));
    CHECK(order.weight({"m/a2", "1"}) > order.weight({"m/a1", "1"}));
    CHECK(order.weight({"m/a1", "1"}) > order.weight({"m/a9", "1"}));
}

TEST_CASE("the best-ranked request for an adapter decides, so that a late one does not delay the others") {
    load_priorities order;
    order.add({"m/a1", "1"}, late(100ms));
    order.add({"m/a1", "1"}, in_time(200ms));
    order.add({"m/a2", "1"}, in_time(300ms, 0));
    CHECK(order.weight({"m/a1", "1"}) > order.weight({"m/a2", "1"}));
}

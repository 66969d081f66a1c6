#include "standins/call_gate.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::standins;
using nlohmann::json;

namespace {

constexpr time_point start{1000s};

std::size_t admitted_reads(call_gate& gate, std::size_t pending, time_point now) {
    std::size_t count = 0;
    while (gate.admit(call_kind::read, "", pending, now) == admission_result::pass) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("pending watches reduce the read limit") {
    call_gate gate({100, 10}, 1);
    CHECK(admitted_reads(gate, 0, start) == 100);
    CHECK(admitted_reads(gate, 0, start + 500ms) == 50);
    CHECK(admitted_reads(gate, 80, start + 1500ms) == 20);
    CHECK(gate.admit(call_kind::write, "", 100, start) == admission_result::pass);
    CHECK(gate.counters()["rate_limited"] == 3);
}

TEST_CASE("changing faults keeps the fields that are not given") {
    call_gate gate({}, 1);
    gate.change_faults({{"delay_ms", 20}, {"cut_listeners", {"luzon"}}});
    gate.change_faults({{"down", "refusing"}});
    CHECK(gate.delay() == 20ms);
    CHECK(gate.admit(call_kind::read, "luzon", 0, start) == admission_result::silent);
    CHECK(gate.admit(call_kind::read, "visayas", 0, start) == admission_result::unavailable);
    CHECK_THROWS_AS(gate.change_faults({{"down", "sideways"}, {"delay_ms", 0}}), json::exception);
    CHECK(gate.delay() == 20ms);
    gate.change_faults({{"down", "up"}});
    CHECK(gate.admit(call_kind::read, "visayas", 0, start) == admission_result::pass);
}

TEST_CASE("lose_next_writes and lose_probability lose the responses to writes") {
    call_gate gate({}, 1);
    gate.change_faults({{"lose_next_writes", 2}});
    CHECK(gate.loses_answer());
    CHECK(gate.loses_answer());
    CHECK_FALSE(gate.loses_answer());
    gate.change_faults({{"lose_probability", 1.0}});
    CHECK(gate.loses_answer());
    CHECK(gate.counters()["lost_answers"] == 3);
}

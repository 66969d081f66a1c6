#include "samphiretray/gateway/agent_protocol.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::gateway;

TEST_CASE(
    "a request waits at its first choice for a short time only, and elsewhere until its caller gives up") {
    // Guards against requests that wait at a busy engine while another one is free, and against ones that
    // wait longer than their callers do.
    const time_point start{1000s};
    request_times times{start, start + 5s, 8s, 1s};
    const waiting_budget first = make_waiting_budget(times, 2ms, true, start + 500ms);
    CHECK(first.until_abandoned == 4500ms);
    CHECK(first.until_late == 498ms);
    CHECK(first.max_queue_wait == 1500ms);
    CHECK(make_waiting_budget(times, 2ms, false, start + 500ms).max_queue_wait == 4500ms);
    CHECK(make_waiting_budget(times, 2ms, true, start + 4s).max_queue_wait == 1s);
    times.silence_timeout = 2s;
    CHECK(make_waiting_budget(times, 2ms, false, start + 500ms).until_abandoned == 1500ms);
}

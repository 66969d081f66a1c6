#include "samphiretray/agent/slot_table.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{1000s};

adapter_version make_adapter(int number) {
    return {"a" + std::to_string(number), "1"};
}

slot_settings with_slots(std::size_t slots) {
    slot_settings settings;
    settings.slots = slots;
    return settings;
}

/// Adds a request that waits for the adapter and completes all commands to load it. The request keeps
/// waiting.
void load(slot_table& table, const adapter_version& adapter, time_point now, bool priority = false) {
    table.wait_started(adapter, priority, now);
    auto commands = table.begin_load(adapter, 1, now);
    while (!commands.empty()) {
        const slot_command command = commands.front();
        commands = command.kind == slot_command_kind::unload
                       ? table.unload_finished(command.id, true, now)
                       : table.load_finished(command.id, load_outcome::loaded, now);
    }
}

slot_pin load_and_pin(slot_table& table, const adapter_version& adapter, time_point now,
                      bool priority = false) {
    load(table, adapter, now, priority);
    const auto pin = table.pin(adapter, priority, now);
    REQUIRE(pin.has_value());
    (void)table.wait_ended(adapter, priority, now);
    return *pin;
}

} // namespace

TEST_CASE("the least recently used adapter is evicted if all are equally popular") {
    slot_table table{with_slots(3)};
    for (int number = 0; number < 3; ++number) {
        table.unpin(load_and_pin(table, make_adapter(number), start + number * 1s), start + number * 1s);
    }
    load(table, make_adapter(9), start + 60s);
    CHECK_FALSE(table.resident(make_adapter(0)));
    CHECK(table.resident(make_adapter(1)));
}

TEST_CASE("a popular adapter is kept, and one used once more recently is evicted") {
    slot_table table{with_slots(2)};
    table.unpin(load_and_pin(table, make_adapter(0), start), start);
    for (int use = 0; use < 10; ++use) {
        table.unpin(*table.pin(make_adapter(0), false, start), start);
    }
    table.unpin(load_and_pin(table, make_adapter(1), start + 1s), start + 1s);
    load(table, make_adapter(9), start + 10s);
    CHECK(table.resident(make_adapter(0)));
}

TEST_CASE("a recently loaded adapter is evicted only for a priority request") {
    slot_table table{with_slots(2)};
    table.unpin(load_and_pin(table, make_adapter(0), start), start);
    table.unpin(load_and_pin(table, make_adapter(1), start), start);
    table.wait_started(make_adapter(2), false, start + 1s);
    CHECK(table.loads_wanted(start + 1s).empty());
    CHECK(table.begin_load(make_adapter(2), 1, start + 1s).empty());
    table.wait_started(make_adapter(3), true, start + 1s);
    CHECK(table.loads_wanted(start + 1s) == std::vector{make_adapter(3)});
    CHECK(table.begin_load(make_adapter(3), 1, start + 1s).size() == 1);
}

TEST_CASE("a priority load gets a slot at once while other requests overload the engine") {
    slot_table table{with_slots(4)};
    for (int number = 0; number < 3; ++number) {
        (void)load_and_pin(table, make_adapter(number), start);
    }
    load(table, make_adapter(3), start);
    CHECK_FALSE(table.pin(make_adapter(3), false, start).has_value());
    table.wait_started(make_adapter(9), true, start);
    REQUIRE(table.loads_wanted(start) == std::vector{make_adapter(9)});
    CHECK(table.begin_load(make_adapter(9), 1, start).size() == 1);
    CHECK(table.evictions() <= 1);
}

TEST_CASE("a waiting adapter gets a slot although requests for another one follow without a gap") {
    slot_table table{with_slots(2)};
    slot_pin running = load_and_pin(table, make_adapter(0), start);
    table.wait_started(make_adapter(2), false, start);
    bool loaded = false;
    for (time_point now = start; now < start + 10s && !loaded; now += 100ms) {
        // The next request for adapter 0 starts before the previous one ends.
        const auto next = table.pin(make_adapter(0), false, now);
        table.unpin(running, now);
        running = next.value_or(running);
        (void)table.loads_wanted(now);
        loaded = !table.begin_load(make_adapter(2), 1, now).empty();
    }
    CHECK(loaded);
}

TEST_CASE("an adapter loaded for a waiting request can be used before it is evicted") {
    slot_table table{with_slots(3)};
    table.unpin(load_and_pin(table, make_adapter(0), start), start);
    load(table, make_adapter(1), start);
    (void)load_and_pin(table, make_adapter(2), start);
    // One more pin would leave no slot for priority loads. It is allowed only for the adapter that was loaded
    // for its waiting request.
    CHECK_FALSE(table.pin(make_adapter(0), false, start).has_value());
    CHECK(table.pin(make_adapter(1), false, start).has_value());
}

TEST_CASE("wanted loads are ordered by priority, then by the longest wait") {
    slot_table table{with_slots(4)};
    table.wait_started(make_adapter(2), false, start);
    table.wait_started(make_adapter(1), false, start + 1s);
    table.wait_started(make_adapter(3), true, start + 2s);
    CHECK(table.loads_wanted(start + 2s) == std::vector{make_adapter(3), make_adapter(2), make_adapter(1)});
}

TEST_CASE("weights replace the number of waiting requests in the order of loads") {
    slot_table table{with_slots(4)};
    table.wait_started(make_adapter(1), false, start);
    table.wait_started(make_adapter(1), false, start);
    table.wait_started(make_adapter(2), false, start);
    CHECK(table.loads_wanted(start) == std::vector{make_adapter(1), make_adapter(2)});
    const auto weight = [](const adapter_version& adapter) { return adapter == make_adapter(2) ? 9.0 : 1.0; };
    CHECK(table.loads_wanted(start, weight) == std::vector{make_adapter(2), make_adapter(1)});
}

TEST_CASE(
    "a load that no request waits for is cancelled, and not started if its slot is still being unloaded") {
    slot_table table{with_slots(2)};
    table.wait_started(make_adapter(0), false, start);
    const auto load_command = table.begin_load(make_adapter(0), 7, start);
    REQUIRE(load_command.size() == 1);
    CHECK(load_command.front().order.fencing_number == 7);
    const auto cancel = table.wait_ended(make_adapter(0), false, start);
    REQUIRE(cancel.size() == 1);
    CHECK(cancel.front().kind == slot_command_kind::cancel_load);
    CHECK(table.load_finished(cancel.front().id, load_outcome::failed, start).empty());
    CHECK(table.failures(make_adapter(0)) == 0);
    table.unpin(load_and_pin(table, make_adapter(1), start), start);
    table.unpin(load_and_pin(table, make_adapter(2), start), start);
    table.wait_started(make_adapter(3), false, start + 10s);
    const auto unload = table.begin_load(make_adapter(3), 1, start + 10s);
    REQUIRE(unload.front().kind == slot_command_kind::unload);
    CHECK(table.wait_ended(make_adapter(3), false, start + 10s).empty());
    CHECK(table.unload_finished(unload.front().id, true, start + 10s).empty());
    CHECK(table.count(slot_state::empty) == 1);
}

TEST_CASE("no slot is drained for adapters that wait only for load permits") {
    slot_table table{with_slots(4)};
    (void)load_and_pin(table, make_adapter(0), start);
    for (int number = 1; number < 6; ++number) {
        table.wait_started(make_adapter(number), false, start);
    }
    CHECK(table.loads_wanted(start + 30s).size() == 2);
    CHECK(table.can_run(make_adapter(0), false));
}

TEST_CASE("the estimated load delay rises with slow loads and decays afterwards") {
    slot_table table{with_slots(4)};
    table.wait_started(make_adapter(0), false, start);
    const auto command = table.begin_load(make_adapter(0), 1, start + 40s);
    CHECK(table.load_finished(command.front().id, load_outcome::loaded, start + 40s).empty());
    CHECK(table.load_delay(start + 40s) > 9s);
    CHECK(table.load_delay(start + 120s) < 300ms);
}

TEST_CASE("failed loads are retried with exponential backoff") {
    slot_table table{with_slots(2)};
    table.wait_started(make_adapter(0), false, start);
    const auto first = table.begin_load(make_adapter(0), 1, start);
    CHECK(table.load_finished(first.front().id, load_outcome::failed, start).empty());
    CHECK(table.begin_load(make_adapter(0), 1, start + 199ms).empty());
    const auto second = table.begin_load(make_adapter(0), 1, start + 200ms);
    REQUIRE(second.size() == 1);
    CHECK(table.load_finished(second.front().id, load_outcome::failed, start + 200ms).empty());
    CHECK(table.begin_load(make_adapter(0), 1, start + 599ms).empty());
    CHECK(table.begin_load(make_adapter(0), 1, start + 600ms).size() == 1);
}

TEST_CASE("after a load with an unknown outcome the unload is retried until it succeeds") {
    slot_table table{with_slots(2)};
    table.wait_started(make_adapter(0), false, start);
    const auto command = table.begin_load(make_adapter(0), 1, start);
    const auto unload = table.load_finished(command.front().id, load_outcome::unknown, start);
    REQUIRE(unload.size() == 1);
    CHECK(table.begin_load(make_adapter(0), 1, start + 5s).empty());
    CHECK(table.unload_finished(unload.front().id, false, start).empty());
    const auto repeated = table.poll(start + 200ms);
    REQUIRE(repeated.size() == 1);
    CHECK(table.unload_finished(repeated.front().id, true, start + 200ms).empty());
    CHECK(table.count(slot_state::empty) == 2);
}

TEST_CASE("a restart of the engine empties the table and reports adapters with lost or waiting requests") {
    slot_table table{with_slots(3)};
    CHECK_FALSE(table.on_incarnation("one", start).has_value());
    const slot_pin old = load_and_pin(table, make_adapter(0), start);
    table.wait_started(make_adapter(1), false, start);
    const auto command = table.begin_load(make_adapter(1), 1, start);
    const auto effect = table.on_incarnation("two", start);
    REQUIRE(effect.has_value());
    CHECK(effect->lost == std::vector{make_adapter(0)});
    CHECK(effect->reload == std::vector{make_adapter(1)});
    CHECK(table.count(slot_state::empty) == 3);
    CHECK(table.load_finished(command.front().id, load_outcome::loaded, start).empty());
    CHECK_FALSE(table.resident(make_adapter(1)));
    CHECK(table.ignored_reports() == 1);
    (void)load_and_pin(table, make_adapter(0), start);
    table.unpin(old, start);
    CHECK(table.pins(make_adapter(0)) == 1);
}

TEST_CASE("an adopted adapter can be used without a load") {
    slot_table table{with_slots(2)};
    table.adopt({make_adapter(0), make_adapter(0), make_adapter(1), make_adapter(2)}, start);
    CHECK(table.count(slot_state::resident) == 2);
    CHECK(table.pin(make_adapter(0), false, start).has_value());
}

TEST_CASE(
    "an adapter that only the engine holds is added to the table, or reported if there is no empty slot") {
    // An engine can execute a load order from before its restart afterwards. If the table did not notice, the
    // next load would exceed the engine's slots.
    slot_settings settings;
    settings.slots = 2;
    slot_table table{settings};
    const adapter_version known{"m/a1", "1"};
    const adapter_version unexpected{"m/a2", "1"};
    const adapter_version second{"m/a3", "1"};
    table.adopt({known}, start);
    CHECK(table.reconcile({known, unexpected}, start).empty());
    CHECK_FALSE(table.resident(unexpected));
    CHECK(table.reconcile({known, unexpected}, start).empty());
    CHECK(table.resident(unexpected));
    CHECK(table.reconcile({known, unexpected, second}, start).empty());
    CHECK(table.reconcile({known, unexpected, second}, start) == std::vector{second});
}

TEST_CASE("an adapter that the engine no longer holds does not stay resident in the table") {
    slot_table table{slot_settings{}};
    const adapter_version lost{"m/a1", "1"};
    table.adopt({lost}, start);
    CHECK(table.reconcile({}, start).empty());
    CHECK(table.resident(lost));
    CHECK(table.reconcile({}, start).empty());
    CHECK_FALSE(table.resident(lost));
    table.adopt({lost}, start);
    table.on_not_loaded(lost);
    CHECK_FALSE(table.resident(lost));
}

TEST_CASE("a load counts as in flight from the start of the unload that makes room for it") {
    // If loads counted only from their own order, each waiting adapter would start an unload at once, and all
    // loads would follow without pacing.
    slot_table table{with_slots(1)};
    table.unpin(load_and_pin(table, make_adapter(0), start), start);
    CHECK(table.loads_in_flight().empty());
    table.wait_started(make_adapter(1), false, start + 10s);
    const auto unload = table.begin_load(make_adapter(1), 1, start + 10s);
    REQUIRE(unload.size() == 1);
    CHECK(unload[0].kind == slot_command_kind::unload);
    CHECK(table.loads_in_flight() == std::vector{make_adapter(1)});
    (void)table.unload_finished(unload[0].id, true, start + 10s);
    CHECK(table.loads_in_flight() == std::vector{make_adapter(1)});
}

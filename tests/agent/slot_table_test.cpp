#include "samphiretray/agent/slot_table.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using namespace samphiretray::agent;

namespace {

const time_point start{1000s};

adapter_version name(int number) {
    return {"a" + std::to_string(number), "1"};
}

slot_settings small(std::size_t slots) {
    slot_settings settings;
    settings.slots = slots;
    return settings;
}

/// Waits for the adapter, loads it and carries out all commands; the request goes on waiting.
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
    slot_table table{small(3)};
    for (int number = 0; number < 3; ++number) {
        table.unpin(load_and_pin(table, name(number), start + number * 1s), start + number * 1s);
    }
    load(table, name(9), start + 60s);
    CHECK_FALSE(table.resident(name(0)));
    CHECK(table.resident(name(1)));
}

TEST_CASE("a popular adapter survives one that was used once, later") {
    slot_table table{small(2)};
    table.unpin(load_and_pin(table, name(0), start), start);
    for (int use = 0; use < 10; ++use) {
        table.unpin(*table.pin(name(0), false, start), start);
    }
    table.unpin(load_and_pin(table, name(1), start + 1s), start + 1s);
    load(table, name(9), start + 10s);
    CHECK(table.resident(name(0)));
}

TEST_CASE("a slot loaded lately is evicted only for a priority customer") {
    slot_table table{small(2)};
    table.unpin(load_and_pin(table, name(0), start), start);
    table.unpin(load_and_pin(table, name(1), start), start);
    table.wait_started(name(2), false, start + 1s);
    CHECK(table.loads_wanted(start + 1s).empty());
    CHECK(table.begin_load(name(2), 1, start + 1s).empty());
    table.wait_started(name(3), true, start + 1s);
    CHECK(table.loads_wanted(start + 1s) == std::vector{name(3)});
    CHECK(table.begin_load(name(3), 1, start + 1s).size() == 1);
}

TEST_CASE("a priority load has a slot at once while others overload the engine") {
    slot_table table{small(4)};
    for (int number = 0; number < 3; ++number) {
        (void)load_and_pin(table, name(number), start);
    }
    load(table, name(3), start);
    CHECK_FALSE(table.pin(name(3), false, start).has_value());
    table.wait_started(name(9), true, start);
    REQUIRE(table.loads_wanted(start) == std::vector{name(9)});
    CHECK(table.begin_load(name(9), 1, start).size() == 1);
    CHECK(table.evictions() <= 1);
}

TEST_CASE("a waiting adapter gets a slot although others are used without a pause") {
    slot_table table{small(2)};
    slot_pin running = load_and_pin(table, name(0), start);
    table.wait_started(name(2), false, start);
    bool loaded = false;
    for (time_point now = start; now < start + 10s && !loaded; now += 100ms) {
        // The next request for adapter 0 starts before the previous one ends.
        const auto next = table.pin(name(0), false, now);
        table.unpin(running, now);
        running = next.value_or(running);
        (void)table.loads_wanted(now);
        loaded = !table.begin_load(name(2), 1, now).empty();
    }
    CHECK(loaded);
}

TEST_CASE("an adapter loaded for a waiting request is used before another one takes its place") {
    slot_table table{small(3)};
    table.unpin(load_and_pin(table, name(0), start), start);
    load(table, name(1), start);
    (void)load_and_pin(table, name(2), start);
    // One more pin would leave no slot for priority, unless it is the one that was promised.
    CHECK_FALSE(table.pin(name(0), false, start).has_value());
    CHECK(table.pin(name(1), false, start).has_value());
}

TEST_CASE("loads are wanted for priority first, then for the longest wait") {
    slot_table table{small(4)};
    table.wait_started(name(2), false, start);
    table.wait_started(name(1), false, start + 1s);
    table.wait_started(name(3), true, start + 2s);
    CHECK(table.loads_wanted(start + 2s) == std::vector{name(3), name(2), name(1)});
}

TEST_CASE("weights replace the number of waiting requests in the order of loads") {
    slot_table table{small(4)};
    table.wait_started(name(1), false, start);
    table.wait_started(name(1), false, start);
    table.wait_started(name(2), false, start);
    CHECK(table.loads_wanted(start) == std::vector{name(1), name(2)});
    const auto weight = [](const adapter_version& adapter) { return adapter == name(2) ? 9.0 : 1.0; };
    CHECK(table.loads_wanted(start, weight) == std::vector{name(2), name(1)});
}

TEST_CASE("a load that nobody waits for is cancelled, and none begins after its unload") {
    slot_table table{small(2)};
    table.wait_started(name(0), false, start);
    const auto load_command = table.begin_load(name(0), 7, start);
    REQUIRE(load_command.size() == 1);
    CHECK(load_command.front().order.fencing_number == 7);
    const auto cancel = table.wait_ended(name(0), false, start);
    REQUIRE(cancel.size() == 1);
    CHECK(cancel.front().kind == slot_command_kind::cancel_load);
    CHECK(table.load_finished(cancel.front().id, load_outcome::failed, start).empty());
    CHECK(table.failures(name(0)) == 0);
    table.unpin(load_and_pin(table, name(1), start), start);
    table.unpin(load_and_pin(table, name(2), start), start);
    table.wait_started(name(3), false, start + 10s);
    const auto unload = table.begin_load(name(3), 1, start + 10s);
    REQUIRE(unload.front().kind == slot_command_kind::unload);
    CHECK(table.wait_ended(name(3), false, start + 10s).empty());
    CHECK(table.unload_finished(unload.front().id, true, start + 10s).empty());
    CHECK(table.count(slot_state::empty) == 1);
}

TEST_CASE("no slot is drained while adapters wait for permits only") {
    slot_table table{small(4)};
    (void)load_and_pin(table, name(0), start);
    for (int number = 1; number < 6; ++number) {
        table.wait_started(name(number), false, start);
    }
    CHECK(table.loads_wanted(start + 30s).size() == 2);
    CHECK(table.can_run(name(0), false));
}

TEST_CASE("the estimated load delay follows slow loads and forgets them") {
    slot_table table{small(4)};
    table.wait_started(name(0), false, start);
    const auto command = table.begin_load(name(0), 1, start + 40s);
    CHECK(table.load_finished(command.front().id, load_outcome::loaded, start + 40s).empty());
    CHECK(table.load_delay(start + 40s) > 9s);
    CHECK(table.load_delay(start + 120s) < 300ms);
}

TEST_CASE("failed loads are repeated after growing pauses") {
    slot_table table{small(2)};
    table.wait_started(name(0), false, start);
    const auto first = table.begin_load(name(0), 1, start);
    CHECK(table.load_finished(first.front().id, load_outcome::failed, start).empty());
    CHECK(table.begin_load(name(0), 1, start + 199ms).empty());
    const auto second = table.begin_load(name(0), 1, start + 200ms);
    REQUIRE(second.size() == 1);
    CHECK(table.load_finished(second.front().id, load_outcome::failed, start + 200ms).empty());
    CHECK(table.begin_load(name(0), 1, start + 599ms).empty());
    CHECK(table.begin_load(name(0), 1, start + 600ms).size() == 1);
}

TEST_CASE("a load with an unknown outcome is unloaded, again and again until it succeeds") {
    slot_table table{small(2)};
    table.wait_started(name(0), false, start);
    const auto command = table.begin_load(name(0), 1, start);
    const auto unload = table.load_finished(command.front().id, load_outcome::unknown, start);
    REQUIRE(unload.size() == 1);
    CHECK(table.begin_load(name(0), 1, start + 5s).empty());
    CHECK(table.unload_finished(unload.front().id, false, start).empty());
    const auto repeated = table.poll(start + 200ms);
    REQUIRE(repeated.size() == 1);
    CHECK(table.unload_finished(repeated.front().id, true, start + 200ms).empty());
    CHECK(table.count(slot_state::empty) == 2);
}

TEST_CASE("a restart of the engine empties the table and names lost and waiting requests") {
    slot_table table{small(3)};
    CHECK_FALSE(table.incarnation_seen("one", start).has_value());
    const slot_pin old = load_and_pin(table, name(0), start);
    table.wait_started(name(1), false, start);
    const auto command = table.begin_load(name(1), 1, start);
    const auto effect = table.incarnation_seen("two", start);
    REQUIRE(effect.has_value());
    CHECK(effect->lost == std::vector{name(0)});
    CHECK(effect->reload == std::vector{name(1)});
    CHECK(table.count(slot_state::empty) == 3);
    CHECK(table.load_finished(command.front().id, load_outcome::loaded, start).empty());
    CHECK_FALSE(table.resident(name(1)));
    CHECK(table.ignored_reports() == 1);
    (void)load_and_pin(table, name(0), start);
    table.unpin(old, start);
    CHECK(table.pins(name(0)) == 1);
}

TEST_CASE("an adopted adapter runs without a load") {
    slot_table table{small(2)};
    table.adopt({name(0), name(0), name(1), name(2)}, start);
    CHECK(table.count(slot_state::resident) == 2);
    CHECK(table.pin(name(0), false, start).has_value());
}

TEST_CASE(
    "an adapter that the engine holds beside the table's is found before the engine runs out of places") {
    // An order from before a restart was carried out after it; the next load would have been one too many.
    slot_settings settings;
    settings.slots = 2;
    slot_table table{settings};
    const adapter_version known{"m/a1", "1"};
    const adapter_version stray{"m/a2", "1"};
    const adapter_version second{"m/a3", "1"};
    table.adopt({known}, start);
    CHECK(table.reconcile({known, stray}, start).empty());
    CHECK_FALSE(table.resident(stray));
    CHECK(table.reconcile({known, stray}, start).empty());
    CHECK(table.resident(stray));
    CHECK(table.reconcile({known, stray, second}, start).empty());
    CHECK(table.reconcile({known, stray, second}, start) == std::vector{second});
}

TEST_CASE("an adapter that the engine has lost is not taken for resident for ever") {
    slot_table table{slot_settings{}};
    const adapter_version lost{"m/a1", "1"};
    table.adopt({lost}, start);
    CHECK(table.reconcile({}, start).empty());
    CHECK(table.resident(lost));
    CHECK(table.reconcile({}, start).empty());
    CHECK_FALSE(table.resident(lost));
    table.adopt({lost}, start);
    table.forget(lost);
    CHECK_FALSE(table.resident(lost));
}

TEST_CASE("a load counts as under way from the unload that makes room for it") {
    // Counted from its own order only, each waiting adapter began an unload at once and all loads followed.
    slot_table table{small(1)};
    table.unpin(load_and_pin(table, name(0), start), start);
    CHECK(table.loads_under_way().empty());
    table.wait_started(name(1), false, start + 10s);
    const auto unload = table.begin_load(name(1), 1, start + 10s);
    REQUIRE(unload.size() == 1);
    CHECK(unload[0].kind == slot_command_kind::unload);
    CHECK(table.loads_under_way() == std::vector{name(1)});
    (void)table.unload_finished(unload[0].id, true, start + 10s);
    CHECK(table.loads_under_way() == std::vector{name(1)});
}

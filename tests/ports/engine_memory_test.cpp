#include "samphiretray/ports/engine_memory.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <array>

using namespace samphiretray::ports;

namespace {

const adapter_version base{"m0", ""};

adapter_version adapter(int number, const std::string& version = "1", const std::string& model = "m0") {
    return {model + "/a" + std::to_string(number), version};
}

/// Memory for six adapters beside the base model, and slots for eight.
engine_memory sized() {
    return {.adapter_slots = 8, .weights_mb = 35'300, .models = {{"m0", {34'300, 150}}}};
}

std::vector<adapter_version> held_adapters(int count) {
    std::vector<adapter_version> held{base};
    for (int i = 0; i < count; ++i) {
        held.push_back(adapter(i));
    }
    return held;
}

} // namespace

TEST_CASE("an adapter is loaded only if it fits both the slots and the memory") {
    // Guards against an engine that crashes on an order (LIMIT), where its memory is tighter than its slots.
    engine_memory limits = sized();
    CHECK(fits(limits, held_adapters(5), adapter(9)));
    CHECK_FALSE(fits(limits, held_adapters(6), adapter(9)));
    CHECK(adapter_capacity(limits, {"m0"}) == 6);
    limits.adapter_slots = 3;
    CHECK_FALSE(fits(limits, held_adapters(3), adapter(9)));
    CHECK(adapter_capacity(limits, {"m0"}) == 3);
    // A replacement is held beside the version that it replaces until that one's requests have ended.
    CHECK_FALSE(fits(limits, held_adapters(3), adapter(0, "2")));
    limits.weights_mb.reset();
    CHECK(fits(limits, held_adapters(2), adapter(9)));
    CHECK_FALSE(fits(limits, held_adapters(3), adapter(9)));
}

TEST_CASE("a base model is loaded only if it fits beside all that the engine holds") {
    // Guards against an engine that crashes on the order for its base model (LIMIT).
    engine_memory limits = sized();
    limits.models["m1"] = {900, 50};
    CHECK(fits(limits, {}, base));
    CHECK(fits(limits, {base}, {"m1", ""}));
    CHECK_FALSE(fits(limits, held_adapters(1), {"m1", ""}));
    limits.weights_mb = 34'000;
    CHECK_FALSE(fits(limits, {}, base));
    CHECK(adapter_capacity(limits, {"m0"}) == 0);
}

TEST_CASE("what has no known size is loaded only where nothing of its kind is held") {
    // Guards against sizes that count as zero, and against adapters that are never served for want of a size.
    engine_memory limits = sized();
    limits.models["m0"].adapter_mb.reset();
    CHECK(fits(limits, {base}, adapter(1)));
    CHECK_FALSE(fits(limits, held_adapters(1), adapter(9)));
    CHECK(adapter_capacity(limits, {"m0"}) == 1);
    CHECK(fits(limits, {}, {"other", ""}));
    CHECK_FALSE(fits(limits, {base}, {"other", ""}));
    CHECK(fits(limits, {{"other", ""}}, adapter(1, "1", "other")));
    CHECK_FALSE(fits(limits, {{"other", ""}, adapter(1, "1", "other")}, adapter(2, "1", "other")));
}

TEST_CASE("an engine loads its model again, or one that fits, and those of known size first") {
    // Guards against an engine that stays without a model although one of its service fits.
    engine_memory limits = sized();
    limits.models["large"] = {40'000, 40};
    CHECK(choose_base_model(limits, "m0", {"m1", "m0"}, 0) == "m0");
    CHECK(choose_base_model(limits, "large", {"large", "unknown", "m0"}, 1) == "m0");
    CHECK(choose_base_model(limits, "", {"large", "unknown"}, 1) == "unknown");
    CHECK(choose_base_model(limits, "", {"large"}, 0).empty());
    CHECK(choose_base_model(limits, "", {}, 0).empty());
}

TEST_CASE("property: orders that fit one after the other never exceed the slots or the memory") {
    // Guards against a sum of orders that is too large although each of them fits (LIMIT).
    rc::check([] {
        const auto size = rc::gen::inRange(1, 40);
        engine_memory limits;
        limits.adapter_slots = *rc::gen::inRange<std::size_t>(1, 8);
        limits.weights_mb = *rc::gen::inRange(20, 150);
        for (const std::string model : {"m0", "m1"}) {
            limits.models[model] = {*size, *size};
        }
        std::vector<adapter_version> held;
        for (const int step : *rc::gen::container<std::vector<int>>(30, rc::gen::inRange(0, 12))) {
            const std::string model = step % 2 == 0 ? "m0" : "m1";
            const adapter_version wanted = step < 4 ? adapter_version{model, ""} : adapter(step, "1", model);
            if (fits(limits, held, wanted)) {
                held.push_back(wanted);
            }
        }
        double used_mb = 0;
        std::size_t adapters = 0;
        for (const adapter_version& each : held) {
            const model_size& known = limits.models.at(std::string{base_model_of(each.adapter)});
            used_mb += is_base_model(each) ? *known.weights_mb : *known.adapter_mb;
            adapters += is_base_model(each) ? 0 : 1;
        }
        RC_ASSERT(used_mb <= *limits.weights_mb);
        RC_ASSERT(adapters <= limits.adapter_slots);
        RC_ASSERT(adapter_capacity(limits, {"m0", "m1"}) <= limits.adapter_slots);
    });
}

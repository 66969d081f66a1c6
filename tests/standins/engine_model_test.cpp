#include "standins/completion_form.h"
#include "standins/engine_model.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray;
using namespace samphiretray::standins;
using nlohmann::json;

namespace {

constexpr time_point start{1000s};

engine_model loaded_engine(const engine_options& options, const std::vector<std::string>& names) {
    engine_model engine{options};
    for (const std::string& name : names) {
        REQUIRE(engine.begin_load(name, 1) == begin_load_result::start);
        REQUIRE(engine.finish_load(name, true, engine.incarnation()));
    }
    return engine;
}

/// Runs the engine until it has no more events. Returns the generated text by request and the time of the
/// last event.
std::pair<std::map<std::uint64_t, std::string>, time_point> run(engine_model& engine, time_point now) {
    std::map<std::uint64_t, std::string> texts;
    while (const auto next = engine.next_event()) {
        now = std::max(now, *next);
        for (const batch_event& event : engine.advance(now)) {
            texts[event.request] += event.text;
        }
    }
    return {texts, now};
}

} // namespace

TEST_CASE("requests for adapters that are not loaded are refused") {
    engine_model engine = loaded_engine({}, {"a@1"});
    CHECK(engine.submit({"a@1", "p"}, start));
    CHECK_FALSE(engine.submit({"a@2", "p"}, start));
    CHECK(engine.counters()["not_loaded"] == 1);
}

TEST_CASE("loads and unloads are refused without a free slot or with a stale fencing number") {
    engine_model engine = loaded_engine({.slots = 2, .checks_fencing = true}, {"a@1", "b@1"});
    CHECK(engine.begin_load("c@1", 1) == begin_load_result::no_slot);
    CHECK(engine.begin_load("a@1", 2) == begin_load_result::already_loaded);
    CHECK(engine.unload("a@1", 1) == unload_result::fenced);
    CHECK(engine.unload("a@1", 2) == unload_result::done);
    CHECK(engine.unload("a@1", 2) == unload_result::not_loaded);
    CHECK(engine.begin_load("c@1", 2) == begin_load_result::start);
    CHECK(engine.begin_load("c@1", 2) == begin_load_result::already_loading);
    CHECK(engine.counters()["stale_commands"] == 1);
}

TEST_CASE("an engine that ignores fencing numbers still counts stale commands") {
    engine_model engine = loaded_engine({.checks_fencing = false}, {"a@1"});
    CHECK(engine.unload("a@1", 0) == unload_result::done);
    CHECK(engine.counters()["stale_commands"] == 1);
}

TEST_CASE("a restart drops loaded adapters, requests and the load in progress") {
    engine_model engine = loaded_engine({}, {"a@1"});
    const std::string before = engine.incarnation();
    REQUIRE(engine.submit({"a@1", "p"}, start));
    REQUIRE(engine.begin_load("b@1", 1) == begin_load_result::start);
    engine.restart();
    CHECK(engine.incarnation() != before);
    CHECK_FALSE(engine.finish_load("b@1", true, before));
    CHECK_FALSE(engine.submit({"a@1", "p"}, start));
    const auto events = engine.advance(start);
    REQUIRE(events.size() == 1);
    CHECK(events[0].what == batch_event::kind::aborted);
}

TEST_CASE("fail_next_loads makes the given number of loads fail") {
    engine_model engine{{}};
    engine.fail_next_loads(1);
    REQUIRE(engine.begin_load("a@1", 1) == begin_load_result::start);
    CHECK_FALSE(engine.finish_load("a@1", true, engine.incarnation()));
    REQUIRE(engine.begin_load("a@1", 1) == begin_load_result::start);
    CHECK(engine.finish_load("a@1", true, engine.incarnation()));
}

// Tests of the agent rely on this counter to detect that an adapter was evicted while a request used it.
TEST_CASE("an unload aborts requests that use the adapter and is counted") {
    engine_model engine = loaded_engine({}, {"a@1", "b@1"});
    const auto affected = engine.submit({"a@1", "p"}, start);
    REQUIRE(engine.submit({"b@1", "p"}, start));
    REQUIRE(engine.unload("a@1", 1) == unload_result::done);
    CHECK(engine.counters()["unloads_in_use"] == 1);
    const auto events = engine.advance(start);
    REQUIRE(events.size() == 1);
    CHECK(events[0].request == *affected);
}

TEST_CASE("a change of state is reported after the state lag") {
    engine_model engine{{.state_lag = 300ms}};
    CHECK(engine.state(start)["loaded"].empty());
    REQUIRE(engine.begin_load("a@1", 1) == begin_load_result::start);
    REQUIRE(engine.finish_load("a@1", true, engine.incarnation()));
    CHECK(engine.state(start + 100ms)["loaded"].empty());
    CHECK(engine.state(start + 399ms)["loaded"].empty());
    CHECK(engine.state(start + 400ms)["loaded"] == json{"a@1"});
}

TEST_CASE("requests in a batch share the fixed time of a step") {
    const batch_options batch{
        .batch = 8, .step_base = 10ms, .step_per_request = 1ms, .prefill_per_token = 0us};
    engine_model alone = loaded_engine({.batch = batch}, {"a@1"});
    REQUIRE(alone.submit({"a@1", "p", 10}, start));
    CHECK(run(alone, start).second == start + 110ms);
    engine_model shared = loaded_engine({.batch = batch}, {"a@1"});
    for (const char* prompt : {"p", "q", "r", "s"}) {
        REQUIRE(shared.submit({"a@1", prompt, 10}, start));
    }
    // The first step starts with one request; the other three join at its end.
    CHECK(run(shared, start).second <= start + 160ms);
}

TEST_CASE("waiting requests with a higher priority join the batch first") {
    engine_model engine = loaded_engine({.batch = {.batch = 1}}, {"a@1"});
    const auto running = engine.submit({"a@1", "p", 2, 0}, start);
    const auto normal = engine.submit({"a@1", "q", 2, 0}, start);
    const auto high = engine.submit({"a@1", "r", 2, 1}, start);
    std::vector<std::uint64_t> finished;
    while (const auto next = engine.next_event()) {
        for (const batch_event& event : engine.advance(*next)) {
            if (event.what == batch_event::kind::finished) {
                finished.push_back(event.request);
            }
        }
    }
    CHECK(finished == std::vector<std::uint64_t>{*running, *high, *normal});
}

TEST_CASE("cached prompt prefixes take no prefill time") {
    const batch_options batch{.step_base = 0us, .step_per_request = 0us, .prefill_per_token = 1ms};
    engine_model engine = loaded_engine({.batch = batch}, {"a@1", "b@1"});
    std::string prompt;
    for (int word = 0; word < 40; ++word) {
        prompt += "w" + std::to_string(word) + " ";
    }
    REQUIRE(engine.submit({"a@1", prompt, 1}, start));
    CHECK(run(engine, start).second == start + 40ms);
    REQUIRE(engine.submit({"a@1", prompt + "more", 1}, start));
    CHECK(run(engine, start).second == start + 9ms);
    REQUIRE(engine.submit({"b@1", prompt, 1}, start));
    CHECK(run(engine, start).second == start + 40ms);
}

TEST_CASE("a paused engine finishes its requests after it resumes") {
    engine_model engine = loaded_engine({}, {"a@1"});
    const auto id = engine.submit({"a@1", "p", 4}, start);
    engine.pause();
    CHECK_FALSE(engine.next_event());
    CHECK(engine.advance(start + 10s).empty());
    engine.resume(start + 10s);
    CHECK(run(engine, start + 10s).first.at(*id) == answer_generator{"a@1", "p"}.text(4));
}

// Guards against answers that depend on the other requests in the batch.
TEST_CASE("every request gets its own complete answer whatever other requests run or are cancelled") {
    CHECK(rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& requests) {
        engine_model engine{{.batch = {.batch = 3}}};
        RC_ASSERT(engine.begin_load("a@1", 1) == begin_load_result::start);
        RC_ASSERT(engine.finish_load("a@1", true, engine.incarnation()));
        std::map<std::uint64_t, std::string> expected;
        for (const auto& [limit, cancelled] : requests) {
            const std::string prompt = "p" + std::to_string(expected.size());
            const std::uint32_t tokens = 1U + limit % 20U;
            const auto id = engine.submit({"a@1", prompt, tokens, limit % 2}, start);
            expected[*id] = cancelled ? "" : answer_generator{"a@1", prompt}.text(tokens);
            if (cancelled) {
                engine.cancel(*id);
            }
        }
        std::erase_if(expected, [](const auto& item) { return item.second.empty(); });
        RC_ASSERT(run(engine, start).first == expected);
    }));
}

TEST_CASE("text and chat completions are parsed and written") {
    const auto chat = parse_completion(completion_kind::chat, R"({"model": "a@1", "stream": true, "messages":
        [{"role": "user", "content": [{"type": "text", "text": "hi"}]}], "max_tokens": 3, "priority": 1})");
    CHECK(chat.batch.prompt == "user: hi\n");
    CHECK(chat.stream);
    CHECK(chat.batch.max_tokens == 3);
    CHECK(chat.batch.priority == 1);
    CHECK_THROWS_AS(parse_completion(completion_kind::text, R"({"model": "a@1"})"), json::exception);

    const completion_writer writer{completion_kind::text, "id", "a@1"};
    const json whole = json::parse(writer.response_body("text", {3, 4, true}));
    CHECK(whole["model"] == "a@1");
    CHECK(whole["choices"][0]["text"] == "text");
    CHECK(whole["choices"][0]["finish_reason"] == "length");
    CHECK(whole["usage"]["total_tokens"] == 7);
    CHECK(writer.last_event({3, 4, false}).ends_with("\n\ndata: [DONE]\n\n"));
}

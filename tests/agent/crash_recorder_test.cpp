#include "samphiretray/agent/crash_recorder.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using agent::crash_recorder;
using agent::interrupted_work;

namespace {

const time_point start{1000s};

interrupted_work work(std::string id, std::optional<duration> answer_age, time_point interrupted_at = start) {
    std::optional<time_point> began;
    if (answer_age) {
        began = interrupted_at - *answer_age;
    }
    return {std::move(id), {"p"}, began, interrupted_at};
}

std::vector<std::string> ids(const std::vector<interrupted_work>& suspects) {
    std::vector<std::string> all;
    for (const auto& each : suspects) {
        all.push_back(each.attempt_id);
    }
    return all;
}

} // namespace

TEST_CASE("the answers that began last are the most likely causes of a crash") {
    crash_recorder recorder{{}};
    recorder.on_interrupted(work("not begun", std::nullopt));
    recorder.on_interrupted(work("earlier", 400ms));
    recorder.on_interrupted(work("last", 60ms));
    recorder.on_interrupted(work("long running", 3s));
    CHECK(ids(recorder.take_suspects(start + 200ms)) ==
          std::vector<std::string>{"last", "earlier", "not begun"});
    CHECK(recorder.take_suspects(start + 200ms).empty());
}

TEST_CASE("parts of an answer that the engine had gone on with are not suspected") {
    crash_recorder recorder{{}};
    interrupted_work older = work("older", 2s);
    older.parts = {"first"};
    interrupted_work last = work("last", 60ms);
    last.parts = {"first", "rare"};
    recorder.on_interrupted(older);
    recorder.on_interrupted(last);
    const auto suspects = recorder.take_suspects(start);
    REQUIRE(suspects.size() == 1);
    CHECK(suspects[0].parts == std::vector<std::string>{"rare"});
}

TEST_CASE("a connection that was closed long before the engine crashed is no suspect") {
    crash_recorder recorder{{}};
    recorder.on_interrupted(work("old", 10ms, start - 5s));
    recorder.on_interrupted(work("new", 10ms));
    CHECK(ids(recorder.take_suspects(start + 100ms)) == std::vector<std::string>{"new"});
}

TEST_CASE("the number of interrupted requests that are kept is bounded") {
    crash_recorder recorder{{.max_interrupted = 3}};
    for (int i = 0; i < 10; ++i) {
        recorder.on_interrupted(work(std::to_string(i), 10ms));
    }
    CHECK(recorder.take_suspects(start).size() == 3);
}

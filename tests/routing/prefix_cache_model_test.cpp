#include "samphiretray/routing/prefix_cache_model.h"

#include <catch2/catch.hpp>

using namespace samphiretray::routing;

namespace {

const std::vector<shared_part> prompt{{"base", 100}, {"job", 200}, {"own", 50}};

} // namespace

TEST_CASE("a segment is cached only after the same preceding segments and for the same adapter") {
    prefix_memory memory{10'000};
    memory.remember("a1", prompt);
    CHECK(memory.kept("a1", prompt) == 350);
    CHECK(memory.kept("a2", prompt) == 0);
    const std::vector<shared_part> other_start{{"other", 100}, {"job", 200}};
    CHECK(memory.kept("a1", other_start) == 0);
    const std::vector<shared_part> other_end{{"base", 100}, {"other", 200}, {"own", 50}};
    CHECK(memory.kept("a1", other_end) == 100);
}

TEST_CASE("the least recently used segments are evicted beyond the capacity") {
    prefix_memory memory{700};
    memory.remember("a1", prompt);
    memory.remember("a2", prompt);
    memory.remember("a1", prompt);
    memory.remember("a3", prompt);
    CHECK(memory.kept("a1", prompt) == 350);
    CHECK(memory.kept("a2", prompt) == 0);
    memory.set_capacity(0);
    CHECK(memory.kept("a1", prompt) == 0);
}

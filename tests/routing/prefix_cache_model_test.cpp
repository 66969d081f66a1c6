#include "samphiretray/routing/prefix_cache_model.h"

#include <catch2/catch.hpp>

using namespace samphiretray::routing;

namespace {

const std::vector<prompt_segment> prompt{{"base", 100}, {"job", 200}, {"own", 50}};

} // namespace

TEST_CASE("a segment is cached only after the same preceding segments and for the same adapter") {
    prefix_cache_model memory{10'000};
    memory.insert("a1", prompt);
    CHECK(memory.cached_tokens("a1", prompt) == 350);
    CHECK(memory.cached_tokens("a2", prompt) == 0);
    const std::vector<prompt_segment> other_start{{"other", 100}, {"job", 200}};
    CHECK(memory.cached_tokens("a1", other_start) == 0);
    const std::vector<prompt_segment> other_end{{"base", 100}, {"other", 200}, {"own", 50}};
    CHECK(memory.cached_tokens("a1", other_end) == 100);
}

TEST_CASE("the least recently used segments are evicted beyond the capacity") {
    prefix_cache_model memory{700};
    memory.insert("a1", prompt);
    memory.insert("a2", prompt);
    memory.insert("a1", prompt);
    memory.insert("a3", prompt);
    CHECK(memory.cached_tokens("a1", prompt) == 350);
    CHECK(memory.cached_tokens("a2", prompt) == 0);
    memory.set_capacity(0);
    CHECK(memory.cached_tokens("a1", prompt) == 0);
}

#include "samphiretray/routing/prefix_memory.h"

#include <catch2/catch.hpp>

using namespace samphiretray::routing;

namespace {

const std::vector<shared_part> draft{{"base", 100}, {"job", 200}, {"own", 50}};

} // namespace

TEST_CASE("a part is found only behind all parts before it, and only for the same adapter") {
    prefix_memory memory{10'000};
    memory.remember("a1", draft);
    CHECK(memory.kept("a1", draft) == 350);
    CHECK(memory.kept("a2", draft) == 0);
    const std::vector<shared_part> other_start{{"other", 100}, {"job", 200}};
    CHECK(memory.kept("a1", other_start) == 0);
    const std::vector<shared_part> other_end{{"base", 100}, {"other", 200}, {"own", 50}};
    CHECK(memory.kept("a1", other_end) == 100);
}

TEST_CASE("the least recently used parts yield when memory runs out") {
    prefix_memory memory{700};
    memory.remember("a1", draft);
    memory.remember("a2", draft);
    memory.remember("a1", draft);
    memory.remember("a3", draft);
    CHECK(memory.kept("a1", draft) == 350);
    CHECK(memory.kept("a2", draft) == 0);
    memory.set_capacity(0);
    CHECK(memory.kept("a1", draft) == 0);
}

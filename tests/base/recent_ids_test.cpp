#include "samphiretray/base/recent_ids.h"

#include <catch2/catch.hpp>

using namespace samphiretray;

// Guards against a memory that grows with all ids that ever came.
TEST_CASE("recent ids are known until as many others have come") {
    recent_ids ids{3};
    CHECK_FALSE(ids.contains(1));
    for (std::uint64_t id = 1; id <= 4; ++id) {
        ids.note(id);
    }
    CHECK_FALSE(ids.contains(1));
    CHECK(ids.contains(2));
    CHECK(ids.contains(4));
}

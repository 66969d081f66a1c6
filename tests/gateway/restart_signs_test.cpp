#include "samphiretray/gateway/restart_signs.h"

#include <catch2/catch.hpp>

#include <iterator>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

const time_point start{1000s};

/// The ids of these servers at which a stream may go on.
std::vector<std::string> trusted(const restart_signs& signs, const std::vector<std::string>& ids,
                                 time_point now) {
    std::vector<endpoint> servers(ids.size());
    std::vector<const endpoint*> candidates;
    for (std::size_t i = 0; i < ids.size(); ++i) {
        servers[i].id = ids[i];
        candidates.push_back(&servers[i]);
    }
    signs.remove_doubtful(candidates, now);
    std::vector<std::string> left;
    std::ranges::transform(candidates, std::back_inserter(left),
                           [](const endpoint* each) { return each->id; });
    return left;
}

} // namespace

TEST_CASE("a server whose answer broke off goes on with streams only if no other server of the version can") {
    // Guards against streams that are joined from two versions (ORDER), since a server restarted under its
    // id, and against streams that are lost (LOST) because the only server of their version broke off an
    // answer.
    restart_signs signs;
    signs.on_broken_off("i-1", start);
    CHECK(trusted(signs, {"i-1", "i-2"}, start + 1s) == std::vector<std::string>{"i-2"});
    CHECK(trusted(signs, {"i-1"}, start + 1s) == std::vector<std::string>{"i-1"});
    // A record that may have been written before the break proves nothing.
    signs.on_record("i-1", false, start - 1ms);
    signs.on_record("i-1", false, std::nullopt);
    CHECK(trusted(signs, {"i-1", "i-2"}, start + 1s).size() == 1);
    signs.on_record("i-1", false, start);
    CHECK(trusted(signs, {"i-1", "i-2"}, start + 1s).size() == 2);
    signs.on_broken_off("i-1", start);
    signs.on_record("i-1", true, std::nullopt);
    CHECK(trusted(signs, {"i-1", "i-2"}, start + 1s).size() == 2);
    signs.on_broken_off("i-1", start);
    CHECK(trusted(signs, {"i-1", "i-2"}, start + restart_signs::max_doubt).size() == 2);
}

TEST_CASE("after a refused connection, or several answers broken off at once, the version is doubtful") {
    // Guards against streams that go on at a restarted server, and against new ones that count as the former
    // version; but not because single answers of a server break off.
    restart_signs signs;
    signs.on_broken_off("i-1", start);
    CHECK_FALSE(signs.is_version_doubtful("i-1", start));
    signs.on_broken_off("i-1", start + 1s);
    CHECK_FALSE(signs.is_version_doubtful("i-1", start + 1s));
    signs.on_broken_off("i-1", start + 1s + restart_signs::same_moment);
    CHECK(signs.is_version_doubtful("i-1", start + 2s));
    CHECK(trusted(signs, {"i-1"}, start + 2s).empty());
    signs.on_broken_off("i-1", start + 3s);
    CHECK(signs.is_version_doubtful("i-1", start + 3s));
    signs.on_unreachable("i-2", start);
    CHECK(signs.is_version_doubtful("i-2", start));
    signs.forget("i-2");
    CHECK_FALSE(signs.is_version_doubtful("i-2", start));
}

#include "samphiretray/gateway/routing_table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace samphiretray;
using namespace samphiretray::gateway;

namespace {

route make_route(std::string name, std::string host, std::string prefix) {
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.prefix = std::move(prefix);
    made.services = {{"engines", 90}, {"canary", 10}};
    return made;
}

routing_table make_table() {
    routing_state state;
    state.version = 7;
    state.routes = {make_route("all", "a.example", "/"), make_route("deep", "a.example", "/x/y/"),
                    make_route("shallow", "a.example", "/x/"), make_route("other", "b.example", "/x/")};
    state.organisations = {{"coop", {"digest-1", "digest-2"}, 1, 100, 200, 10},
                           {"city", {"digest-3"}, {}, 0, 0, 1}};
    return routing_table{std::move(state)};
}

} // namespace

TEST_CASE("the longest matching prefix among the routes of a host wins, in any order of the configuration") {
    const routing_table table = make_table();
    CHECK(table.match("a.example", "/x/y/z")->name == "deep");
    CHECK(table.match("a.example", "/x/z")->name == "shallow");
    CHECK(table.match("a.example", "/xy")->name == "all");
    CHECK(table.match("b.example", "/y/") == nullptr);
    CHECK(table.match("c.example", "/x/") == nullptr);
}

TEST_CASE("a prefix matches only whole path segments") {
    const routing_table table = make_table();
    CHECK(table.match("b.example", "/x") == nullptr);
    CHECK(table.match("b.example", "/xy/") == nullptr);
}

TEST_CASE("a key digest maps to its organisation, and an unknown one to none") {
    const routing_table table = make_table();
    CHECK(table.find_organisation_by_key("digest-2")->name == "coop");
    CHECK(table.find_organisation_by_key("digest-3")->name == "city");
    CHECK(table.find_organisation_by_key("digest-4") == nullptr);
}

TEST_CASE("requests of a route are split by weight, and a service is chosen even if all weights are zero") {
    const routing_table table = make_table();
    const route& split = *table.match("a.example", "/");
    std::map<std::string, int> counts;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        ++counts[routing_table::choose_service(split, draw)];
    }
    CHECK(counts["engines"] == 900);
    CHECK(counts["canary"] == 100);
    route unweighted = split;
    unweighted.services = {{"engines", 0}};
    CHECK(routing_table::choose_service(unweighted, 5) == "engines");
}

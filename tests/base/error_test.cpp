#include "samphiretray/base/error.h"

#include <catch2/catch.hpp>

using namespace samphiretray;

TEST_CASE("an error is formatted with its step, peer, code and detail") {
    const error failure = make_error(errc::timeout, step::connect, "10.0.0.1:80", "no answer in 2 s");
    CHECK(to_string(failure) == "step=connect peer=10.0.0.1:80 code=timeout detail=\"no answer in 2 s\"");
}

TEST_CASE("the name of an enumerator is parsed back to its value") {
    CHECK(parse_name<step>(name_of(step::claim)) == step::claim);
    CHECK_FALSE(parse_name<step>("no such step"));
}

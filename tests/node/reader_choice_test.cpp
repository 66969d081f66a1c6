#include "samphiretray/node/reader_choice.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace samphiretray;
using namespace samphiretray::node;

namespace {

constexpr time_point start{};

std::vector<reader_choice::member> members_of(std::size_t count) {
    std::vector<reader_choice::member> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({"entry-" + std::to_string(i), {"10.0.0.1", static_cast<std::uint16_t>(7000 + i)}});
    }
    return all;
}

} // namespace

TEST_CASE("of the entries of a data centre two read, and the others ask these two") {
    const auto all = members_of(13);
    std::vector<std::string> readers;
    std::vector<std::string> asked;
    for (const auto& each : all) {
        reader_choice choice{each.vm};
        CHECK(choice.is_reader());
        choice.set_members(all);
        if (choice.is_reader()) {
            readers.push_back(each.vm);
            CHECK(choice.reads_for_others());
            CHECK_FALSE(choice.source(start));
            CHECK(choice.substitute(start));
        } else {
            asked.push_back(choice.source(start)->vm);
        }
    }
    REQUIRE(readers.size() == reader_choice::readers);
    for (const std::string& reader : readers) {
        CHECK(std::ranges::count(asked, reader) >= 3);
    }
    CHECK(std::ranges::all_of(
        asked, [&](const std::string& vm) { return std::ranges::find(readers, vm) != readers.end(); }));
}

TEST_CASE("a reader that fails is left for the other one, and then for the store, for a while") {
    const auto all = members_of(13);
    const auto found = std::ranges::find_if(all, [&](const auto& each) {
        reader_choice choice{each.vm};
        choice.set_members(all);
        return !choice.is_reader();
    });
    reader_choice choice{found->vm};
    choice.set_members(all);
    const auto first = choice.source(start);
    choice.failed(first->vm, start);
    const auto second = choice.source(start);
    REQUIRE(second);
    CHECK(second->vm != first->vm);
    choice.failed(second->vm, start);
    CHECK_FALSE(choice.source(start));
    CHECK(choice.source(start + reader_choice::pause)->vm == first->vm);
}

TEST_CASE("entries that are alone, or two, read for themselves") {
    reader_choice choice{"entry-0"};
    choice.set_members({});
    CHECK_FALSE(choice.source(start));
    choice.set_members(members_of(2));
    CHECK(choice.is_reader());
    CHECK_FALSE(choice.reads_for_others());
    CHECK_FALSE(choice.source(start));
}

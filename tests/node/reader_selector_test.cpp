#include "samphiretray/node/reader_selector.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace samphiretray;
using namespace samphiretray::node;

namespace {

constexpr time_point start{};

std::vector<reader_selector::member> members_of(std::size_t count) {
    std::vector<reader_selector::member> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back({"entry-" + std::to_string(i), {"10.0.0.1", static_cast<std::uint16_t>(7000 + i)}});
    }
    return all;
}

} // namespace

TEST_CASE("store readers: two entries of a data centre are readers, and the others query both") {
    const auto all = members_of(13);
    std::vector<std::string> readers;
    std::vector<std::string> asked;
    for (const auto& each : all) {
        reader_selector choice{each.vm};
        CHECK(choice.is_reader());
        choice.set_members(all);
        if (choice.is_reader()) {
            readers.push_back(each.vm);
            CHECK(choice.serves_peers());
            CHECK_FALSE(choice.assigned_reader(start));
            CHECK(choice.fallbacks(start, 1).size() == 1);
        } else {
            asked.push_back(choice.assigned_reader(start)->vm);
        }
    }
    REQUIRE(readers.size() == reader_selector::reader_count);
    for (const std::string& reader : readers) {
        CHECK(std::ranges::count(asked, reader) >= 3);
    }
    CHECK(std::ranges::all_of(
        asked, [&](const std::string& vm) { return std::ranges::find(readers, vm) != readers.end(); }));
}

TEST_CASE("store readers: fails over to the second reader, then to the store, until the backoff ends") {
    const auto all = members_of(13);
    const auto found = std::ranges::find_if(all, [&](const auto& each) {
        reader_selector choice{each.vm};
        choice.set_members(all);
        return !choice.is_reader();
    });
    reader_selector choice{found->vm};
    choice.set_members(all);
    const auto first = choice.assigned_reader(start);
    choice.mark_failed(first->vm, start);
    const auto second = choice.assigned_reader(start);
    REQUIRE(second);
    CHECK(second->vm != first->vm);
    choice.mark_failed(second->vm, start);
    CHECK_FALSE(choice.assigned_reader(start));
    CHECK(choice.assigned_reader(start + reader_selector::failure_backoff)->vm == first->vm);
}

// Guards against an entry that queries the same few entries again and again while another one knows the new
// configuration (CONFIG).
TEST_CASE("store readers: without the store all other entries are queried before one is queried again") {
    reader_selector choice{"entry-0"};
    const auto all = members_of(13);
    choice.set_members({all.begin(), all.begin() + 4}, {all.begin() + 4, all.end()});
    std::set<std::string> asked;
    time_point now = start;
    // Half of the queries go to the two readers, which are tried again after each backoff.
    for (int i = 0; i < 24; ++i, now += reader_selector::failure_backoff / 4) {
        const auto next = choice.fallbacks(now, 1);
        REQUIRE(next.size() == 1);
        asked.insert(next.front().vm);
        choice.mark_failed(next.front().vm, now);
    }
    CHECK(asked.size() == 12);
    choice.mark_fresh("entry-9");
    now += 2 * reader_selector::failure_backoff;
    REQUIRE(choice.fallbacks(now, 3).size() == 1);
    CHECK(choice.fallbacks(now, 3).front().vm == "entry-9");
    for (std::size_t i = 0; i < reader_selector::reader_count; ++i) {
        choice.mark_failed(choice.assigned_reader(now).value_or(all[0]).vm, now);
    }
    CHECK(choice.fallbacks(now, 1).front().vm == "entry-9");
}

// Guards against 2 s without changes after one late answer of the only entry that the store serves (CONFIG).
TEST_CASE("store readers: one that had fresh data is queried again after one failure, behind the others") {
    reader_selector choice{"entry-0"};
    const auto all = members_of(6);
    choice.set_members(all);
    constexpr time_point now = start + 1s;
    const std::string fresh = choice.fallbacks(now, all.size()).back().vm;
    choice.mark_fresh(fresh);
    choice.mark_failed(fresh, now);
    CHECK_FALSE(choice.is_fresh(fresh));
    const auto next = choice.fallbacks(now, all.size());
    REQUIRE(next.size() == 5);
    CHECK(next.back().vm == fresh);
    choice.mark_failed(fresh, now);
    CHECK(choice.fallbacks(now, all.size()).size() == 4);
}

TEST_CASE("store readers: with one or two entries, each reads from the store and serves no peers") {
    reader_selector choice{"entry-0"};
    choice.set_members({});
    CHECK_FALSE(choice.assigned_reader(start));
    choice.set_members(members_of(2));
    CHECK(choice.is_reader());
    CHECK_FALSE(choice.serves_peers());
    CHECK_FALSE(choice.assigned_reader(start));
}

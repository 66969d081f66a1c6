#include "standins/answer_text.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray::standins;

TEST_CASE("the checker tells wrong, crossed and cut answers from right ones") {
    const std::string right = answer_source{"a@1", "p"}.text(12);
    CHECK(check_answer("a@1", "p", 12, right) == answer_fault::none);
    CHECK(check_answer("a@2", "p", 12, right) == answer_fault::wrong_adapter);
    CHECK(check_answer("a@1", "q", 12, right) == answer_fault::wrong_prompt);
    CHECK(check_answer("a@1", "p", 13, right) == answer_fault::truncated);
    CHECK(check_answer("a@1", "p", 12, "") == answer_fault::truncated);
    CHECK(check_answer("a@1", "p", 12, right + "x") == answer_fault::corrupted);
}

// Guards against a checker that accepts a cut answer because tokens repeat.
TEST_CASE("no proper prefix of an answer passes for the answer") {
    CHECK(rc::check([](const std::string& model, const std::string& prompt) {
        const std::string whole = answer_source{model, prompt}.text(1000);
        const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
        RC_ASSERT(check_answer(model, prompt, 1000, whole.substr(0, length)) == answer_fault::truncated);
    }));
}

TEST_CASE("tokens are counted as words") {
    CHECK(count_tokens("") == 1);
    CHECK(count_tokens("  two  words ") == 2);
}

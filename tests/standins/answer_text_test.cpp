#include "standins/answer_text.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace samphiretray::standins;

TEST_CASE("check_answer distinguishes wrong, swapped, truncated and corrupted answers from correct ones") {
    const std::string correct = answer_generator{"a@1", "p"}.text(12);
    CHECK(check_answer("a@1", "p", 12, correct) == answer_fault::none);
    CHECK(check_answer("a@2", "p", 12, correct) == answer_fault::wrong_adapter);
    CHECK(check_answer("a@1", "q", 12, correct) == answer_fault::wrong_prompt);
    CHECK(check_answer("a@1", "p", 13, correct) == answer_fault::truncated);
    CHECK(check_answer("a@1", "p", 12, "") == answer_fault::truncated);
    CHECK(check_answer("a@1", "p", 12, correct + "x") == answer_fault::corrupted);
}

// Guards against a check that accepts a truncated answer, for example because tokens repeat.
TEST_CASE("every proper prefix of an answer is reported as truncated") {
    CHECK(rc::check([](const std::string& model, const std::string& prompt) {
        const std::string whole = answer_generator{model, prompt}.text(1000);
        const auto length = *rc::gen::inRange<std::size_t>(0, whole.size());
        RC_ASSERT(check_answer(model, prompt, 1000, whole.substr(0, length)) == answer_fault::truncated);
    }));
}

TEST_CASE("tokens are counted as words") {
    CHECK(count_tokens("") == 1);
    CHECK(count_tokens("  two  words ") == 2);
}

#include "samphiretray/base/text.h"

#include <catch2/catch.hpp>

using namespace samphiretray;

// Guards against text that JSON cannot hold, whose encoding ended the process.
TEST_CASE("well-formed UTF-8 is told from other bytes") {
    const auto [text, expected] = GENERATE(table<std::string, bool>({
        {"", true},
        {"a1", true},
        {"ni\xC3\xB1o", true},
        {"\xE2\x82\xAC", true},
        {"\xF0\x9F\x8C\xB1", true},
        {"\xF4\x8F\xBF\xBF", true},
        {"ni\xF1o7", false},
        {"\x80", false},
        {"\xC3", false},
        {"a\xE2\x82", false},
        {"\xC0\xAF", false},
        {"\xE0\x80\xAF", false},
        {"\xED\xA0\x80", false},
        {"\xF4\x90\x80\x80", false},
        {"\xFF", false},
    }));
    INFO(text);
    CHECK(is_utf8(text) == expected);
}

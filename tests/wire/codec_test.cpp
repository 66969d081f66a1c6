#include "samphiretray/wire/messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::wire;

namespace {

load_report any_load() {
    return {*rc::gen::arbitrary<std::uint32_t>(), 2, 3, 4, 5, *rc::gen::arbitrary<std::uint32_t>()};
}

std::string any_text() {
    return *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
}

std::string any_bytes() {
    return *rc::gen::arbitrary<std::string>();
}

std::optional<std::uint32_t> any_age() {
    return *rc::gen::element(std::optional<std::uint32_t>{}, std::optional<std::uint32_t>{7});
}

/// One message of each type with generated contents.
std::vector<message> any_messages() {
    const auto number = *rc::gen::arbitrary<std::uint64_t>();
    const auto small = *rc::gen::arbitrary<std::uint32_t>();
    const bool flag = *rc::gen::arbitrary<bool>();
    return {hello{any_text(), role::agent, any_text(), any_text(), any_text(), any_text(), any_text()},
            request_open{number, small, any_text(), any_text(), any_text(), any_text(), any_text(), flag,
                         !flag, flag, small, small, "POST", any_text(), any_text(), any_bytes()},
            request_cancel{number, small},
            answer_head{number, small, 200, any_text(), any_text(), any_text(), flag, any_load()},
            answer_data{number, small, number, any_bytes()},
            answer_end{number, small, flag, number, any_age(), any_text(), any_load()},
            request_refused{number, small, refusal::load_failed, flag, small, any_text(), any_load()},
            state_pull{number, number},
            state_reply{
                number, number, any_age(), {{any_text(), any_age(), any_age()}}, {{any_text(), any_text()}}},
            config_request{number, {any_text(), any_text()}},
            config_reply{number, any_bytes(), {{any_text(), any_bytes()}}},
            grant_request{number, any_text(), number, number, number, number, number},
            grant_reply{number, any_text(), number, small, flag, small},
            permit_request{number, any_text(), any_text(), any_text(), flag, small},
            permit_reply{number, flag, !flag, small},
            permit_cancel{number},
            permit_done{number, flag}};
}

} // namespace

// Guards against a field that is encoded but not decoded, or the other way round.
TEST_CASE("every message survives a round trip") {
    rc::prop("a decoded frame equals its message in every field", [] {
        const auto messages = any_messages();
        RC_ASSERT(messages.size() == std::variant_size_v<message>);
        for (const message& value : messages) {
            const std::string frame = encode(value);
            const auto decoded = decode(frame);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(*decoded == value);
        }
    });
}

// Guards against a crash on a truncated frame, and against decoding it into a message with made-up fields.
TEST_CASE("a frame cut at any length is refused") {
    rc::prop("no proper prefix of a frame is a message", [] {
        for (const message& value : any_messages()) {
            const std::string frame = encode(value);
            const auto length = *rc::gen::inRange<std::size_t>(0, frame.size());
            RC_ASSERT_FALSE(decode(frame.substr(0, length)).has_value());
        }
    });
}

TEST_CASE("arbitrary bytes and damaged frames never crash the decoder") {
    rc::prop("decode returns for any input", [] {
        (void)decode(any_bytes());
        std::string frame = encode(any_messages()[*rc::gen::inRange<std::size_t>(0, 17)]);
        const auto position = *rc::gen::inRange<std::size_t>(0, frame.size());
        frame[position] = *rc::gen::arbitrary<char>();
        (void)decode(frame);
    });
}

TEST_CASE("the error for a missing field names it, and an unknown message type is refused") {
    const std::string frame = encode(permit_done{1, true});
    std::string renamed = frame;
    renamed.replace(renamed.find("loaded"), 6, "loadex");
    CHECK(decode(renamed).error().detail.find("loaded") != std::string::npos);
    std::string unknown = frame;
    unknown.replace(unknown.find("permit_done"), 11, "permit_gone");
    CHECK_FALSE(decode(unknown));
}

#include "samphiretray/wire/messages.h"

#include "src/wire/fields.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace samphiretray;
using namespace samphiretray::wire;

namespace {

/// Fills every field with an arbitrary value.
class field_generator {
public:
    template <typename T>
    void operator()(std::string_view, T& field) {
        fill(field);
    }
    static void bytes(std::string_view, std::string& field) { fill(field); }

private:
    template <typename T>
    static void fill(T& field) {
        if constexpr (std::is_enum_v<T>) {
            const auto& table = name_table<T>;
            field = table[*rc::gen::inRange<std::size_t>(0, table.size())].first;
        } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            field = *rc::gen::arbitrary<T>();
        } else {
            field_generator nested;
            visit_fields(nested, field);
        }
    }
    template <typename T>
    static void fill(std::optional<T>& field) {
        if (*rc::gen::arbitrary<bool>()) {
            fill(field.emplace());
        }
    }
    template <typename T>
    static void fill(std::vector<T>& field) {
        field.resize(*rc::gen::inRange<std::size_t>(0, 5));
        for (T& element : field) {
            fill(element);
        }
    }
};

template <std::size_t... Indices>
message default_message(std::size_t index, std::index_sequence<Indices...>) {
    message generated;
    ((Indices == index ? static_cast<void>(generated.emplace<Indices>()) : void()), ...);
    return generated;
}

message any_message_of(std::size_t index) {
    message generated = default_message(index, std::make_index_sequence<std::variant_size_v<message>>{});
    std::visit(
        [](auto& alternative) {
            field_generator fill;
            visit_fields(fill, alternative);
        },
        generated);
    return generated;
}

message any_message() {
    return any_message_of(*rc::gen::inRange<std::size_t>(0, std::variant_size_v<message>));
}

/// Collects the names of the fields that may be absent.
struct optional_field_names {
    std::vector<std::string> names;
    template <typename T>
    void operator()(std::string_view, T&) {}
    template <typename T>
    void operator()(std::string_view name, std::optional<T>&) {
        names.emplace_back(name);
    }
    void bytes(std::string_view, std::string&) {}
};

std::string detail_of(const result<message>& decoded) {
    REQUIRE_FALSE(decoded);
    CHECK(decoded.error().code == errc::protocol_error);
    CHECK(decoded.error().failed_step == step::parse);
    return decoded.error().detail;
}

std::string frame_with(const message& base, std::string_view field, const nlohmann::json& value) {
    auto object = nlohmann::json::from_cbor(encode(base));
    object[std::string{field}] = value;
    std::string frame;
    nlohmann::json::to_cbor(object, frame);
    return frame;
}

} // namespace

// Compares the frames: encoding is deterministic, so equal frames mean equal messages.
TEST_CASE("every type of message survives a round trip") {
    for (std::size_t index = 0; index < std::variant_size_v<message>; ++index) {
        CHECK(rc::check(std::string{type_names[index]}, [index] {
            const std::string frame = encode(any_message_of(index));
            const auto decoded = decode(frame);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value().index() == index);
            RC_ASSERT(encode(*decoded) == frame);
        }));
    }
}

TEST_CASE("field values at their limits and arbitrary bytes survive a round trip") {
    request_open open;
    open.request = 1ULL << 63U;
    open.attempt = 7;
    open.body = std::string{"\0\xff", 2};
    open.streamed = true;
    const auto decoded = decode(encode(open));
    REQUIRE(decoded);
    const auto& given = std::get<request_open>(*decoded);
    CHECK(given.request == open.request);
    CHECK(given.attempt == 7);
    CHECK(given.body == open.body);
    CHECK(given.streamed);
    CHECK(given.idempotent);
}

// The decoder extracts long byte strings before parsing and leaves short ones to the parser.
TEST_CASE("byte strings of any length keep their order and content") {
    CHECK(rc::check("lengths", [] {
        config_reply reply;
        reply.manifest = std::string(*rc::gen::inRange<std::size_t>(0, 600), 'm');
        for (char c = 'a'; c < 'f'; ++c) {
            reply.chunks.push_back(
                {std::string(1, c), std::string(*rc::gen::inRange<std::size_t>(0, 600), c)});
        }
        const std::string frame = encode(reply);
        const auto decoded = decode(frame);
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(encode(*decoded) == frame);
    }));
}

TEST_CASE("a truncated frame is refused") {
    CHECK(rc::check("prefixes", [] {
        const std::string frame = encode(any_message());
        const auto size = *rc::gen::inRange<std::size_t>(0, frame.size());
        RC_ASSERT_FALSE(decode(frame.substr(0, size)).has_value());
    }));
}

TEST_CASE("arbitrary bytes never crash the decoder") {
    CHECK(rc::check("bytes", [](const std::string& bytes) { (void)decode(bytes); }));
    CHECK(rc::check("changed frames", [] {
        std::string frame = encode(any_message());
        frame[*rc::gen::inRange<std::size_t>(0, frame.size())] = *rc::gen::arbitrary<char>();
        (void)decode(frame);
    }));
}

TEST_CASE("the error for a missing required field names it") {
    CHECK(rc::check("fields", [] {
        message generated = any_message();
        optional_field_names optional;
        std::visit([&optional](auto& alternative) { visit_fields(optional, alternative); }, generated);
        auto object = nlohmann::json::from_cbor(encode(generated));
        auto removed = object.begin();
        std::advance(removed, *rc::gen::inRange<std::size_t>(0, object.size()));
        const std::string name = removed.key();
        object.erase(removed);
        std::string frame;
        nlohmann::json::to_cbor(object, frame);
        const auto decoded = decode(frame);
        RC_ASSERT(decoded.has_value() == std::ranges::count(optional.names, name) > 0);
        if (!decoded) {
            RC_ASSERT(decoded.error().detail.find('"' + name + '"') != std::string::npos);
        }
    }));
}

TEST_CASE("unknown fields are ignored") {
    CHECK(decode(frame_with(permit_cancel{5}, "future", {{"a", {1, 2, nullptr, 1.5}}})));
}

TEST_CASE("errors for values of the wrong type or out of range name the field") {
    CHECK(detail_of(decode(frame_with(request_cancel{}, "attempt", 1ULL << 32U))).find("\"attempt\"") !=
          std::string::npos);
    CHECK(detail_of(decode(frame_with(request_cancel{}, "attempt", -1))).find("\"attempt\"") !=
          std::string::npos);
    CHECK(detail_of(decode(frame_with(request_cancel{}, "attempt", 1.0))).find("\"attempt\"") !=
          std::string::npos);
    CHECK(detail_of(decode(frame_with(hello{}, "peer", 1))).find("\"peer\"") != std::string::npos);
    CHECK(detail_of(decode(frame_with(hello{}, "kind", "boss"))).find("\"kind\"") != std::string::npos);
    CHECK(detail_of(decode(frame_with(answer_data{}, "bytes", "text"))).find("\"bytes\"") !=
          std::string::npos);
    CHECK(detail_of(decode(frame_with(answer_end{}, "tokens", "many"))).find("\"tokens\"") !=
          std::string::npos);
    CHECK(detail_of(decode(frame_with(answer_end{}, "load", {{"running", 1}}))).find("\"load.queued\"") !=
          std::string::npos);
    const nlohmann::json regions = {{{"region", "a"}}, {{"region", 1}}};
    CHECK(detail_of(decode(frame_with(state_reply{}, "regions", regions))).find("\"regions[1].region\"") !=
          std::string::npos);
}

TEST_CASE("malformed frames, unknown message types and trailing bytes are refused") {
    CHECK(detail_of(decode("")).find("CBOR") != std::string::npos);
    CHECK(detail_of(decode("\x01")).find("\"t\"") != std::string::npos);
    CHECK(detail_of(decode(frame_with(state_pull{}, "t", "no such type"))).find("\"t\"") !=
          std::string::npos);
    CHECK(detail_of(decode(encode(state_pull{}) + "x")).find("CBOR") != std::string::npos);
}

TEST_CASE("deep nesting and excessive lengths in a frame are refused without exhausting stack or memory") {
    for (const char opener : {'\x81', '\xa1', '\x9f', '\xbf', '\x7f', '\x5f', '\xc1'}) {
        CHECK_FALSE(decode(std::string(1U << 24U, opener)));
    }
    CHECK_FALSE(decode(std::string{"\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9}));
    CHECK_FALSE(decode(std::string{"\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 9}));
    CHECK_FALSE(decode(std::string{"\x9a\x00\x10\x00\x00", 5} + std::string(1U << 20U, '\x01')));
}

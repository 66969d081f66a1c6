#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"

#include "../src/net/response_parser.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

// Feeds mutated text to the address, query and response parsers. Checks that no parser consumes more than its
// input, and that addresses and query values survive a round trip.

using namespace samphiretray;
using namespace samphiretray::net;

namespace {

constexpr int input_count = 200'000;
constexpr std::uint64_t seed = 1;

const std::vector<std::string> seed_responses{
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\nX-A: b\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
};

void require(bool condition, const char* message) {
    if (!condition) {
        std::puts(message);
        std::abort();
    }
}

void mutate(std::string& text, std::mt19937_64& random) {
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    constexpr std::string_view special_characters = "\r\n:;%&=+0f \xff";
    for (std::size_t mutation_count = below(5); mutation_count > 0; --mutation_count) {
        const std::size_t at = text.empty() ? 0 : below(text.size());
        if (below(3) == 0) {
            text.erase(at, 1 + below(4));
        } else if (below(2) == 0 && !text.empty()) {
            text[at] = static_cast<char>(random());
        } else {
            text.insert(at, 1, special_characters[below(special_characters.size())]);
        }
    }
}

/// Decodes the body in pieces of random size, as a socket would deliver it.
void check_body(const response_head& head, std::string body, std::mt19937_64& random) {
    body_decoder decoder{head.framing, head.length};
    std::size_t at = 0;
    while (at < body.size()) {
        const std::size_t size = 1 + random() % (body.size() - at);
        const auto decoded = decoder.decode(body.data() + at, size);
        require(decoded.data.size() <= size && decoded.consumed <= size,
                "the body decoder returned or consumed more bytes than it was given");
        if (decoded.progress != parse_progress::incomplete) {
            return;
        }
        require(decoded.consumed == size,
                "the body decoder left input unconsumed although the body is incomplete");
        at += size;
    }
}

void check_response(const std::string& text, std::mt19937_64& random) {
    const auto parsed = parse_response_head(text, 0, false);
    if (parsed.progress == parse_progress::done) {
        require(parsed.head.size <= text.size(), "the size of a response head exceeds its input");
        check_body(parsed.head, text.substr(parsed.head.size), random);
    }
}

void check_text(const std::string& text) {
    require(find_query_parameter("key=" + url_encode(text), "key") == text,
            "a query value changed in a round trip through url_encode and find_query");
    (void)find_query_parameter(text, "key");
    if (const auto parsed = parse_address(text)) {
        const auto again = parse_address(to_string(*parsed));
        require(again && *again == *parsed,
                "an address changed in a round trip through to_string and parse_address");
    }
}

} // namespace

int main() {
    std::mt19937_64 random{seed};
    const std::vector<std::string> seed_texts{"10.0.0.1:80", "[::1]:8080", "key=a%20b&c=d", "a+b=%zz"};
    for (int i = 0; i < input_count; ++i) {
        std::string response = seed_responses[random() % seed_responses.size()];
        mutate(response, random);
        check_response(response, random);
        std::string text = seed_texts[random() % seed_texts.size()];
        mutate(text, random);
        check_text(text);
    }
    std::printf("%d inputs\n", input_count);
}

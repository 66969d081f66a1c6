#include "samphiretray/net/address.h"
#include "samphiretray/net/http.h"

#include "../src/net/response_parser.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

// Feeds mutated text to the address, query and response parsers, and checks what must hold for any input.

using namespace samphiretray;
using namespace samphiretray::net;

namespace {

constexpr int rounds = 200'000;
constexpr std::uint64_t seed = 1;

const std::vector<std::string> responses{
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n",
    "HTTP/1.0 404 Not Found\r\nConnection: keep-alive\r\nX-A: b\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
};

void require(bool holds, const char* what) {
    if (!holds) {
        std::puts(what);
        std::abort();
    }
}

void mutate(std::string& text, std::mt19937_64& random) {
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    constexpr std::string_view telling = "\r\n:;%&=+0f \xff";
    for (std::size_t changes = below(5); changes > 0; --changes) {
        const std::size_t at = text.empty() ? 0 : below(text.size());
        if (below(3) == 0) {
            text.erase(at, 1 + below(4));
        } else if (below(2) == 0 && !text.empty()) {
            text[at] = static_cast<char>(random());
        } else {
            text.insert(at, 1, telling[below(telling.size())]);
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
        require(decoded.data.size() <= size && decoded.consumed <= size, "a decoder step exceeds its input");
        if (decoded.progress != parse_progress::incomplete) {
            return;
        }
        require(decoded.consumed == size, "an incomplete body leaves input behind");
        at += size;
    }
}

void check_response(const std::string& text, std::mt19937_64& random) {
    const auto parsed = parse_response_head(text, 0, false);
    if (parsed.progress == parse_progress::done) {
        require(parsed.head.size <= text.size(), "a head exceeds its input");
        check_body(parsed.head, text.substr(parsed.head.size), random);
    }
}

void check_text(const std::string& text) {
    require(find_query("key=" + url_encode(text), "key") == text, "a query value does not survive");
    (void)find_query(text, "key");
    if (const auto parsed = parse_address(text)) {
        const auto again = parse_address(to_string(*parsed));
        require(again && *again == *parsed, "an address does not survive");
    }
}

} // namespace

int main() {
    std::mt19937_64 random{seed};
    const std::vector<std::string> texts{"10.0.0.1:80", "[::1]:8080", "key=a%20b&c=d", "a+b=%zz"};
    for (int i = 0; i < rounds; ++i) {
        std::string response = responses[random() % responses.size()];
        mutate(response, random);
        check_response(response, random);
        std::string text = texts[random() % texts.size()];
        mutate(text, random);
        check_text(text);
    }
    std::printf("%d inputs\n", rounds);
}

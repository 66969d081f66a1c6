#include "samphiretray/net/http_server.h"

#include "../src/net/socket_address.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Sends requests with random framing (lengths, chunk sizes, wrong and missing ends), cut into pieces at
// random places, to a server with a small budget. Checks that the server holds nothing for closed
// connections, and that it still answers an ordinary request.

using namespace samphiretray;
using namespace samphiretray::net;

namespace {

constexpr int round_count = 150;
constexpr std::size_t connections_per_round = 12;
constexpr std::size_t max_body = 64U << 10U;
constexpr std::uint64_t seed = 1;
constexpr duration wait_limit = 20s;

void require(bool condition, const char* message) {
    if (!condition) {
        std::puts(message);
        std::abort();
    }
}

std::string random_request(std::mt19937_64& random) {
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    std::string text = "POST / HTTP/1.1\r\nhost: a\r\n";
    const std::size_t stated = below(2 * max_body);
    if (below(3) == 0) {
        text += "x-long: " + std::string(below(20'000), 'x') + (below(2) == 0 ? "\r\n" : "");
    }
    if (below(2) == 0) {
        text += "content-length: " + std::to_string(stated) + "\r\n\r\n";
        return text + std::string(below(4) == 0 ? stated : below(stated + 1), 'x');
    }
    text += "transfer-encoding: chunked\r\n\r\n";
    const std::size_t chunk = 1 + below(below(2) == 0 ? 8 : 20'000);
    char line[32];
    for (std::size_t sent = 0; sent < stated; sent += chunk) {
        std::snprintf(line, sizeof(line), below(50) == 0 ? "%zx;x=%zx\r\n" : "%zx\r\n", chunk, sent);
        text += below(200) == 0 ? "zz\r\n" : line;
        text.append(chunk, 'x');
        text += below(200) == 0 ? "\n" : "\r\n";
    }
    return text + (below(2) == 0 ? "0\r\n\r\n" : "");
}

int connect_to(const address& peer) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto target = to_socket_address(peer);
    require(::connect(descriptor, target->get(), target->length) == 0, "the server accepts no connection");
    return descriptor;
}

/// Sends a text in pieces of random size, and waits for the server between them.
void send_pieces(loop& events, int descriptor, std::string_view text, std::mt19937_64& random) {
    while (!text.empty()) {
        const auto piece = text.substr(0, 1 + random() % text.size());
        const auto sent = ::send(descriptor, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (sent <= 0) {
            return;
        }
        text.remove_prefix(static_cast<std::size_t>(sent));
        events.run_until([] { return true; }, 1ms);
    }
}

} // namespace

int main() {
    std::mt19937_64 random{seed};
    loop events;
    const auto buffers = std::make_shared<buffer_budget>(
        buffer_limits{.max_bytes = 3 * max_body, .reserved_bytes = max_body, .small_bytes = 1024});
    std::size_t handled = 0;
    http_server_options options;
    options.listen = {"127.0.0.1", 0};
    options.max_body_bytes = max_body;
    options.buffers = buffers;
    options.max_connections = connections_per_round / 2;
    auto server = http_server::create(
        events, options,
        [&handled](const http_request& request, const std::shared_ptr<http_response>& response) {
            require(request.body.size() <= max_body, "a body above the limit reached the handler");
            ++handled;
            response->send(200, {}, "ok");
        });
    require(static_cast<bool>(server), "the server cannot listen");
    for (int round = 0; round < round_count; ++round) {
        std::vector<int> descriptors;
        for (std::size_t i = 0; i < connections_per_round; ++i) {
            descriptors.push_back(connect_to((*server)->local_address()));
            send_pieces(events, descriptors.back(), random_request(random), random);
        }
        const std::size_t before = handled;
        descriptors.push_back(connect_to((*server)->local_address()));
        send_pieces(events, descriptors.back(), "GET / HTTP/1.1\r\nhost: a\r\n\r\n", random);
        const bool answered = events.run_until([&] { return handled > before; }, wait_limit);
        require(answered, "an ordinary request was not answered");
        for (const int each : descriptors) {
            ::close(each);
        }
        const bool released = events.run_until(
            [&] { return buffers->held() == 0 && (*server)->open_connections() == 0; }, wait_limit);
        require(released, "bytes of closed connections are still held");
    }
    std::printf("%d rounds, %zu requests handled\n", round_count, handled);
}

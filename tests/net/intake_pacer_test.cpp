#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/intake_pacer.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::raw_socket;

namespace {

constexpr double thin_link = 1.25e6;
constexpr double request_bytes = 3500;

/// Clients that connect far faster than the link carries their requests. Requests come 5 ms after their
/// connection has been accepted. Returns the bytes that come in each second.
std::vector<double> play(intake_pacer& pacer, std::size_t seconds) {
    std::vector<double> bytes_in_second(seconds);
    std::vector<time_point> accepted;
    std::size_t received = 0;
    std::uint64_t total = 0;
    for (std::size_t ms = 0; ms < seconds * 1000; ++ms) {
        const time_point now{std::chrono::milliseconds{ms}};
        for (; received < accepted.size() && now - accepted[received] >= 5ms; ++received) {
            total += static_cast<std::uint64_t>(request_bytes);
            bytes_in_second[ms / 1000] += request_bytes;
        }
        pacer.on_received(total, now);
        for (int i = 0; i < 32 && pacer.wait(now) <= 0ms; ++i) {
            pacer.on_accepted(now);
            accepted.push_back(now);
        }
    }
    return bytes_in_second;
}

} // namespace

TEST_CASE("callers' requests leave room on the link for the process's own calls") {
    // Guards against a queue on the link in which the answers of the store wait for seconds behind requests.
    intake_pacer pacer{thin_link};
    const auto bytes = play(pacer, 10);
    CHECK(std::ranges::all_of(bytes, [](double each) { return each < thin_link * 0.9; }));
    // The link is used, though: callers are not turned away needlessly.
    CHECK(bytes.back() > thin_link * 0.6);
    CHECK(pacer.link_use() > 0.6);
    CHECK(pacer.mean_request_bytes() == Approx(request_bytes).margin(500));
}

TEST_CASE("answers that fill the link stop new callers, but not for long") {
    // Guards against streams whose events crowd out control traffic, and against a debt that shuts callers
    // out.
    intake_pacer pacer{thin_link};
    const time_point start{1s};
    pacer.on_received(0, start);
    CHECK(pacer.wait(start) == 0ms);
    pacer.on_received(100'000'000, start);
    CHECK(pacer.wait(start) > 400ms);
    CHECK(pacer.wait(start + 600ms) == 0ms);
}

TEST_CASE("callers are accepted now and then while the process's own traffic fills its share of the link") {
    // Guards against an entry that says that it is ready and accepts nobody for seconds (RECOVER).
    intake_pacer pacer{thin_link};
    std::uint64_t total = 0;
    std::size_t accepted = 0;
    for (int ms = 0; ms < 5000; ++ms) {
        const time_point now{std::chrono::milliseconds{ms}};
        // Answers come in clumps.
        total += ms % 400 == 0 ? static_cast<std::uint64_t>(thin_link * 0.4) : 0;
        pacer.on_received(total, now);
        if (pacer.wait(now) <= 0ms) {
            pacer.on_accepted(now);
            ++accepted;
        }
    }
    CHECK(accepted >= 8);
    CHECK(accepted <= 20);
}

TEST_CASE("without a known link nothing is paced") {
    // Guards against deployments without the setting that turn callers away.
    intake_pacer pacer;
    const auto bytes = play(pacer, 2);
    CHECK(bytes.back() > thin_link * 10);
    CHECK(pacer.backlog() == 4096);
}

TEST_CASE("few connections wait to be accepted in front of a thin link, many in front of a fast one") {
    // Guards against a queue of connections whose clients have left, which a process works off for seconds.
    CHECK(intake_pacer{thin_link}.backlog() <= 64);
    CHECK(intake_pacer{125e6}.backlog() == 4096);
}

TEST_CASE("a server accepts connections no faster than its link carries their requests") {
    // Guards against a server that does not follow its pacer, and against connections that are never
    // accepted.
    loop events;
    std::size_t handled = 0;
    http_server_options options;
    options.listen = {"127.0.0.1", 0};
    // Room for about four requests of 4 KB at once, and for forty a second.
    options.link_bytes_per_s = 200'000;
    auto server = http_server::create(
        events, options, [&](const http_request&, const std::shared_ptr<http_response>& response) {
            ++handled;
            response->send(200, {}, "");
        });
    REQUIRE(server);
    const std::string request =
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" + std::string(4000, 'x');
    std::vector<raw_socket> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(raw_socket::connect((*server)->local_address()));
        clients.back().send(events, request);
    }
    (void)events.run_until([] { return false; }, 300ms);
    CHECK(handled < 40);
    CHECK((*server)->accept_pauses() > 0);
    REQUIRE(events.run_until([&] { return handled == 60; }, 20s));
}

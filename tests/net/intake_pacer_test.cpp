#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"
#include "samphiretray/net/intake_pacer.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
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
            pacer.on_request(nullptr);
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

namespace {

/// A thin link that carries the requests of accepted connections one after another, and clients that connect
/// far faster than it carries them.
class busy_link {
public:
    /// Runs for `time` with requests of `size` bytes; returns the longest time that the last byte on the link
    /// had to wait, and counts the bytes that have come.
    duration run(intake_pacer& pacer, duration time, std::size_t size) {
        duration longest{0};
        for (const time_point end = now_ + time; now_ < end; now_ += 1ms) {
            deliver(pacer);
            pacer.on_received(received_, now_);
            for (int i = 0; i < 32 && pacer.wait(now_) <= 0ms; ++i) {
                requests_.push_back({next_id_++, size});
                queued_ += size;
                pacer.on_accepted(now_);
                pacer.on_receiving(id_of(requests_.back()), now_);
            }
            longest = std::max<duration>(longest, std::chrono::milliseconds{queued_ / bytes_in_ms});
        }
        return longest;
    }

    [[nodiscard]] std::uint64_t received() const { return received_; }

private:
    static constexpr std::size_t bytes_in_ms = 1250;

    struct request {
        std::uintptr_t id;
        std::size_t left;
    };

    static const void* id_of(const request& each) {
        return reinterpret_cast<const void*>(each.id); // NOLINT(performance-no-int-to-ptr)
    }

    void deliver(intake_pacer& pacer) {
        for (std::size_t room = bytes_in_ms; room > 0 && !requests_.empty();) {
            request& first = requests_.front();
            const std::size_t taken = std::min(room, first.left);
            first.left -= taken;
            room -= taken;
            queued_ -= taken;
            received_ += taken;
            if (first.left > 0) {
                pacer.on_receiving(id_of(first), now_);
            } else {
                pacer.on_request(id_of(first));
                requests_.pop_front();
            }
        }
    }

    time_point now_{1s};
    std::deque<request> requests_;
    std::size_t queued_ = 0;
    std::uint64_t received_ = 0;
    std::uintptr_t next_id_ = 1;
};

} // namespace

// Guards against an entry that accepts hundreds of large requests as if they were as small as those before,
// and whose own calls wait behind them for seconds (CONFIG).
TEST_CASE("requests that become large do not fill the link for long") {
    intake_pacer pacer{thin_link};
    busy_link link;
    for (int round = 0; round < 3; ++round) {
        (void)link.run(pacer, 3s, 600);
        CHECK(link.run(pacer, 1s, 40'000) < 1s);
        const std::uint64_t before = link.received();
        CHECK(link.run(pacer, 3s, 40'000) < 500ms);
        // Callers are not turned away needlessly.
        CHECK(static_cast<double>(link.received() - before) > 3 * thin_link * 0.6);
    }
}

// Guards against hundreds of connections that were kept open in a busy hour and whose requests fill the link
// when demand rises: they come without being accepted (CONFIG).
TEST_CASE("on a busy link, few connections are kept open") {
    constexpr std::size_t many = 400;
    constexpr std::size_t few = 20;
    intake_pacer pacer{thin_link};
    time_point now{1s};
    for (std::uint64_t total = 0; now < time_point{4s}; now += 10ms, total += 1250) {
        pacer.on_received(total, now);
        CHECK_FALSE(pacer.should_close(many, now));
    }
    intake_pacer busy{thin_link};
    busy_link link;
    (void)link.run(busy, 3s, 40'000);
    CHECK(busy.should_close(many, time_point{4s}));
    CHECK_FALSE(busy.should_close(few, time_point{4s}));
    CHECK_FALSE(intake_pacer{}.should_close(many, now));
}

// Guards against callers that are shut out by connections that have been accepted and send nothing.
TEST_CASE("connections that send little or nothing do not stop others") {
    const bool sends_slowly = GENERATE(false, true);
    intake_pacer pacer{thin_link};
    time_point now{1s};
    std::uintptr_t id = 1;
    std::uint64_t received = 0;
    const auto accepted_in = [&](duration time) {
        std::size_t accepted = 0;
        for (const time_point end = now + time; now < end; now += 1ms) {
            for (std::uintptr_t each = 1; sends_slowly && each < id; each += 100) {
                pacer.on_receiving(reinterpret_cast<const void*>(each), now); // NOLINT
                ++received;
            }
            pacer.on_received(received, now);
            for (int i = 0; i < 32 && pacer.wait(now) <= 0ms; ++i) {
                pacer.on_accepted(now);
                pacer.on_receiving(reinterpret_cast<const void*>(id++), now); // NOLINT
                ++accepted;
            }
        }
        return accepted;
    };
    CHECK(accepted_in(1s) > 100);
    CHECK(accepted_in(1s) > 100);
}

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

// Guards against a server that keeps the connections of refused callers open on a busy link, or closes those
// of callers that it serves (CONFIG).
TEST_CASE("on a busy link, a server closes the connections of refused callers only") {
    loop events;
    std::size_t handled = 0;
    http_server_options options;
    options.listen = {"127.0.0.1", 0};
    // One request on each of 19 connections keeps the link busy for a second.
    options.link_bytes_per_s = 200'000;
    auto server = http_server::create(
        events, options, [&](const http_request& request, const std::shared_ptr<http_response>& response) {
            ++handled;
            response->send(request.path == "/refused" ? 429 : 200, {}, "answer");
        });
    REQUIRE(server);
    const auto request_to = [](const std::string& path) {
        return "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n\r\n" +
               std::string(4000, 'x');
    };
    std::vector<raw_socket> clients;
    for (int i = 0; i < 25; ++i) {
        clients.push_back(raw_socket::connect((*server)->local_address()));
        clients.back().send(events, request_to("/served"));
    }
    REQUIRE(events.run_until([&] { return handled == 25; }, 20s));
    for (std::size_t i = 2; i < clients.size(); ++i) {
        clients[i].send(events, request_to("/served"));
    }
    REQUIRE(events.run_until([&] { return handled == 48; }, 20s));
    clients[0].send(events, request_to("/refused"));
    clients[1].send(events, request_to("/served"));
    REQUIRE(events.run_until([&] { return handled == 50; }, 20s));
    CHECK(events.run_until([&] { return (*server)->open_connections() == 24; }, 20s));
    clients[1].send(events, request_to("/served"));
    CHECK(events.run_until([&] { return handled == 51; }, 20s));
}

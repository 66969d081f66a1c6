#include "samphiretray/net/peer_link.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;
using samphiretray::net::testing::raw_listener;
using samphiretray::net::testing::raw_socket;
using samphiretray::net::testing::unused_address;

namespace {

/// One end of a link and what it has received.
struct link_end {
    std::shared_ptr<peer_link> link;
    std::vector<std::string> messages;
    std::optional<error> closed;

    void use(std::shared_ptr<peer_link> opened) {
        link = std::move(opened);
        link->on_message([this](std::string_view message) { messages.emplace_back(message); });
        link->on_closed([this](const error& reason) { closed = reason; });
    }
};

struct link_fixture {
    loop events;
    peer_link_options options;
    link_end server;
    link_end client;
    std::optional<error> refused;
    std::unique_ptr<peer_listener> listener;
    std::unique_ptr<peer_connect> attempt;

    explicit link_fixture(peer_link_options given = {}) : options(given) {
        auto created = peer_listener::create(
            events, {"127.0.0.1", 0}, options,
            [this](std::shared_ptr<peer_link> opened) { server.use(std::move(opened)); });
        REQUIRE(created);
        listener = std::move(created).value();
    }

    bool wait(const std::function<bool()>& done) { return events.run_until(done, hang_limit); }

    void connect(const address& peer) {
        attempt = connect_peer(events, peer, options, [this](result<std::shared_ptr<peer_link>> outcome) {
            if (outcome) {
                client.use(std::move(outcome).value());
            } else {
                refused = outcome.error();
            }
        });
    }
    void connect() {
        connect(listener->local_address());
        REQUIRE(wait([this] { return client.link && server.link; }));
    }
    void expect_refusal(errc code) {
        REQUIRE(wait([this] { return refused.has_value(); }));
        CHECK(refused->code == code);
        CHECK(refused->at == step::connect);
    }
};

} // namespace

TEST_CASE("messages pass both ways, in order and unchanged") {
    link_fixture fixture;
    fixture.connect();
    std::vector<std::string> sent;
    for (std::size_t i = 0; i < 300; ++i) {
        sent.emplace_back(i * 17, static_cast<char>(i));
        fixture.client.link->send(sent.back());
        fixture.server.link->send(sent.back());
    }
    REQUIRE(fixture.wait([&] {
        return fixture.server.messages.size() == sent.size() && fixture.client.messages.size() == sent.size();
    }));
    CHECK(fixture.server.messages == sent);
    CHECK(fixture.client.messages == sent);
    CHECK(fixture.client.link->peer() == "127.0.0.1");
    CHECK(fixture.client.link->buffered_bytes() == 0);
}

TEST_CASE("a message of the largest size passes") {
    link_fixture fixture;
    fixture.connect();
    fixture.client.link->send(std::string(fixture.options.max_message_bytes, 'x'));
    REQUIRE(fixture.wait([&] { return !fixture.server.messages.empty(); }));
    CHECK(fixture.server.messages[0].size() == fixture.options.max_message_bytes);
}

TEST_CASE("a link that would send too large a message is closed") {
    peer_link_options options;
    options.max_message_bytes = 100;
    link_fixture fixture{options};
    fixture.connect();
    fixture.client.link->send(std::string(101, 'x'));
    REQUIRE(fixture.wait([&] { return fixture.client.closed && fixture.server.closed; }));
    CHECK(fixture.client.closed->code == errc::too_large);
    CHECK_FALSE(fixture.client.link->is_open());
}

TEST_CASE("a link that receives too large a message is closed and does not deliver it") {
    link_fixture fixture;
    fixture.options.max_message_bytes = 1000;
    std::unique_ptr<peer_listener> strict;
    peer_link_options small;
    small.max_message_bytes = 100;
    auto created = peer_listener::create(
        fixture.events, {"127.0.0.1", 0}, small,
        [&](std::shared_ptr<peer_link> opened) { fixture.server.use(std::move(opened)); });
    REQUIRE(created);
    fixture.connect((*created)->local_address());
    REQUIRE(fixture.wait([&] { return fixture.client.link && fixture.server.link; }));
    fixture.client.link->send(std::string(500, 'x'));
    REQUIRE(fixture.wait([&] { return fixture.client.closed && fixture.server.closed; }));
    CHECK(fixture.server.closed->code == errc::too_large);
    CHECK(fixture.server.messages.empty());
}

TEST_CASE("close delivers the queued messages first, even when the link is dropped at once") {
    link_fixture fixture;
    fixture.connect();
    fixture.client.link->send("last");
    fixture.client.link->close();
    fixture.client.link->send("ignored");
    fixture.client.link.reset();
    REQUIRE(fixture.wait([&] { return fixture.client.closed && fixture.server.closed; }));
    CHECK(fixture.server.messages == std::vector<std::string>{"last"});
    CHECK(fixture.server.closed->code == errc::connection_closed);
}

TEST_CASE("the peer notices a link that is dropped without close") {
    link_fixture fixture;
    fixture.connect();
    fixture.client.link.reset();
    REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
    CHECK_FALSE(fixture.server.link->is_open());
    CHECK_FALSE(fixture.client.closed);
}

TEST_CASE("a handler may drop its own link") {
    link_fixture fixture;
    fixture.connect();
    int received = 0;
    fixture.server.link->on_message([&](std::string_view) {
        ++received;
        fixture.server.link.reset();
    });
    fixture.client.link->send("a");
    fixture.client.link->send("b");
    REQUIRE(fixture.wait([&] { return fixture.client.closed.has_value(); }));
    CHECK(received >= 1);
}

TEST_CASE("a refused connection is reported from the loop") {
    link_fixture fixture;
    fixture.connect(unused_address());
    CHECK_FALSE(fixture.refused);
    fixture.expect_refusal(errc::connection_failed);
}

TEST_CASE("a peer that does not answer the handshake is a timeout") {
    peer_link_options options;
    options.connect_timeout = 20ms;
    link_fixture fixture{options};
    const raw_listener silent;
    fixture.connect(silent.local_address());
    fixture.expect_refusal(errc::timeout);
}

TEST_CASE("a peer that speaks another protocol is refused") {
    link_fixture fixture;
    raw_listener other;
    fixture.connect(other.local_address());
    auto peer = other.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.expect_refusal(errc::protocol_error);
}

TEST_CASE("a peer that closes during the handshake is a failed connection") {
    link_fixture fixture;
    raw_listener other;
    fixture.connect(other.local_address());
    other.accept(fixture.events).close();
    fixture.expect_refusal(errc::connection_failed);
}

TEST_CASE("the listener survives callers that speak no WebSocket") {
    link_fixture fixture;
    auto caller = raw_socket::connect(fixture.listener->local_address());
    caller.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    caller.receive_all(fixture.events);
    CHECK_FALSE(fixture.server.link);
    fixture.connect();
}

TEST_CASE("a destroyed attempt has no events") {
    link_fixture fixture;
    fixture.connect(fixture.listener->local_address());
    fixture.attempt.reset();
    fixture.events.run_until([] { return false; }, 20ms);
    CHECK_FALSE(fixture.client.link);
    CHECK_FALSE(fixture.refused);
}

TEST_CASE("an idle link stays open by pings, and a silent peer is noticed") {
    peer_link_options options;
    options.ping_interval = 10ms;
    options.silence_limit = 2s;
    link_fixture fixture{options};
    SECTION("the peer answers") {
        fixture.connect();
        fixture.events.run_until([] { return false; }, 2500ms);
        CHECK(fixture.client.link->is_open());
        CHECK_FALSE(fixture.server.closed);
    }
    SECTION("the peer is silent") {
        auto caller = raw_socket::connect(fixture.listener->local_address());
        caller.send(fixture.events, "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                                    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                    "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
        REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
        CHECK(fixture.server.closed->code == errc::timeout);
    }
}

TEST_CASE("bytes that are no frames close the link as a protocol error") {
    link_fixture fixture;
    auto caller = raw_socket::connect(fixture.listener->local_address());
    caller.send(fixture.events, "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                                "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
    REQUIRE(caller.receive_until(fixture.events, "\r\n\r\n"));
    caller.send(fixture.events, std::string(200, '\xff'));
    REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
    CHECK(fixture.server.closed->code == errc::protocol_error);
}

#include "samphiretray/net/peer_link.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <optional>
#include <stdexcept>
#include <vector>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;
using samphiretray::net::testing::raw_listener;
using samphiretray::net::testing::raw_socket;
using samphiretray::net::testing::unused_address;

namespace {

/// One end of a link and the events it has received.
struct link_end {
    std::shared_ptr<peer_link> link;
    std::vector<std::string> messages;
    std::optional<error> closed;

    void attach(std::shared_ptr<peer_link> opened) {
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
    std::optional<error> connect_error;
    std::unique_ptr<peer_listener> listener;
    std::unique_ptr<peer_connect_attempt> attempt;

    explicit link_fixture(peer_link_options initial_options = {}) : options(initial_options) {
        auto created = peer_listener::create(
            events, {"127.0.0.1", 0}, options,
            [this](std::shared_ptr<peer_link> opened) { server.attach(std::move(opened)); });
        REQUIRE(created);
        listener = std::move(created).value();
    }

    bool wait(const std::function<bool()>& done) { return events.run_until(done, hang_limit); }

    void connect(const address& peer) {
        attempt = connect_peer(events, peer, options, [this](result<std::shared_ptr<peer_link>> outcome) {
            if (outcome) {
                client.attach(std::move(outcome).value());
            } else {
                connect_error = outcome.error();
            }
        });
    }
    void connect() {
        connect(listener->local_address());
        REQUIRE(wait([this] { return client.link && server.link; }));
    }
    void expect_connect_error(errc code) {
        REQUIRE(wait([this] { return connect_error.has_value(); }));
        CHECK(connect_error->code == code);
        CHECK(connect_error->failed_step == step::connect);
    }
};

} // namespace

TEST_CASE("messages arrive in both directions, in order and unchanged") {
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

TEST_CASE("a message of the maximum size is delivered") {
    link_fixture fixture;
    fixture.connect();
    fixture.client.link->send(std::string(fixture.options.max_message_bytes, 'x'));
    REQUIRE(fixture.wait([&] { return !fixture.server.messages.empty(); }));
    CHECK(fixture.server.messages[0].size() == fixture.options.max_message_bytes);
}

TEST_CASE("sending a message over the size limit closes the link") {
    peer_link_options options;
    options.max_message_bytes = 100;
    link_fixture fixture{options};
    fixture.connect();
    fixture.client.link->send(std::string(101, 'x'));
    REQUIRE(fixture.wait([&] { return fixture.client.closed && fixture.server.closed; }));
    CHECK(fixture.client.closed->code == errc::too_large);
    CHECK_FALSE(fixture.client.link->is_open());
}

TEST_CASE("receiving a message over the size limit closes the link without delivering it") {
    link_fixture fixture;
    fixture.options.max_message_bytes = 1000;
    std::unique_ptr<peer_listener> strict;
    peer_link_options small;
    small.max_message_bytes = 100;
    auto created = peer_listener::create(
        fixture.events, {"127.0.0.1", 0}, small,
        [&](std::shared_ptr<peer_link> opened) { fixture.server.attach(std::move(opened)); });
    REQUIRE(created);
    fixture.connect((*created)->local_address());
    REQUIRE(fixture.wait([&] { return fixture.client.link && fixture.server.link; }));
    fixture.client.link->send(std::string(500, 'x'));
    REQUIRE(fixture.wait([&] { return fixture.client.closed && fixture.server.closed; }));
    CHECK(fixture.server.closed->code == errc::too_large);
    CHECK(fixture.server.messages.empty());
}

TEST_CASE("close delivers the queued messages first, even if the link is released at once") {
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

TEST_CASE("the peer detects a link that is released without close") {
    link_fixture fixture;
    fixture.connect();
    fixture.client.link.reset();
    REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
    CHECK_FALSE(fixture.server.link->is_open());
    CHECK_FALSE(fixture.client.closed);
}

TEST_CASE("a message callback may release its own link") {
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
    CHECK_FALSE(fixture.connect_error);
    fixture.expect_connect_error(errc::connection_failed);
}

TEST_CASE("a peer that does not answer the opening handshake causes a timeout") {
    peer_link_options options;
    options.connect_timeout = 20ms;
    link_fixture fixture{options};
    const raw_listener silent;
    fixture.connect(silent.local_address());
    fixture.expect_connect_error(errc::timeout);
}

TEST_CASE("a peer that does not speak WebSocket causes a protocol error") {
    link_fixture fixture;
    raw_listener non_websocket_peer;
    fixture.connect(non_websocket_peer.local_address());
    auto peer = non_websocket_peer.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.expect_connect_error(errc::protocol_error);
}

TEST_CASE("a peer that closes during the opening handshake causes a failed connection") {
    link_fixture fixture;
    raw_listener non_websocket_peer;
    fixture.connect(non_websocket_peer.local_address());
    non_websocket_peer.accept(fixture.events).close();
    fixture.expect_connect_error(errc::connection_failed);
}

TEST_CASE("the listener keeps accepting after a client that does not speak WebSocket") {
    link_fixture fixture;
    auto raw_client = raw_socket::connect(fixture.listener->local_address());
    raw_client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    raw_client.receive_all(fixture.events);
    CHECK_FALSE(fixture.server.link);
    fixture.connect();
}

TEST_CASE("a cancelled connection attempt has no events") {
    link_fixture fixture;
    fixture.connect(fixture.listener->local_address());
    fixture.attempt.reset();
    fixture.events.run_until([] { return false; }, 20ms);
    CHECK_FALSE(fixture.client.link);
    CHECK_FALSE(fixture.connect_error);
}

TEST_CASE("pings keep an idle link open and detect an unresponsive peer") {
    peer_link_options options;
    options.ping_interval = 10ms;
    options.receive_timeout = 2s;
    link_fixture fixture{options};
    SECTION("the peer responds") {
        fixture.connect();
        fixture.events.run_until([] { return false; }, 2500ms);
        CHECK(fixture.client.link->is_open());
        CHECK_FALSE(fixture.server.closed);
    }
    SECTION("the peer is unresponsive") {
        auto raw_client = raw_socket::connect(fixture.listener->local_address());
        raw_client.send(fixture.events, "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                                        "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                        "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
        REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
        CHECK(fixture.server.closed->code == errc::timeout);
    }
}

TEST_CASE("invalid WebSocket frames close the link with a protocol error") {
    link_fixture fixture;
    auto raw_client = raw_socket::connect(fixture.listener->local_address());
    raw_client.send(fixture.events, "GET /peer HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\n"
                                    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
                                    "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n");
    REQUIRE(raw_client.receive_until(fixture.events, "\r\n\r\n"));
    raw_client.send(fixture.events, std::string(200, '\xff'));
    REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
    CHECK(fixture.server.closed->code == errc::protocol_error);
}

// Guards against a message from one peer that ends the process.
TEST_CASE("a link whose message callback throws is closed, and other links go on") {
    link_fixture fixture;
    fixture.connect();
    REQUIRE(fixture.wait([&] { return fixture.client.link && fixture.server.link; }));
    fixture.server.link->on_message(
        [](std::string_view) { throw std::runtime_error("thrown in a callback"); });
    fixture.client.link->send("odd");
    REQUIRE(fixture.wait([&] { return fixture.server.closed.has_value(); }));
    CHECK(fixture.server.closed->code == errc::protocol_error);
    REQUIRE(fixture.wait([&] { return fixture.client.closed.has_value(); }));
    fixture.client = {};
    fixture.server = {};
    fixture.connect();
    REQUIRE(fixture.wait([&] { return fixture.client.link && fixture.server.link; }));
    fixture.client.link->send("sound");
    CHECK(fixture.wait([&] { return fixture.server.messages.size() == 1; }));
}

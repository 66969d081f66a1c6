#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <optional>
#include <stdexcept>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;

// Each case guards against an exception that ends the process: text from a caller that JSON cannot hold had
// thrown in a callback of the event loop.

namespace {

[[noreturn]] void throw_in_callback() {
    throw std::runtime_error("thrown in a callback");
}

/// A server, and a client that calls it.
struct exchange_fixture {
    loop events;
    std::function<void(const http_request&, const std::shared_ptr<http_response>&)> handle =
        [](const http_request&, const std::shared_ptr<http_response>& response) {
            response->send(200, {}, "whole");
        };
    std::unique_ptr<http_server> server = *http_server::create(
        events, {{"127.0.0.1", 0}},
        [this](const http_request& request, const std::shared_ptr<http_response>& response) {
            handle(request, response);
        });
    std::unique_ptr<http_client> client = http_client::create(events);

    http_call call() const {
        http_call made;
        made.peer = server->local_address();
        return made;
    }
    result<fetched_response> fetch() {
        std::optional<result<fetched_response>> outcome;
        const auto exchange = client->fetch(
            call(), [&](result<fetched_response> answer) { outcome.emplace(std::move(answer)); });
        REQUIRE(events.run_until([&] { return outcome.has_value(); }, hang_limit));
        return *outcome;
    }
    void expect_service() {
        const auto answer = fetch();
        REQUIRE(answer);
        CHECK(answer->body == "whole");
    }
};

} // namespace

TEST_CASE("a request whose handler throws is answered with 500, and the server goes on") {
    exchange_fixture fixture;
    const auto sound = std::exchange(fixture.handle, [](const auto&, const auto&) { throw_in_callback(); });
    CHECK(fixture.fetch()->status == 500);
    fixture.handle = sound;
    fixture.expect_service();
}

TEST_CASE("a response that has begun is aborted if the handler of its request throws") {
    exchange_fixture fixture;
    const auto sound = std::exchange(fixture.handle, [](const auto&, const auto& response) {
        response->start(200, {});
        response->write("begun");
        throw_in_callback();
    });
    CHECK_FALSE(fixture.fetch());
    fixture.handle = sound;
    fixture.expect_service();
}

TEST_CASE("a call whose callback throws ends with an error, and the client goes on") {
    exchange_fixture fixture;
    const bool throws_at_head = GENERATE(true, false);
    std::optional<std::optional<error>> end;
    http_call_events handlers;
    handlers.on_head = [&](int, const http_headers&) { throws_at_head ? throw_in_callback() : void(); };
    handlers.on_data = [](std::string_view) { throw_in_callback(); };
    handlers.on_end = [&](std::optional<error> failure) { end.emplace(std::move(failure)); };
    const auto exchange = fixture.client->send(fixture.call(), std::move(handlers));
    REQUIRE(fixture.events.run_until([&] { return end.has_value(); }, hang_limit));
    REQUIRE(*end);
    CHECK((*end)->code == errc::protocol_error);
    fixture.expect_service();
}

TEST_CASE("an exception at the end of a call does not reach the event loop") {
    exchange_fixture fixture;
    bool ended = false;
    http_call_events handlers;
    handlers.on_end = [&](const std::optional<error>&) {
        ended = true;
        throw_in_callback();
    };
    const auto exchange = fixture.client->send(fixture.call(), std::move(handlers));
    REQUIRE(fixture.events.run_until([&] { return ended; }, hang_limit));
    fixture.expect_service();
}

TEST_CASE("a response whose client leaves or reads slowly may throw in its callbacks") {
    exchange_fixture fixture;
    int called = 0;
    const auto sound = std::exchange(fixture.handle, [&](const auto&, const auto& response) {
        response->on_closed([&] {
            ++called;
            throw_in_callback();
        });
        response->on_drained([&] {
            ++called;
            throw_in_callback();
        });
        response->start(200, {});
        response->write("begun");
    });
    {
        auto caller = testing::raw_socket::connect(fixture.server->local_address());
        caller.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        REQUIRE(caller.receive_until(fixture.events, "begun"));
        REQUIRE(fixture.events.run_until([&] { return called == 1; }, hang_limit));
    }
    REQUIRE(fixture.events.run_until([&] { return called >= 2; }, hang_limit));
    fixture.handle = sound;
    fixture.expect_service();
}

TEST_CASE("timers, posted actions and signal actions that throw do not stop the event loop") {
    loop events;
    int timer_calls = 0;
    bool posted = false;
    bool signalled = false;
    const auto timer = events.every(1ms, [&] {
        ++timer_calls;
        throw_in_callback();
    });
    events.post([] { throw_in_callback(); });
    events.post([&] { posted = true; });
    events.on_signal(SIGUSR1, [&] {
        signalled = true;
        throw_in_callback();
    });
    std::raise(SIGUSR1);
    CHECK(events.run_until([&] { return timer_calls >= 3 && posted && signalled; }, hang_limit));
}

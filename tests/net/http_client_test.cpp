#include "samphiretray/net/http_client.h"
#include "samphiretray/net/http_server.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>
#include <malloc.h>

#include <functional>
#include <optional>
#include <thread>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;
using samphiretray::net::testing::raw_listener;
using samphiretray::net::testing::unused_address;

namespace {

/// A call and what its callbacks received.
struct recorded_call {
    int status = 0;
    http_headers headers;
    std::string body;
    bool ended = false;
    std::optional<error> failure;
    std::unique_ptr<http_exchange> exchange;

    http_call_events handlers() {
        return {[this](int code, const http_headers& received) {
                    status = code;
                    headers = received;
                },
                [this](std::string_view bytes) { body += bytes; },
                [this](std::optional<error> reason) {
                    ended = true;
                    failure = std::move(reason);
                }};
    }
};

struct client_fixture {
    loop events;
    raw_listener listener;
    std::unique_ptr<http_client> client = http_client::create(events);

    bool wait(const std::function<bool()>& done) { return events.run_until(done, hang_limit); }

    void start(recorded_call& call, http_call request) {
        if (request.peer.port == 0) {
            request.peer = listener.local_address();
        }
        call.exchange = client->send(std::move(request), call.handlers());
    }
    void expect_end(recorded_call& call) {
        REQUIRE(wait([&] { return call.ended; }));
    }
    void expect_failure(recorded_call& call, errc code) {
        expect_end(call);
        REQUIRE(call.failure);
        CHECK(call.failure->code == code);
        CHECK(call.failure->peer == to_string(listener.local_address()));
    }
    /// Sends a GET request, answers it with `response` and closes the connection.
    void get_with_response(recorded_call& call, std::string_view response) {
        start(call, {});
        auto peer = listener.accept(events);
        REQUIRE(peer.receive_until(events, "\r\n\r\n"));
        peer.send(events, response);
    }
};

} // namespace

TEST_CASE("an answer may take longer than the time limit while it arrives fast enough, and no longer") {
    // Guards against entries that are never ready behind a thin link (FAULT): a page of a listing took a
    // second.
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.timeout = 150ms;
    request.min_bytes_per_s = 10'000;
    fixture.start(call, request);
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    const std::string piece(1'000, 'x');
    const bool is_whole = GENERATE(true, false);
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n" + piece);
    for (int i = 0; i < (is_whole ? 5 : 1); ++i) {
        fixture.events.run_until([] { return false; }, 90ms);
        REQUIRE_FALSE(call.ended);
        peer.send(fixture.events, piece);
    }
    fixture.expect_end(call);
    if (is_whole) {
        CHECK_FALSE(call.failure);
        CHECK(call.body.size() == 6'000);
    } else {
        REQUIRE(call.failure);
        CHECK(call.failure->code == errc::timeout);
    }
}

TEST_CASE("method, target, headers and bodies are transferred in both directions") {
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.method = "POST";
    request.target = "/x?y=1";
    request.headers = {{"X-A", "b"}, {"Content-Length", "99"}};
    request.body = "body";
    fixture.start(call, request);
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\nbody"));
    CHECK(peer.received.rfind("POST /x?y=1 HTTP/1.1\r\n", 0) == 0);
    CHECK(peer.received.find("X-A: b\r\n") != std::string::npos);
    CHECK(peer.received.find("content-length: 4\r\n") != std::string::npos);
    CHECK(peer.received.find("ength: 99") == std::string::npos);
    peer.send(fixture.events, "HTTP/1.1 201 Created\r\nX-C: d\r\nContent-Length: 2\r\n\r\nok");
    fixture.expect_end(call);
    CHECK_FALSE(call.failure);
    CHECK(call.status == 201);
    CHECK(find_header(call.headers, "x-c") == "d");
    CHECK(call.body == "ok");
}

TEST_CASE("response bodies with a length, chunked, delimited by close and absent are complete") {
    const auto [response, body] = GENERATE(table<std::string, std::string>({
        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello"},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-T: 1\r\n\r\n", "hello"},
        {"HTTP/1.0 200 OK\r\n\r\nhello", "hello"},
        {"HTTP/1.1 204 No Content\r\n\r\n", ""},
        {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a"},
    }));
    INFO(response);
    client_fixture fixture;
    recorded_call call;
    fixture.get_with_response(call, response);
    fixture.expect_end(call);
    CHECK_FALSE(call.failure);
    CHECK(call.body == body);
}

TEST_CASE("a truncated response is an error") {
    const std::string response =
        GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello",
                 "HTTP/1.1 200 OK\r\nContent-Le", "");
    INFO(response);
    client_fixture fixture;
    recorded_call call;
    fixture.get_with_response(call, response);
    fixture.expect_failure(call, errc::connection_closed);
    CHECK(call.exchange->may_have_been_sent());
}

TEST_CASE("a close-delimited body that ends with a connection reset is an error") {
    client_fixture fixture;
    recorded_call call;
    fixture.start(call, {});
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.0 200 OK\r\n\r\nhello");
    REQUIRE(fixture.wait([&] { return call.body == "hello"; }));
    peer.reset();
    fixture.expect_failure(call, errc::connection_closed);
}

namespace {

/// A request with a larger body than the buffers of a loopback connection hold, so that a peer that does not
/// read blocks its writer.
http_call large_upload() {
    http_call call;
    call.method = "POST";
    call.body.assign(32U << 20U, 'b');
    call.timeout = hang_limit;
    return call;
}

} // namespace

// Guards against an answer that was reset while its request was still being written and that looked complete:
// the write consumes the socket's error, and the read behind it returns end of file.
TEST_CASE(
    "a close-delimited body is an error if the connection is reset while the request is being written") {
    client_fixture fixture;
    recorded_call call;
    fixture.start(call, large_upload());
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\n\r\nhello");
    REQUIRE(fixture.wait([&] { return call.body == "hello"; }));
    SECTION("by a reset") {
        peer.reset();
    }
    // A connection that is closed with unread bytes is reset too.
    SECTION("by a close") {
        peer.close();
    }
    fixture.expect_failure(call, errc::connection_closed);
    CHECK(call.body == "hello");
}

TEST_CASE("a response that ends before its request has been written is complete if its end is certain") {
    const std::string response =
        GENERATE("HTTP/1.1 200 OK\r\n\r\nhello", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    INFO(response);
    client_fixture fixture;
    recorded_call call;
    fixture.start(call, large_upload());
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, response);
    peer.finish_sending();
    fixture.expect_end(call);
    CHECK_FALSE(call.failure);
    CHECK(call.body == "hello");
}

TEST_CASE("malformed responses are protocol errors") {
    const std::string response =
        GENERATE("nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                 "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\na",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\na",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                 "HTTP/1.1 101 Switching\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n");
    INFO(response);
    client_fixture fixture;
    recorded_call call;
    fixture.get_with_response(call, response);
    fixture.expect_failure(call, errc::protocol_error);
}

TEST_CASE("an endless response header section is rejected instead of exhausting memory") {
    client_fixture fixture;
    recorded_call call;
    fixture.get_with_response(call, "HTTP/1.1 200 OK\r\nA: " + std::string(100'000, 'a'));
    fixture.expect_failure(call, errc::protocol_error);
}

TEST_CASE("endless interim responses, chunk extensions and trailers are rejected") {
    // A faulty server sends interim responses, a chunk extension or trailers until the client closes the
    // connection. Without limits the client would read them forever.
    const auto [start, more] = GENERATE(table<std::string, std::string>(
        {{"", "HTTP/1.1 100 Continue\r\n\r\n"},
         {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", std::string(1000, 'x')},
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "A: b\r\n"}}));
    INFO(start << more.substr(0, 30));
    client_fixture fixture;
    recorded_call call;
    fixture.start(call, {});
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, start);
    std::string bytes;
    while (bytes.size() < 100'000) {
        bytes += more;
    }
    peer.send(fixture.events, bytes);
    fixture.expect_failure(call, errc::protocol_error);
}

TEST_CASE("a call whose reading is paused delivers no data until it is resumed") {
    client_fixture fixture;
    recorded_call call;
    fixture.start(call, {});
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nabc");
    REQUIRE(fixture.wait([&] { return call.body == "abc"; }));
    call.exchange->set_read_enabled(false);
    peer.send(fixture.events, "def");
    fixture.events.run_until([&] { return call.ended; }, 20ms);
    CHECK(call.body == "abc");
    call.exchange->set_read_enabled(true);
    fixture.expect_end(call);
    CHECK(call.body == "abcdef");
    CHECK_FALSE(call.failure);
    // The handle may be used after the call has ended.
    call.exchange->set_read_enabled(false);
    call.exchange->set_read_enabled(true);
}

TEST_CASE("a refused connection reports that nothing was sent") {
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.peer = unused_address();
    fixture.start(call, request);
    CHECK_FALSE(call.ended);
    fixture.expect_end(call);
    REQUIRE(call.failure);
    CHECK(call.failure->code == errc::connection_failed);
    CHECK_FALSE(call.exchange->may_have_been_sent());
}

TEST_CASE("headers and targets that would allow request splitting are rejected without sending") {
    client_fixture fixture;
    http_call bad_header;
    bad_header.headers = {{"X-A", "b\r\nX-C: d"}};
    http_call bad_target;
    bad_target.target = "/ HTTP/1.1\r\nX: y";
    for (const http_call& request : {bad_header, bad_target}) {
        recorded_call call;
        fixture.start(call, request);
        fixture.expect_failure(call, errc::protocol_error);
        CHECK_FALSE(call.exchange->may_have_been_sent());
    }
}

TEST_CASE("a call without a response ends with a timeout") {
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.timeout = 20ms;
    fixture.start(call, request);
    auto peer = fixture.listener.accept(fixture.events);
    fixture.expect_failure(call, errc::timeout);
    peer.receive_all(fixture.events);
}

TEST_CASE("a cancelled call has no events and closes its connection") {
    client_fixture fixture;
    recorded_call call;
    fixture.start(call, {});
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    call.exchange.reset();
    CHECK(peer.receive_all(fixture.events));
    CHECK_FALSE(call.ended);
}

TEST_CASE("a callback may cancel its own call") {
    client_fixture fixture;
    recorded_call call;
    http_call_events handlers = call.handlers();
    handlers.on_data = [&](std::string_view) { call.exchange.reset(); };
    http_call request;
    request.peer = fixture.listener.local_address();
    call.exchange = fixture.client->send(request, handlers);
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
    CHECK(peer.receive_all(fixture.events));
    CHECK_FALSE(call.ended);
}

TEST_CASE("connections are reused after complete responses unless the server closes them") {
    const bool close = GENERATE(false, true);
    client_fixture fixture;
    recorded_call first;
    fixture.start(first, {});
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.received.clear();
    peer.send(fixture.events, close ? "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                                    : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.expect_end(first);
    recorded_call second;
    fixture.start(second, {});
    CHECK(peer.receive_until(fixture.events, "\r\n\r\n") == !close);
}

TEST_CASE("a pooled connection that the peer closed is not reused") {
    client_fixture fixture;
    recorded_call first;
    fixture.get_with_response(first, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.expect_end(first);
    // Lets the client notice that the connection was closed.
    fixture.events.run_until([] { return false; }, 10ms);
    recorded_call second;
    fixture.get_with_response(second, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    fixture.expect_end(second);
    CHECK_FALSE(second.failure);
}

TEST_CASE("large bodies are transferred in both directions") {
    loop events;
    const std::string body(3U << 20U, 'b');
    auto server =
        http_server::create(events, {{"127.0.0.1", 0}},
                            [](const http_request& request, const std::shared_ptr<http_response>& response) {
                                response->start(200, {});
                                response->write(request.body);
                                response->write(request.body);
                                response->finish();
                            });
    REQUIRE(server);
    const auto client = http_client::create(events);
    http_call request;
    request.peer = (*server)->local_address();
    request.method = "POST";
    request.body = body;
    request.timeout = hang_limit;
    std::optional<fetched_response> answer;
    const auto exchange = client->fetch(
        request, [&](result<fetched_response> given) { answer = *given; }, 8U << 20U);
    REQUIRE(events.run_until([&] { return answer.has_value(); }, hang_limit));
    CHECK(answer->body == body + body);
}

TEST_CASE("fetch fails if the response body exceeds its limit") {
    client_fixture fixture;
    std::optional<error> failure;
    http_call request;
    request.peer = fixture.listener.local_address();
    const auto exchange = fixture.client->fetch(
        request, [&](const result<fetched_response>& given) { failure = given.error(); }, 4);
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello");
    REQUIRE(fixture.wait([&] { return failure.has_value(); }));
    CHECK(failure->code == errc::too_large);
}

// Guards against an entry that stands still for ever: a call on a kept connection writes at once, and when it
// was cancelled before the loop reported the write, the connection was freed while it was still in the loop's
// list of callbacks to run. Found by the soak (seed 9102), in a process that ran late.
TEST_CASE("a call that is cancelled in the iteration that has written its request leaves the loop intact") {
    // Freed memory is overwritten, so that its use is seen.
    ::mallopt(M_PERTURB, 165);
    client_fixture fixture;
    const auto get = [](const char* target) {
        http_call call;
        call.target = target;
        return call;
    };
    for (int round = 0; round < 20; ++round) {
        recorded_call first;
        fixture.start(first, get("/first"));
        auto connection = fixture.listener.accept(fixture.events);
        REQUIRE(connection.receive_until(fixture.events, "/first"));
        connection.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(fixture.wait([&] { return first.ended; }));
        recorded_call cancelled;
        recorded_call next;
        bool done = false;
        const auto timer = fixture.events.after(1ms, [&] {
            fixture.start(cancelled, get("/cancelled"));
            cancelled.exchange.reset();
            fixture.start(next, get("/next"));
            done = true;
        });
        REQUIRE(fixture.wait([&] { return done; }));
        CHECK(connection.receive_all(fixture.events));
        auto other = fixture.listener.accept(fixture.events);
        REQUIRE(other.receive_until(fixture.events, "/next"));
        other.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        REQUIRE(fixture.wait([&] { return next.ended; }));
        CHECK(next.status == 200);
        CHECK_FALSE(cancelled.ended);
    }
    ::mallopt(M_PERTURB, 0);
}

// Guards against connections that stay open when their call has been cancelled while the peer does not read.
TEST_CASE("a call that is cancelled while the write of its request is blocked closes its connection") {
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.method = "POST";
    request.body.assign(std::size_t{32} << 20U, 'x');
    fixture.start(call, request);
    auto peer = fixture.listener.accept(fixture.events);
    fixture.events.run_until([] { return false; }, 50ms);
    call.exchange.reset();
    (void)peer.receive_all(fixture.events);
    CHECK(peer.received.size() < request.body.size());
    CHECK_FALSE(call.ended);
}

namespace {

/// Blocks the loop in a callback of a socket, that is between a poll and the timers of the same iteration.
void block_loop(client_fixture& fixture, duration time, const std::function<void()>& before) {
    bool done = false;
    auto server =
        http_server::create(fixture.events, {{"127.0.0.1", 0}},
                            [&](const http_request&, const std::shared_ptr<http_response>& response) {
                                before();
                                std::this_thread::sleep_for(time);
                                response->send(200, {}, "");
                                done = true;
                            });
    REQUIRE(server);
    recorded_call trigger;
    http_call request;
    request.peer = (*server)->local_address();
    fixture.start(trigger, request);
    REQUIRE(fixture.wait([&] { return done; }));
    fixture.expect_end(trigger);
}

} // namespace

TEST_CASE("a connection that is open in time is used although the loop is late to look at it") {
    // Guards against the delay of this process counting as its peer's.
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.connect_timeout = 30ms;
    block_loop(fixture, 80ms, [&] { fixture.start(call, request); });
    INFO((call.failure ? to_string(*call.failure) : ""));
    CHECK_FALSE(call.ended);
    auto peer = fixture.listener.accept(fixture.events);
    CHECK(peer.receive_until(fixture.events, "\r\n\r\n"));
}

TEST_CASE("an answer that has come in time is read although the loop is late to look at it") {
    // Guards against the delay of this process counting as its peer's.
    client_fixture fixture;
    recorded_call call;
    http_call request;
    request.timeout = 150ms;
    fixture.start(call, request);
    auto peer = fixture.listener.accept(fixture.events);
    REQUIRE(peer.receive_until(fixture.events, "\r\n\r\n"));
    block_loop(fixture, 200ms,
               [&] { peer.send(fixture.events, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); });
    fixture.expect_end(call);
    INFO((call.failure ? to_string(*call.failure) : ""));
    CHECK_FALSE(call.failure);
    CHECK(call.body == "ok");
}

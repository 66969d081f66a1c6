#include "samphiretray/net/http_server.h"

#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>

using namespace samphiretray;
using namespace samphiretray::net;
using samphiretray::net::testing::hang_limit;
using samphiretray::net::testing::raw_socket;

namespace {

/// A server on a free loopback port that records the requests and responses passed to its handler.
struct server_fixture {
    loop events;
    std::vector<http_request> requests;
    std::vector<std::shared_ptr<http_response>> responses;
    std::function<void(http_response&)> respond;
    std::unique_ptr<http_server> server = make({{"127.0.0.1", 0}, 1U << 20U, 60s, "", ""});

    std::unique_ptr<http_server> make(http_server_options options) {
        auto created =
            http_server::create(events, std::move(options),
                                [this](http_request request, const std::shared_ptr<http_response>& response) {
                                    requests.push_back(std::move(request));
                                    responses.push_back(response);
                                    if (respond) {
                                        respond(*response);
                                    }
                                });
        REQUIRE(created);
        return std::move(created).value();
    }

    raw_socket connect() { return raw_socket::connect(server->local_address()); }
    bool wait(const std::function<bool()>& done) { return events.run_until(done, hang_limit); }
    bool wait_for_request() {
        return wait([this] { return !responses.empty(); });
    }
};

} // namespace

TEST_CASE("the handler receives the complete request and the client the complete response") {
    server_fixture fixture;
    fixture.respond = [](http_response& response) { response.send(200, {{"X-A", "1"}}, "hello"); };
    auto client = fixture.connect();
    client.send(fixture.events,
                "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-B: 2\r\nContent-Length: 3\r\n\r\nxyz");
    REQUIRE(client.receive_until(fixture.events, "hello"));
    CHECK(client.received.rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
    CHECK(client.received.find("x-a: 1\r\n") != std::string::npos);
    CHECK(client.received.find("Content-Length: 5\r\n") != std::string::npos);
    const http_request& request = fixture.requests.at(0);
    CHECK(request.method == "POST");
    CHECK(request.path == "/a/b");
    CHECK(request.query == "c=d");
    CHECK(request.body == "xyz");
    CHECK(request.peer == "127.0.0.1");
    CHECK(find_header(request.headers, "x-b") == "2");
    CHECK(find_header(request.headers, "host") == "h");
}

TEST_CASE("pipelined requests are answered in order") {
    server_fixture fixture;
    fixture.respond = [&](http_response& response) {
        response.send(200, {}, "n" + std::to_string(fixture.requests.size()) + ";");
    };
    auto client = fixture.connect();
    client.send(fixture.events, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(client.receive_until(fixture.events, "n2;"));
    CHECK(client.received.find("n1;") < client.received.find("n2;"));
    CHECK(fixture.server->open_connections() == 1);
}

TEST_CASE("a streamed response arrives incrementally and ends with the terminating chunk") {
    server_fixture fixture;
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    const auto response = fixture.responses[0];
    response->start(200, {{"content-type", "text/event-stream"}});
    REQUIRE(client.receive_until(fixture.events, "\r\n\r\n"));
    response->write("first");
    REQUIRE(client.receive_until(fixture.events, "first"));
    response->write("second");
    response->finish();
    REQUIRE(client.receive_until(fixture.events, "\r\n0\r\n\r\n"));
    CHECK_FALSE(response->is_open());
}

TEST_CASE("an aborted chunked response delivers the data written before and no terminating chunk") {
    server_fixture fixture;
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    fixture.responses[0]->start(200, {});
    fixture.responses[0]->write("event: error\n\n");
    fixture.responses[0]->abort();
    client.receive_all(fixture.events);
    CHECK(client.received.find("event: error") != std::string::npos);
    CHECK(client.received.find("\r\n0\r\n") == std::string::npos);
    CHECK(fixture.wait([&] { return fixture.server->open_connections() == 0; }));
}

// Guards against the text of a refusal in the middle of a stream that had begun, which then looked complete.
TEST_CASE(
    "a whole response that is sent after another one has begun aborts the latter and adds nothing to it") {
    server_fixture fixture;
    fixture.respond = [](http_response& response) {
        response.start(200, {});
        response.write("begun");
        response.send(503, {{"x-late", "1"}}, "refused");
    };
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    (void)client.receive_all(fixture.events);
    CHECK(client.received.find("begun") != std::string::npos);
    CHECK(client.received.find("refused") == std::string::npos);
    CHECK(client.received.find("x-late") == std::string::npos);
    CHECK_FALSE(client.received.ends_with("0\r\n\r\n"));
}

TEST_CASE("an aborted HTTP/1.0 response ends with a connection reset, because a close would complete it") {
    server_fixture fixture;
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.0\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    fixture.responses[0]->start(200, {});
    fixture.responses[0]->write("part");
    REQUIRE(client.receive_until(fixture.events, "part"));
    fixture.responses[0]->abort();
    CHECK_FALSE(client.receive_all(fixture.events));
}

TEST_CASE("the connection is closed after a response shorter than its Content-Length") {
    server_fixture fixture;
    fixture.respond = [](http_response& response) {
        response.start(200, {{"content-length", "10"}});
        response.write("12345");
        response.finish();
    };
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    client.receive_all(fixture.events);
    CHECK(client.received.find("Content-Length: 10") != std::string::npos);
    CHECK(fixture.wait([&] { return fixture.server->open_connections() == 0; }));
}

TEST_CASE("a response aborted before its start sends nothing") {
    server_fixture fixture;
    fixture.respond = [](http_response& response) { response.abort(); };
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    client.receive_all(fixture.events);
    CHECK(client.received.empty());
}

TEST_CASE("a client disconnect is detected before and after the start of the response") {
    const bool started = GENERATE(false, true);
    const bool by_reset = GENERATE(false, true);
    const bool after_next_request = GENERATE(false, true);
    CAPTURE(started, by_reset, after_next_request);
    server_fixture fixture;
    bool closed = false;
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    const auto response = fixture.responses[0];
    response->on_closed([&] { closed = true; });
    if (started) {
        response->start(200, {});
        response->write("part");
        REQUIRE(client.receive_until(fixture.events, "part"));
    }
    if (after_next_request) {
        client.send(fixture.events, "GET /next HTTP/1.1\r\n");
    }
    by_reset ? client.reset() : client.close();
    REQUIRE(fixture.wait([&] { return closed; }));
    CHECK_FALSE(response->is_open());
    response->write("ignored");
    response->finish();
    CHECK(fixture.wait([&] { return fixture.server->open_connections() == 0; }));
}

// Guards against work for callers that have left while their request waited to be read (GONE).
TEST_CASE("a request whose client has disconnected before it is read is not handled") {
    server_fixture fixture;
    auto other = fixture.connect();
    {
        auto client = fixture.connect();
        // The loop does not run meanwhile, so that the request and the close wait together.
        client.send_now("POST /gone HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
        client.close();
    }
    other.send(fixture.events, "GET /here HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    REQUIRE(fixture.wait([&] { return fixture.server->open_connections() == 1; }));
    CHECK(std::ranges::none_of(fixture.requests, [](const auto& each) { return each.path == "/gone"; }));
}

TEST_CASE("a large response to a slow client is buffered and arrives completely") {
    server_fixture fixture;
    const std::string body(8U << 20U, 'x');
    fixture.respond = [&](http_response& response) { response.send(200, {}, body); };
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(client.receive_all(fixture.events));
    CHECK(client.received.size() - client.received.find("\r\n\r\n") - 4 == body.size());
}

TEST_CASE("on_drained runs when a slow client has read all written bytes") {
    server_fixture fixture;
    std::size_t drained = 0;
    fixture.respond = [&](http_response& started) {
        started.on_drained([&] { ++drained; });
        started.start(200, {});
        // The end marker shares no letters with the data, because the client searches for it after each read.
        started.write(std::string(8U << 20U, 'x') + "end");
    };
    auto client = fixture.connect();
    client.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    fixture.events.run_until([] { return false; }, 20ms);
    CHECK(drained == 0);
    const auto response = fixture.responses.back();
    CHECK(response->buffered_bytes() > 0);
    REQUIRE(client.receive_until(fixture.events, "end"));
    REQUIRE(fixture.wait([&] { return drained == 1; }));
    CHECK(response->buffered_bytes() == 0);
    response->finish();
}

TEST_CASE("malformed requests are rejected with 400") {
    server_fixture fixture;
    auto client = fixture.connect();
    client.send(fixture.events, "this is not HTTP\r\n\r\n");
    client.receive_all(fixture.events);
    CHECK(client.received.rfind("HTTP/1.1 400", 0) == 0);
    CHECK(fixture.requests.empty());
}

TEST_CASE("an oversized body is rejected with 413 even if the client keeps sending it") {
    const bool chunked = GENERATE(false, true);
    server_fixture fixture;
    auto client = fixture.connect();
    const std::string part(1U << 20U, 'x');
    if (chunked) {
        client.send(fixture.events, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
        client.send(fixture.events, "200000\r\n");
    } else {
        client.send(fixture.events, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2097152\r\n\r\n");
    }
    client.send(fixture.events, part);
    client.send(fixture.events, part);
    CHECK(client.receive_all(fixture.events));
    CHECK(client.received.rfind("HTTP/1.1 413", 0) == 0);
    CHECK(fixture.server->refused_requests() == 1);
    CHECK(fixture.requests.empty());
}

TEST_CASE("the response to HEAD has headers and no body") {
    server_fixture fixture;
    fixture.respond = [](http_response& response) { response.send(200, {}, "hello"); };
    auto client = fixture.connect();
    client.send(fixture.events, "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    CHECK(client.receive_all(fixture.events));
    CHECK(client.received.find("Content-Length: 5") != std::string::npos);
    CHECK(client.received.find("hello") == std::string::npos);
}

TEST_CASE("a graceful shutdown finishes requests in progress and closes idle connections") {
    server_fixture fixture;
    auto idle = fixture.connect();
    auto busy = fixture.connect();
    busy.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    fixture.server->begin_graceful_shutdown();
    CHECK(idle.receive_all(fixture.events));
    fixture.responses[0]->send(200, {}, "done");
    CHECK(busy.receive_all(fixture.events));
    CHECK(busy.received.find("Connection: close") != std::string::npos);
    CHECK(busy.received.find("done") != std::string::npos);
}

TEST_CASE("an idle connection is closed after the idle timeout") {
    server_fixture fixture;
    fixture.server = fixture.make({{"127.0.0.1", 0}, 1000, 20ms, "", ""});
    auto client = fixture.connect();
    client.receive_all(fixture.events);
    CHECK(fixture.wait([&] { return fixture.server->open_connections() == 0; }));
}

TEST_CASE("changes of the idle timeout apply to connections that are already open") {
    // Guards against closing a connection within the longer keep-alive time that its client may rely on.
    server_fixture fixture;
    fixture.server = fixture.make({{"127.0.0.1", 0}, 1000, 50ms, "", ""});
    auto client = fixture.connect();
    REQUIRE(fixture.wait([&] { return fixture.server->open_connections() == 1; }));
    fixture.server->set_limits(1000, 60s);
    (void)fixture.events.run_until([] { return false; }, 200ms);
    CHECK(fixture.server->open_connections() == 1);
    fixture.server->set_limits(1000, 20ms);
    CHECK(fixture.wait([&] { return fixture.server->open_connections() == 0; }));
}

TEST_CASE("a smaller body limit applies from the next request on") {
    server_fixture fixture;
    fixture.server->set_limits(4, 60s);
    auto client = fixture.connect();
    client.send(fixture.events, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde");
    client.receive_all(fixture.events);
    CHECK(client.received.starts_with("HTTP/1.1 413"));
    CHECK(fixture.requests.empty());
}

TEST_CASE("destroying a server closes idle connections and those with a request in progress") {
    server_fixture fixture;
    bool closed = false;
    auto idle = fixture.connect();
    auto busy = fixture.connect();
    busy.send(fixture.events, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.wait_for_request());
    fixture.responses[0]->on_closed([&] { closed = true; });
    fixture.server.reset();
    idle.receive_all(fixture.events);
    busy.receive_all(fixture.events);
    CHECK(closed);
    CHECK(busy.received.empty());
}

// Guards against an abort at the end of a graceful shutdown: h2o's shutdown timer was still armed when its
// context was disposed of.
TEST_CASE("a server can be destroyed right after its graceful shutdown has begun") {
    server_fixture fixture;
    auto idle = fixture.connect();
    REQUIRE(fixture.wait([&] { return fixture.server->open_connections() == 1; }));
    fixture.server->begin_graceful_shutdown();
    fixture.server.reset();
    CHECK(idle.receive_all(fixture.events));
}

TEST_CASE("listening on an address in use fails") {
    server_fixture fixture;
    const auto second = http_server::create(fixture.events, {fixture.server->local_address()}, {});
    REQUIRE_FALSE(second);
    CHECK(second.error().code == errc::connection_failed);
}

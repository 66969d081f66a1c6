#include "samphiretray/base/split.h"
#include "samphiretray/gateway/entry_gateway-inl.h"

#include "platform/request_binding.h"
#include "tests/platform/fake_engine.h"
#include "tests/support/raw_socket.h"

using namespace samphiretray;
using namespace samphiretray::platform;
using platform::testing::any_port;
using platform::testing::fake_engine;
using platform::testing::hang_limit;

namespace {

/// A store that never answers: what an entry knows is given to it by the test.
struct silent_store {
    void list(const std::string&, const ports::completion<ports::store_listing>&) {}
    void watch(const std::string&, std::uint64_t, duration, const ports::completion<ports::store_changes>&) {}
    void grant_lease(duration, const ports::completion<std::uint64_t>&) {}
    void renew_lease(std::uint64_t, const ports::completion<std::uint64_t>&) {}
    void put(const std::string&, const std::string&, std::uint64_t, const ports::completion<std::uint64_t>&) {
    }
};

using responder = std::function<void(const net::http_request&, std::shared_ptr<net::http_response>)>;

net::http_header attempt_header(const net::http_request& request) {
    return {"x-samphiretray-attempt-id",
            std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}};
}

net::http_headers signed_headers(const net::http_request& request) {
    return {attempt_header(request), {"x-samphiretray-server-seal", "seal"}};
}

void send_signed(const net::http_request& request, const std::shared_ptr<net::http_response>& response,
                 int status = 200, std::string_view body = "whole") {
    response->send(status, signed_headers(request), body);
}

void send_not_run(const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
    response->send(503, {attempt_header(request), {"x-samphiretray-not-executed", "1"}}, "");
}

/// An answer as a server writes it on its connection.
std::string answer_bytes(const std::string& attempt, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Samphiretray-Attempt-Id: " + attempt +
           "\r\nX-Samphiretray-Server-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// An entry with two plain servers. Routes: /s/ safe, /u/ at most once, /p/ public.
struct entry_with_servers {
    net::loop events;
    silent_store store;
    std::unique_ptr<net::http_client> client = net::http_client::create(events);
    std::unique_ptr<gateway::entry_gateway<request_binding, silent_store>> entry;
    std::vector<std::unique_ptr<net::http_server>> servers;
    std::vector<std::vector<net::http_request>> seen{2};
    std::vector<responder> responders;
    net::address listen;
    net::address ready;
    std::vector<std::unique_ptr<net::http_exchange>> calls;

    entry_with_servers() {
        const responder whole = [](const auto& request, const auto& response) {
            send_signed(request, response);
        };
        responders = {whole, whole};
        for (std::size_t i = 0; i < 2; ++i) {
            auto created = net::http_server::create(
                events, {{"127.0.0.1", 0}},
                [this, i](net::http_request request, std::shared_ptr<net::http_response> response) {
                    seen[i].push_back(request);
                    responders[i](request, std::move(response));
                });
            REQUIRE(created);
            servers.push_back(std::move(*created));
        }
        gateway::gateway_settings settings;
        settings.node.vm = "entry-1";
        settings.node.data_centre = "north-a";
        settings.listen = any_port;
        settings.ready_listen = any_port;
        settings.control_listen = any_port;
        settings.agent_port = agent_port();
        entry =
            std::make_unique<gateway::entry_gateway<request_binding, silent_store>>(events, settings, store);
        REQUIRE(entry->start());
        listen = entry->listen_address();
        ready = entry->ready_address();
    }

    /// The first server also stands in for the agents of engines.
    [[nodiscard]] std::uint16_t agent_port() const { return servers[0]->local_address().port; }

    static gateway::route make_route(std::string prefix, gateway::call_kind kind, bool is_public = false) {
        gateway::route made;
        made.name = prefix;
        made.host = "a.example";
        made.prefix = std::move(prefix);
        made.kind = kind;
        made.services = {{"orders", 1}};
        made.timeout = 2s;
        made.max_attempts = 2;
        made.is_public = is_public;
        return made;
    }

    static gateway::route make_resumable() {
        gateway::route made = make_route("/r/", gateway::call_kind::streaming);
        made.resumable = true;
        return made;
    }

    static gateway::routing_state make_state(std::uint64_t version, const std::string& key = "key") {
        gateway::routing_state state;
        state.version = version;
        state.routes = {make_route("/s/", gateway::call_kind::safe),
                        make_route("/u/", gateway::call_kind::at_most_once),
                        make_route("/e/", gateway::call_kind::streaming),
                        make_route("/p/", gateway::call_kind::safe, true), make_resumable()};
        state.services = {{"orders", std::nullopt}};
        state.organisations = {{"coop", {sha256_hex(key)}, std::nullopt, 0, 0, 1}};
        return state;
    }

    void know_server(std::size_t i, bool draining = false) {
        gateway::endpoint server;
        server.id = "i-" + std::to_string(i);
        server.service = "orders";
        server.at = servers[i]->local_address();
        server.data_centre = i == 0 ? "north-a" : "south-a";
        server.slots = 6;
        server.draining = draining;
        entry->update_endpoint(server);
    }

    void know_all() {
        entry->apply(make_state(3));
        know_server(0);
        know_server(1);
        entry->endpoints_complete();
    }

    std::optional<result<net::http_answer>> outcome;

    const result<net::http_answer>& ask(const std::string& path, net::http_headers more = {},
                                        const std::string& key = "key", std::string body = "order") {
        begin(path, std::move(more), key, std::move(body));
        return finished();
    }

    const result<net::http_answer>& finished() {
        REQUIRE(events.run_until([&] { return outcome.has_value(); }, hang_limit));
        return *outcome;
    }

    void begin(const std::string& path, net::http_headers more = {}, const std::string& key = "key",
               std::string body = "order", const std::string& attempt = "attempt-1") {
        outcome.reset();
        net::http_call call;
        call.peer = listen;
        call.method = "POST";
        call.target = path;
        call.body = std::move(body);
        call.headers = {{"host", "a.example"},
                        {"x-samphiretray-attempt-id", attempt},
                        {"x-samphiretray-credential", key}};
        if (net::find_header(more, "x-samphiretray-deadline-ms").empty()) {
            call.headers.push_back({"x-samphiretray-deadline-ms", "1500"});
        }
        call.headers.insert(call.headers.end(), more.begin(), more.end());
        call.timeout = 15s;
        calls.push_back(client->fetch(std::move(call), [this](result<net::http_answer> answer) {
            outcome.emplace(std::move(answer));
        }));
    }

    /// Sends `count` requests at once; `on_answer` is called for each.
    void begin_many(std::size_t count, const std::string& path,
                    const std::function<void(const result<net::http_answer>&)>& on_answer) {
        for (std::size_t i = 0; i < count; ++i) {
            net::http_call call;
            call.peer = listen;
            call.method = "POST";
            call.target = path;
            call.timeout = 15s;
            call.headers = {{"host", "a.example"},
                            {"x-samphiretray-attempt-id", "many-" + std::to_string(i)},
                            {"x-samphiretray-credential", "key"}};
            calls.push_back(client->fetch(std::move(call), on_answer));
        }
    }

    /// Both servers are known, and streams may take `timeout` with pauses of `silence`.
    void know_streams(duration timeout, duration silence) {
        auto state = make_state(3);
        for (gateway::route& each : state.routes) {
            each.timeout = timeout;
            each.longest_silence = silence;
        }
        entry->apply(std::move(state));
        know_server(0);
        know_server(1);
        entry->endpoints_complete();
    }

    [[nodiscard]] std::size_t arrivals() const { return seen[0].size() + seen[1].size(); }
};

int status_of(const result<net::http_answer>& answer) {
    REQUIRE(answer);
    return answer->status;
}

} // namespace

TEST_CASE("an answer comes back whole, and the server sees the organisation instead of the key") {
    entry_with_servers all;
    all.know_all();
    const auto& answer = all.ask("/u/1?x=1&y=");
    CHECK(status_of(answer) == 200);
    CHECK(answer->body == "whole");
    CHECK(net::find_header(answer->headers, "x-samphiretray-server-seal") == "seal");
    REQUIRE(all.seen[0].size() == 1);
    const net::http_request& arrived = all.seen[0][0];
    CHECK(arrived.target == "/u/1?x=1&y=");
    CHECK(arrived.body == "order");
    CHECK(net::find_header(arrived.headers, "x-samphiretray-credential").empty());
    CHECK(net::find_header(arrived.headers, "x-samphiretray-tenant") == "coop");
    CHECK(net::find_header(arrived.headers, "x-samphiretray-expect-instance") == "i-0");
}

TEST_CASE("an entry without a configuration refuses as not run and is not ready") {
    entry_with_servers all;
    CHECK(status_of(all.ask("/u/1")) == 503);
    // Callers come back once; at once they would meet the same outage.
    CHECK(net::find_header(all.outcome->value().headers, "retry-after") == "1.000");
}

TEST_CASE("the configured limit for bodies is in force with its configuration") {
    entry_with_servers all;
    all.know_all();
    CHECK(status_of(all.ask("/u/1")) == 200);
    gateway::routing_state state = entry_with_servers::make_state(4);
    state.limits.max_body_bytes = 2;
    all.entry->apply(state);
    CHECK(status_of(all.ask("/u/1")) == 413);
}

TEST_CASE("unknown routes and keys are refused, and a removed key stops with its configuration") {
    entry_with_servers all;
    all.know_all();
    CHECK(status_of(all.ask("/x/1")) == 404);
    CHECK(status_of(all.ask("/u/1", {}, "other")) == 401);
    CHECK(status_of(all.ask("/p/1", {}, "")) == 200);
    all.entry->apply(entry_with_servers::make_state(4, "new"));
    CHECK(status_of(all.ask("/u/1")) == 401);
    CHECK(status_of(all.ask("/u/1", {}, "new")) == 200);
}

TEST_CASE("an older configuration never comes back into force") {
    entry_with_servers all;
    all.know_all();
    all.entry->apply(entry_with_servers::make_state(9, "new"));
    all.entry->apply(entry_with_servers::make_state(4, "key"));
    CHECK(status_of(all.ask("/u/1")) == 401);
}

TEST_CASE("a call that runs at most once is not repeated when its outcome is unknown") {
    entry_with_servers all;
    all.know_all();
    all.responders[0] = [](const auto&, const auto& response) { response->abort(); };
    CHECK(status_of(all.ask("/u/1")) == 502);
    CHECK(all.arrivals() == 1);
}

TEST_CASE("a call that the server says has not run goes to another one") {
    entry_with_servers all;
    all.know_all();
    all.responders[0] = send_not_run;
    CHECK(status_of(all.ask("/u/1")) == 200);
    CHECK(all.seen[1].size() == 1);
}

TEST_CASE("a refusal says not run only if that is so") {
    entry_with_servers all;
    all.know_all();
    all.responders = {send_not_run, send_not_run};
    CHECK(status_of(all.ask("/u/1")) == 503);
    all.responders[1] = [](const auto&, const auto& response) { response->abort(); };
    CHECK(status_of(all.ask("/u/1")) == 502);
}

TEST_CASE("a call that may have run is not refused as not run when no other server is left") {
    // Found by the soak, seed 201.
    entry_with_servers all;
    all.entry->apply(entry_with_servers::make_state(3));
    all.know_server(0);
    all.responders[0] = [](const auto&, const auto& response) { response->abort(); };
    CHECK(status_of(all.ask("/s/1")) == 502);
}

TEST_CASE("a safe call is repeated after a cut answer, which never reaches the caller") {
    entry_with_servers all;
    all.know_all();
    all.responders[0] = [](const net::http_request& request,
                           const std::shared_ptr<net::http_response>& response) {
        response->start(200, {{"content-length", "100"},
                              {"x-samphiretray-attempt-id",
                               std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
                              {"x-samphiretray-server-seal", "seal"}});
        response->write("half");
        response->abort();
    };
    const auto& answer = all.ask("/s/1");
    CHECK(status_of(answer) == 200);
    CHECK(answer->body == "whole");
}

TEST_CASE("a safe call leaves a server that fails, and the failure is passed on when all do") {
    entry_with_servers all;
    all.know_all();
    const responder fails = [](const auto& request, const auto& response) {
        send_signed(request, response, 500, "broken");
    };
    all.responders[0] = fails;
    CHECK(status_of(all.ask("/s/1")) == 200);
    all.responders[1] = fails;
    const auto& answer = all.ask("/s/1");
    CHECK(status_of(answer) == 500);
    CHECK(answer->body == "broken");
}

TEST_CASE("an answer to another request, an unsigned one and an encoded one are not passed on") {
    entry_with_servers all;
    all.know_all();
    const auto check = [&all](net::http_headers headers) {
        all.responders[0] = all.responders[1] = [headers](const auto&, const auto& response) {
            response->send(200, headers, "x");
        };
        CHECK(status_of(all.ask("/u/1")) == 502);
    };
    check({{"x-samphiretray-attempt-id", "other"}, {"x-samphiretray-server-seal", "seal"}});
    check({{"x-samphiretray-attempt-id", "attempt-1"}});
    check({{"x-samphiretray-server-seal", "seal"}});
    check({{"x-samphiretray-not-executed", "1"}});
    check({{"x-samphiretray-attempt-id", "other"}, {"x-samphiretray-not-executed", "1"}});
    check({{"x-samphiretray-attempt-id", "attempt-1"},
           {"x-samphiretray-server-seal", "seal"},
           {"content-encoding", "gzip"}});
}

TEST_CASE("a late copy of an earlier answer ends its connection, and the next caller gets its own answer") {
    // Pattern: a server answers twice, and the copy comes when the connection is in use again.
    entry_with_servers all;
    net::testing::raw_listener server;
    all.entry->apply(entry_with_servers::make_state(3));
    all.entry->update_endpoint({"i-raw", "orders", server.local_address(), "north-a", 6, false, 1, {}});
    all.entry->endpoints_complete();
    all.begin("/u/1", {}, "key", "one", "a1");
    auto first = server.accept(all.events);
    REQUIRE(first.receive_until(all.events, "one"));
    first.send(all.events, answer_bytes("a1", "answer one"));
    CHECK(all.finished()->body == "answer one");
    all.begin("/u/1", {}, "key", "two", "a2");
    REQUIRE(first.receive_until(all.events, "two"));
    first.send(all.events, answer_bytes("a1", "answer one"));
    // It may have run, and is not sent again.
    CHECK(all.finished()->status == 502);
    all.begin("/u/1", {}, "key", "three", "a3");
    auto second = server.accept(all.events);
    REQUIRE(second.receive_until(all.events, "three"));
    second.send(all.events, answer_bytes("a3", "answer three"));
    CHECK(all.finished()->body == "answer three");
}

TEST_CASE("an answer without end is given up before it fills the memory, and others are served meanwhile") {
    // Pattern: servers in trouble that send body bytes until their caller closes.
    entry_with_servers all;
    all.know_all();
    std::size_t left = 0;
    std::vector<net::timer_handle> writers;
    all.responders[0] = all.responders[1] = [&](const auto& request, const auto& response) {
        if (request.path == "/p/1") {
            send_signed(request, response);
            return;
        }
        response->start(200, signed_headers(request));
        response->on_closed([&left] { ++left; });
        writers.push_back(all.events.every(1ms, [response] {
            while (response->is_open() && response->buffered_bytes() < (1U << 20U)) {
                response->write(std::string(1U << 16U, 'x'));
            }
        }));
    };
    std::size_t answered = 0;
    all.begin_many(20, "/u/1", [&](const result<net::http_answer>& answer) {
        answered += answer && answer->status == 502 ? 1 : 0;
    });
    CHECK(status_of(all.ask("/p/1")) == 200);
    // Well before their route's time of two seconds.
    CHECK(all.events.run_until([&] { return answered == 20 && left == 20; }, 1500ms));
}

TEST_CASE("a resumable stream that breaks midway goes on at another endpoint behind its last whole event") {
    entry_with_servers all;
    all.know_all();
    all.responders[0] = [](const auto& request, const auto& response) {
        auto headers = signed_headers(request);
        headers.push_back({"x-run", "first"});
        response->start(200, headers);
        response->write("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        response->abort();
    };
    all.responders[1] = [](const auto& request, const auto& response) {
        CHECK(net::find_header(request.headers, "last-event-id") == "2");
        response->start(200, signed_headers(request));
        response->write("id: 3\ndata: c\n\n");
        response->finish();
    };
    const auto& answer = all.ask("/r/1", {{"last-event-id", "0"}});
    REQUIRE(answer);
    CHECK(answer->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    CHECK(net::find_header(answer->headers, "x-run") == "first");
    CHECK(all.arrivals() == 2);
}

TEST_CASE("when an engine is lost, its resumable streams are finished by others as far as the budget goes") {
    // Pattern: one of two engines goes with 100 resumable streams in their middle.
    entry_with_servers all;
    all.know_streams(10s, 4s);
    std::vector<std::shared_ptr<net::http_response>> at_first;
    std::vector<std::shared_ptr<net::http_response>> at_second;
    std::size_t resumed = 0;
    const auto begin_stream = [](const auto& request, const auto& response) {
        response->start(200, signed_headers(request));
        response->write("id: 1\n\n");
    };
    all.responders[0] = [&](const auto& request, const auto& response) {
        begin_stream(request, response);
        at_first.push_back(response);
    };
    all.responders[1] = [&](const auto& request, const auto& response) {
        if (net::find_header(request.headers, "last-event-id").empty()) {
            begin_stream(request, response);
            at_second.push_back(response);
            return;
        }
        ++resumed;
        response->start(200, signed_headers(request));
        response->write("id: 2\n\n");
        response->finish();
    };
    std::size_t whole = 0;
    std::size_t broken = 0;
    all.begin_many(100, "/r/1", [&](const result<net::http_answer>& answer) {
        const bool is_whole = answer && answer->body == "id: 1\n\nid: 2\n\n";
        (is_whole ? whole : broken) += 1;
    });
    REQUIRE(all.events.run_until([&] { return at_first.size() + at_second.size() == 100; }, hang_limit));
    const std::size_t lost = at_first.size();
    for (const auto& each : at_first) {
        each->abort();
    }
    REQUIRE(all.events.run_until([&] { return whole + broken == lost; }, hang_limit));
    INFO(lost << " lost, " << whole << " finished");
    CHECK(whole == resumed);
    // Five are the entry's part of the floor, and five have been saved up by the requests.
    CHECK(whole == 10);
}

TEST_CASE("a stream that says nothing whole is ended, and a slow one with events runs on") {
    // Pattern: stalled engines that send a byte or a comment now and then, beside slow but sound ones.
    entry_with_servers all;
    all.know_streams(10s, 400ms);
    const std::string part = GENERATE(std::string{"x"}, std::string{":\n\n"}, std::string{"id: 9\n\n"});
    const bool is_sound = part.starts_with("id");
    INFO(part);
    net::timer_handle writer;
    int parts = 0;
    bool left = false;
    all.responders[0] = [&](const auto& request, const auto& response) {
        response->start(200, signed_headers(request));
        response->write("id: 1\n\n");
        response->on_closed([&left] { left = true; });
        writer = all.events.every(200ms, [&parts, part, response] {
            if (++parts <= 6) {
                response->write(part);
            } else {
                response->finish();
            }
        });
    };
    const auto& answer = all.ask("/e/1", {{"x-samphiretray-deadline-ms", "8000"}});
    CHECK(answer.has_value() == is_sound);
    CHECK((parts > 6) == is_sound);
    all.events.run_until([&] { return left; }, 100ms);
    CHECK(left == !is_sound);
}

TEST_CASE("a stalled resumable stream goes on elsewhere before its caller leaves") {
    entry_with_servers all;
    all.know_streams(10s, 600ms);
    bool left = false;
    std::shared_ptr<net::http_response> silent;
    all.responders[0] = [&](const auto& request, const auto& response) {
        response->start(200, signed_headers(request));
        response->write("id: 1\n\n");
        response->on_closed([&left] { left = true; });
        silent = response;
    };
    all.responders[1] = [&](const auto& request, const auto& response) {
        response->start(200, signed_headers(request));
        response->write("id: 2\n\n");
        response->finish();
    };
    const auto& answer = all.ask("/r/1");
    REQUIRE(answer);
    CHECK(answer->body == "id: 1\n\nid: 2\n\n");
    CHECK(all.events.run_until([&] { return left; }, hang_limit));
}

TEST_CASE("a caller that reads slowly slows its stream down instead of filling the entry's memory") {
    entry_with_servers all;
    all.know_all();
    std::size_t written = 0;
    net::timer_handle writer;
    all.responders[0] = [&](const auto& request, const auto& response) {
        response->start(200, signed_headers(request));
        writer = all.events.every(1ms, [&written, response] {
            while (response->is_open() && response->buffered_bytes() < (1U << 20U)) {
                response->write("id: 1\ndata: " + std::string(10'000, 'x') + "\n\n");
                written += 10'000;
            }
        });
    };
    auto caller = net::testing::raw_socket::connect(all.listen);
    caller.send(all.events, "POST /e/1 HTTP/1.1\r\nHost: a.example\r\nX-Samphiretray-Attempt-Id: a\r\n"
                            "X-Samphiretray-Credential: key\r\nContent-Length: 0\r\n\r\n");
    all.events.run_until([] { return false; }, 1s);
    CHECK(written > 0);
    // What the kernel's buffers of two connections on loopback take, and the megabyte of the server itself.
    CHECK(written < 24U << 20U);
}

TEST_CASE(
    "callers that still wait at the end of a planned stop get a true answer instead of a closed connection") {
    entry_with_servers all;
    all.know_all();
    std::shared_ptr<net::http_response> running;
    all.responders[0] = [&](const auto&, const auto& response) { running = response; };
    gateway::gateway_settings settings;
    settings.node.drain_limit = 1200ms;
    settings.drain_notice = 100ms;
    all.entry->reload(settings);
    all.begin("/u/1", {{"x-samphiretray-deadline-ms", "9000"}});
    REQUIRE(all.events.run_until([&] { return running != nullptr; }, hang_limit));
    all.entry->drain();
    // The loop ends with the stop.
    all.events.run();
    all.events.run_until([&] { return all.outcome.has_value(); }, 100ms);
    REQUIRE(all.outcome);
    CHECK(status_of(*all.outcome) == 502);
}

TEST_CASE("a stream that breaks off does not look complete") {
    entry_with_servers all;
    all.know_all();
    all.responders[0] = [](const auto& request, const auto& response) {
        response->start(200, {{"x-samphiretray-attempt-id",
                               std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}},
                              {"x-samphiretray-server-seal", "seal"}});
        response->write("id: 1\n\n");
        response->abort();
    };
    CHECK_FALSE(all.ask("/e/1"));
    CHECK(all.arrivals() == 1);
}

TEST_CASE(
    "a resumable stream starts anew elsewhere while nothing of it has reached the caller, another does not") {
    entry_with_servers all;
    all.know_all();
    all.responders[0] = [](const auto&, const auto& response) { response->abort(); };
    CHECK(status_of(all.ask("/r/1")) == 200);
    CHECK(all.arrivals() == 2);
    CHECK(status_of(all.ask("/e/1")) == 502);
    CHECK(all.arrivals() == 3);
}

TEST_CASE("records of engines from before a loss of power do not use up the attempts of a request") {
    // Pattern: power lost everywhere. Discovery lists each engine twice for a second, and requests that had
    // met five records of the past were refused although the engines were back.
    entry_with_servers all;
    auto state = entry_with_servers::make_state(3);
    state.services = {{"orders", gateway::engine_capacity{8, 100'000, 2, {"m0"}}}};
    all.entry->apply(state);
    gateway::endpoint engine;
    engine.service = "orders";
    engine.at = all.servers[0]->local_address();
    engine.data_centre = "north-a";
    engine.slots = 8;
    for (int i = 0; i < 7; ++i) {
        engine.id = "i-old-" + std::to_string(i);
        engine.started_at = 1;
        all.entry->update_endpoint(engine);
    }
    engine.id = "i-new";
    engine.started_at = 2;
    engine.data_centre = "south-a";
    all.entry->update_endpoint(engine);
    all.responders[0] = [](const net::http_request& request,
                           const std::shared_ptr<net::http_response>& response) {
        if (gateway::read_engine_start(request.headers) != 2U) {
            net::http_headers headers;
            gateway::add_refusal(headers, gateway::agent_refusal::engine_restarted);
            response->send(503, headers, "");
            return;
        }
        send_signed(request, response);
    };
    CHECK(status_of(all.ask("/e/1")) == 200);
    CHECK(all.seen[0].size() == 8);
    CHECK(status_of(all.ask("/e/1")) == 200);
    CHECK(all.seen[0].size() == 9);
}

TEST_CASE("a server that is leaving gets no new requests") {
    entry_with_servers all;
    all.know_all();
    all.know_server(0, true);
    CHECK(status_of(all.ask("/u/1")) == 200);
    CHECK(all.seen[0].empty());
    all.entry->remove_endpoint("i-1", false);
    CHECK(status_of(all.ask("/u/1")) == 503);
}

TEST_CASE("a request past its route's time gets its final answer then") {
    entry_with_servers all;
    all.know_all();
    std::vector<std::shared_ptr<net::http_response>> held;
    all.responders[0] = [&held](const auto&, auto response) { held.push_back(std::move(response)); };
    const time_point begun = all.events.now();
    CHECK(status_of(all.ask("/u/1")) == 504);
    const duration took = all.events.now() - begun;
    CHECK(took >= 1500ms);
    CHECK(took < 2s);
}

TEST_CASE("the time that a server is given is what the caller has left") {
    entry_with_servers all;
    all.know_all();
    CHECK(status_of(all.ask("/u/1")) == 200);
    const auto given =
        parse_number<int>(net::find_header(all.seen[0][0].headers, "x-samphiretray-deadline-ms"));
    REQUIRE(given);
    CHECK(*given <= 1500);
    CHECK(*given > 1000);
}

TEST_CASE("an organisation over its rate is told when to come back, and nothing of it runs") {
    entry_with_servers all;
    auto state = entry_with_servers::make_state(3);
    state.organisations[0].rate = 1000;
    state.organisations[0].burst = 1000;
    all.entry->apply(state);
    all.know_server(0);
    const net::http_headers tokens{{"x-samphiretray-token-count", "5000,100"}};
    const auto& answer = all.ask("/u/1", tokens);
    CHECK(status_of(answer) == 429);
    CHECK_FALSE(net::find_header(answer->headers, "retry-after").empty());
    CHECK(all.arrivals() == 0);
}

TEST_CASE("a stopping entry asks its callers to reconnect elsewhere and is not ready") {
    entry_with_servers all;
    all.know_all();
    all.entry->drain();
    CHECK(status_of(all.ask("/u/1")) == 200);
    std::optional<result<net::http_answer>> ready;
    net::http_call call;
    call.peer = all.ready;
    call.target = "/ready";
    const auto asked = all.client->fetch(
        std::move(call), [&](result<net::http_answer> answer) { ready.emplace(std::move(answer)); });
    REQUIRE(all.events.run_until([&] { return ready.has_value(); }, hang_limit));
    CHECK((*ready)->status == 503);
}

#include "tests/platform/entry_with_servers.h"
#include "tests/support/scripted_server.h"

using namespace samphiretray;
using namespace samphiretray::platform::testing;
using net::testing::answer_ending;
using net::testing::answer_framing;
using net::testing::format_answer;
using net::testing::scripted_answer;
using net::testing::scripted_server;

namespace {

net::http_headers stream_headers(const net::http_request& request) {
    auto headers = signed_headers(request);
    headers.push_back({"content-type", "text/event-stream"});
    return headers;
}

/// An entry before one server, registered as two endpoints, whose answers are scripted.
struct entry_with_scripted_server {
    explicit entry_with_scripted_server(scripted_server::handler answer)
        : server(entry.events, [this, answer = std::move(answer)](const net::http_request& request) {
              requests.push_back(request);
              return answer(request);
          }) {
        entry.register_only(server.local_address(), {"i-0", "i-1"});
    }

    entry_with_servers entry;
    std::vector<net::http_request> requests;
    scripted_server server;
};

} // namespace

// Guards against a stream that its server broke off inside its first event, of which the caller was told that
// it was whole: only events that had been completed counted.
TEST_CASE(
    "a stream that ends inside an event is broken off, whichever event it is and however it is framed") {
    const auto framing =
        GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    const std::string body =
        GENERATE(as<std::string>{}, "i", "id: 1\ndata: a", "id: 1\ndata: a\n", "event: x\n", "data",
                 "id: 1\r\ndata: a\r\n\r", "id: 1\ndata: a\n\nid: 2\ndata: b", ":\n\nid: 1\nda");
    INFO(static_cast<int>(framing) << " " << body);
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        return scripted_answer{format_answer(framing, stream_headers(request), body), answer_ending::close};
    }};
    CHECK_FALSE(fixture.entry.send_and_wait("/e/1"));
    CHECK(fixture.requests.size() == 1);
}

TEST_CASE("a stream that ends between events is whole, also with a comment behind the last one") {
    const auto framing =
        GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    const std::string body = GENERATE(as<std::string>{}, "id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n",
                                      "id: 1\ndata: a\n\n: done", "id: 1\ndata: a\n\n\n");
    INFO(static_cast<int>(framing) << " " << body);
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        return scripted_answer{format_answer(framing, stream_headers(request), body), answer_ending::close};
    }};
    const auto& answer = fixture.entry.send_and_wait("/e/1");
    REQUIRE(answer);
    CHECK(answer->body == body);
}

// Guards against the same answer on a route whose streams may be resumed: it was not resumed.
TEST_CASE("a resumable stream that ends inside its first event is started again at another endpoint") {
    const auto framing =
        GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    INFO(static_cast<int>(framing));
    std::size_t answers = 0;
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        const std::string_view body = ++answers == 1 ? "id: 1\ndata: a" : "id: 1\ndata: b\n\n";
        return scripted_answer{format_answer(framing, stream_headers(request), body),
                               framing == answer_framing::until_close ? answer_ending::close
                                                                      : answer_ending::keep_open};
    }};
    const auto& answer = fixture.entry.send_and_wait("/r/1");
    REQUIRE(answer);
    CHECK(answer->body == "id: 1\ndata: b\n\n");
    REQUIRE(fixture.requests.size() == 2);
    CHECK(net::find_header(fixture.requests[1].headers, "last-event-id").empty());
}

// Guards against an empty answer for a stream that its server broke off before the first event.
TEST_CASE(
    "a stream that ends with its connection and has no event is broken off unless it continues another") {
    const auto [body, last_event, is_whole] = GENERATE(table<std::string, std::string, bool>(
        {{"", "", false}, {": alive\n\n", "", false}, {"", "7", true}, {"id: 1\n\n", "", true}}));
    INFO(body << " " << last_event);
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        return scripted_answer{format_answer(answer_framing::until_close, stream_headers(request), body),
                               answer_ending::close};
    }};
    net::http_headers more;
    if (!last_event.empty()) {
        more.push_back({"last-event-id", last_event});
    }
    CHECK(fixture.entry.send_and_wait("/e/1", more).has_value() == is_whole);
}

TEST_CASE("a stream whose framing says that it is empty is whole") {
    const auto framing = GENERATE(answer_framing::length, answer_framing::chunks);
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        return scripted_answer{format_answer(framing, stream_headers(request), ""), answer_ending::keep_open};
    }};
    CHECK(fixture.entry.send_and_wait("/e/1"));
}

// Guards against a resumed stream that was cut off, as if it were whole, at the Content-Length of the run
// that had begun it.
TEST_CASE("a resumed stream reaches its caller whole, however long each run is and however it is framed") {
    const auto first = GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    const auto second = GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    const std::string rest = GENERATE(as<std::string>{}, "id: 2\ndata: b\n\n", "id: 2\n\n",
                                      "id: 2\ndata: longer than the first run\n\nid: 3\n\n");
    INFO(static_cast<int>(first) << " " << static_cast<int>(second) << " " << rest);
    std::size_t answers = 0;
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        if (++answers > 1) {
            return scripted_answer{format_answer(second, stream_headers(request), rest),
                                   second == answer_framing::until_close ? answer_ending::close
                                                                         : answer_ending::keep_open};
        }
        const std::string whole =
            format_answer(first, stream_headers(request), "id: 1\n\nid: 2\ndata: a\n\n");
        return scripted_answer{whole.substr(0, whole.find("a: a")), answer_ending::reset};
    }};
    const auto& answer = fixture.entry.send_and_wait("/r/1");
    REQUIRE(answer);
    CHECK(answer->body == "id: 1\n\n" + rest);
    REQUIRE(fixture.requests.size() == 2);
    CHECK(net::find_header(fixture.requests[1].headers, "last-event-id") == "1");
}

// Guards against an answer that was reset while its request was still being written and that looked complete.
TEST_CASE("an answer without a length that is reset while its request is being written is not whole") {
    struct row {
        std::string path;
        std::string part;
        /// The body that the caller gets in the end; nothing if it is told that there is no whole answer.
        std::optional<std::string> body;
    };
    const row each = GENERATE(values<row>({{"/s/1", "par", "whole"},
                                           {"/u/1", "par", std::nullopt},
                                           {"/e/1", "id: 1\n\n", std::nullopt},
                                           {"/r/1", "id: 1\n\n", "id: 1\n\nid: 2\n\n"}}));
    INFO(each.path);
    std::size_t answers = 0;
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        const bool is_stream = each.part.starts_with("id");
        const auto headers = is_stream ? stream_headers(request) : signed_headers(request);
        if (++answers == 1) {
            return scripted_answer{format_answer(answer_framing::until_close, headers, each.part),
                                   answer_ending::reset};
        }
        return scripted_answer{
            format_answer(answer_framing::chunks, headers, is_stream ? "id: 2\n\n" : "whole")};
    }};
    fixture.server.ignore_bodies();
    const auto& answer = fixture.entry.send_and_wait(each.path, {}, "key", std::string(4'000'000, 'b'));
    const bool is_whole = answer && answer->status == 200;
    CHECK(is_whole == each.body.has_value());
    if (is_whole && each.body) {
        CHECK(answer->body == *each.body);
    }
    CHECK(fixture.requests.size() == (each.body ? 2 : 1));
}

// Guards against an answer of a server in trouble whose status is none of HTTP and that reached the caller.
TEST_CASE("an answer whose status is outside 100 to 599 is no answer") {
    const std::string status = GENERATE(as<std::string>{}, "000", "001", "099", "600", "999");
    const auto framing =
        GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    const std::string path = GENERATE(as<std::string>{}, "/s/1", "/u/1", "/e/1", "/r/1");
    INFO(status << " " << static_cast<int>(framing) << " " << path);
    const bool is_stream = path == "/e/1" || path == "/r/1";
    const bool is_repeatable = path == "/s/1" || path == "/r/1";
    std::size_t answers = 0;
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        const auto headers = is_stream ? stream_headers(request) : signed_headers(request);
        std::string text = format_answer(framing, headers, is_stream ? "id: 1\n\n" : "whole");
        if (++answers == 1) {
            text.replace(text.find(" 200 ") + 1, status.size(), status);
        }
        return scripted_answer{text, framing == answer_framing::until_close ? answer_ending::close
                                                                            : answer_ending::keep_open};
    }};
    const auto& answer = fixture.entry.send_and_wait(path);
    REQUIRE(answer);
    CHECK(answer->status == (is_repeatable ? 200 : 502));
    CHECK(fixture.requests.size() == (is_repeatable ? 2 : 1));
}

// Guards against what operators of similar systems have seen: the text of an error, or its whole head, in the
// middle of a stream that had begun, or the stream ended as if it were complete.
TEST_CASE(
    "whatever answers instead of the rest of a stream, its caller gets nothing of that and no proper end") {
    const auto framing = GENERATE(answer_framing::chunks, answer_framing::until_close);
    const auto next = GENERATE(answer_framing::length, answer_framing::chunks, answer_framing::until_close);
    const std::string_view reply = GENERATE(as<std::string_view>{}, "error", "unsigned error", "refusal",
                                            "foreign answer", "text", "no answer", "half a head", "no bytes");
    INFO(static_cast<int>(framing) << " " << static_cast<int>(next) << " " << reply);
    std::size_t answers = 0;
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        if (++answers == 1) {
            const std::string begun = format_answer(framing, stream_headers(request), "id: 1\n\nid: 2\nda");
            return scripted_answer{begun.substr(0, begun.find("da") + 2), answer_ending::close};
        }
        net::http_headers headers = signed_headers(request);
        int status = 500;
        if (reply == "unsigned error") {
            headers = {attempt_header(request)};
        } else if (reply == "refusal") {
            headers = {attempt_header(request), {"x-samphiretray-not-executed", "1"}};
            status = 503;
        } else if (reply == "foreign answer") {
            headers = {{"x-samphiretray-attempt-id", "other"}, {"x-samphiretray-server-seal", "seal"}};
            status = 200;
        } else if (reply == "text") {
            headers.push_back({"content-type", "text/plain"});
            status = 200;
        }
        std::string bytes = format_answer(next, headers, "error-text", status);
        if (reply == "no answer") {
            bytes = "error-text without a head\r\n\r\n";
        } else if (reply == "half a head") {
            bytes.resize(bytes.find("\r\n\r\n"));
        } else if (reply == "no bytes") {
            bytes.clear();
        }
        return scripted_answer{bytes, answer_ending::close};
    }};
    net::loop& events = fixture.entry.events;
    auto caller = net::testing::raw_socket::connect(fixture.entry.listen);
    caller.send(events, "POST /r/1 HTTP/1.1\r\nHost: a.example\r\nX-Samphiretray-Attempt-Id: attempt-1\r\n"
                        "X-Samphiretray-Credential: key\r\nContent-Length: 0\r\n\r\n");
    (void)caller.receive_all(events);
    CHECK(caller.received.find("id: 1\n\n") != std::string::npos);
    CHECK(caller.received.find("id: 2") == std::string::npos);
    CHECK(caller.received.find("error-text") == std::string::npos);
    CHECK(caller.received.find("HTTP/1.1", 1) == std::string::npos);
    CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
    CHECK(answers == 2);
}

// Guards against a chunk size of which only leading zeros came, and that another answer behind it made the
// last chunk: the caller got a short answer as a whole one.
TEST_CASE("a cut chunk size is not completed by the answer behind it for any caller") {
    struct row {
        std::string path;
        /// The body that the caller gets in the end; nothing if it is told that there is no whole answer.
        std::optional<std::string> body;
    };
    const row each = GENERATE(values<row>({{"/s/1", "id: 2\n\n"},
                                           {"/u/1", std::nullopt},
                                           {"/e/1", std::nullopt},
                                           {"/r/1", "id: 1\n\nid: 2\n\n"}}));
    const std::string zeros = GENERATE("0", "00");
    const int other_status = GENERATE(200, 500);
    INFO(each.path << " " << zeros << " " << other_status);
    std::size_t answers = 0;
    entry_with_scripted_server fixture{[&](const net::http_request& request) {
        const bool is_stream = each.path == "/e/1" || each.path == "/r/1";
        const auto headers = is_stream ? stream_headers(request) : signed_headers(request);
        if (++answers > 1) {
            return scripted_answer{format_answer(answer_framing::chunks, headers, "id: 2\n\n")};
        }
        std::string bytes = format_answer(answer_framing::chunks, headers, "id: 1\n\n");
        bytes.resize(bytes.size() - std::string_view{"0\r\n\r\n"}.size());
        return scripted_answer{
            bytes + zeros +
                format_answer(answer_framing::length, signed_headers(request), "other", other_status),
            answer_ending::close, 20ms, bytes.size()};
    }};
    const auto& answer = fixture.entry.send_and_wait(each.path);
    const bool is_whole = answer && answer->status == 200;
    CHECK(is_whole == each.body.has_value());
    if (is_whole && each.body) {
        CHECK(answer->body == *each.body);
    }
    CHECK(fixture.requests.size() == (each.body ? 2 : 1));
}

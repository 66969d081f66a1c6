#include "platform/request_binding.h"

#include <catch2/catch.hpp>

using namespace samphiretray;
using platform::request_binding;

namespace {

net::http_request make_request(net::http_headers more = {}) {
    net::http_request request;
    request.method = "POST";
    request.headers = {{"host", "Ficu95.example:80"},
                       {"x-samphiretray-attempt-id", "9c41"},
                       {"x-samphiretray-model", "m0/a7"},
                       {"x-samphiretray-token-count", "1460,80"},
                       {"x-samphiretray-prompt-prefix", "5c1e:800,91bd:410,e440:250"},
                       {"x-samphiretray-deadline-ms", "6000"},
                       {"x-samphiretray-credential", "secret"}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    return request;
}

} // namespace

TEST_CASE("the headers of a caller's request are decoded") {
    const auto decoded = request_binding::decode_request(make_request());
    REQUIRE(decoded);
    CHECK(decoded->attempt_id == "9c41");
    CHECK(decoded->host == "ficu95.example");
    CHECK(decoded->model == "m0");
    CHECK(decoded->adapter == "m0/a7");
    CHECK(decoded->prompt_tokens == 1460);
    CHECK(decoded->max_output_tokens == 80);
    CHECK(decoded->time_left == 6s);
    REQUIRE(decoded->prefix.size() == 3);
    CHECK(decoded->prefix[1].id == "91bd");
    CHECK(decoded->prefix[1].tokens == 410);
}

TEST_CASE("a request for a base model or for a service without a model has no adapter") {
    net::http_request request;
    request.headers = {{"x-samphiretray-model", "m0"}};
    CHECK(request_binding::decode_request(request)->adapter.empty());
    CHECK(request_binding::decode_request({})->model.empty());
}

TEST_CASE("malformed headers are rejected instead of being read as zero") {
    for (const net::http_header& wrong : net::http_headers{{"x-samphiretray-deadline-ms", "soon"},
                                                           {"x-samphiretray-token-count", "1460"},
                                                           {"x-samphiretray-token-count", "1460,-1"},
                                                           {"x-samphiretray-prompt-prefix", "5c1e"},
                                                           {"x-samphiretray-model", "m0/ni\xF1o7"},
                                                           {"x-samphiretray-model", "\x80"}}) {
        net::http_request request;
        request.headers = {wrong};
        CHECK_FALSE(request_binding::decode_request(request));
    }
}

TEST_CASE("the API key and headers reserved for the system are not forwarded") {
    const auto headers = request_binding::forward_headers(
        make_request({{"X-Samphiretray-Tenant", "forged"},
                      {"X-Samphiretray-Hold", "h"},
                      {"X-Samphiretray-Pin-Ms", "4000"},
                      {"X-Samphiretray-Kv-Backup", "10.0.0.1:1"},
                      {"Kv-From", "10.0.0.1:1/2"},
                      {"X-Samphiretray-Expect-Instance", "i-other"},
                      {"X-Samphiretray-Request-Urgency", "0"},
                      {"Last-Event-Id", "12"}})
            .headers,
        {.time_left = 2500ms, .endpoint_id = "i-1", .organisation = "coop", .version = "3", .urgency = 1});
    const auto value = [&headers](std::string_view name) { return net::find_header(headers, name); };
    CHECK(value("x-samphiretray-credential").empty());
    CHECK(value("x-samphiretray-hold").empty());
    CHECK(value("x-samphiretray-pin-ms").empty());
    CHECK(value("x-samphiretray-kv-backup").empty());
    CHECK(value("kv-from").empty());
    CHECK(value("x-samphiretray-tenant") == "coop");
    CHECK(value("x-samphiretray-expect-instance") == "i-1");
    CHECK(value("x-samphiretray-expect-version") == "3");
    CHECK(value("x-samphiretray-request-urgency") == "1");
    CHECK(value("x-samphiretray-deadline-ms") == "2500");
    CHECK(value("x-samphiretray-attempt-id") == "9c41");
    CHECK(value("last-event-id") == "12");
    CHECK(value("host") == "Ficu95.example:80");
}

TEST_CASE("the organisation header of a caller on a public route is removed") {
    const auto headers = request_binding::forward_headers({{"x-samphiretray-tenant", "forged"}},
                                                          {.time_left = 1s, .endpoint_id = "i"});
    CHECK(net::find_header(headers, "x-samphiretray-tenant").empty());
}

TEST_CASE("hop-by-hop headers are not forwarded, including those listed in Connection") {
    const auto headers = request_binding::forward_headers({{"Connection", "keep-alive, X-Private"},
                                                           {"X-Private", "1"},
                                                           {"Keep-Alive", "timeout=5"},
                                                           {"X-Kept", "1"}},
                                                          {.time_left = 1s});
    CHECK(net::find_header(headers, "x-private").empty());
    CHECK(net::find_header(headers, "keep-alive").empty());
    CHECK(net::find_header(headers, "connection").empty());
    CHECK(net::find_header(headers, "x-kept") == "1");
}

TEST_CASE("the status and headers of an endpoint's response are decoded") {
    const auto whole = request_binding::decode_answer(200, {{"X-Samphiretray-Attempt-Id", "9c41"},
                                                            {"X-Samphiretray-Server-Seal", "3e"},
                                                            {"X-Samphiretray-Server-Load", "3,1,8"}});
    CHECK(whole.is_signed);
    CHECK(whole.attempt_id == "9c41");
    CHECK_FALSE(whole.not_run);
    CHECK(whole.running == 3);
    CHECK(whole.waiting == 1);
    CHECK_FALSE(request_binding::decode_answer(200, {}).is_signed);
    CHECK(request_binding::decode_answer(503, {{"X-Samphiretray-Not-Executed", "1"}}).not_run);
    CHECK(request_binding::decode_answer(421, {}).misdirected);
    CHECK(request_binding::decode_answer(421, {}).not_run);
    CHECK_FALSE(request_binding::decode_answer(503, {}).not_run);
    CHECK(request_binding::decode_answer(200, {{"Content-Encoding", "gzip"}}).has_content_encoding);
    CHECK_FALSE(request_binding::decode_answer(200, {{"Content-Encoding", "identity"}}).has_content_encoding);
}

TEST_CASE("a forwarded request is decoded with its organisation, version and urgency") {
    net::http_request request = make_request();
    request.headers = request_binding::forward_headers(
        request.headers,
        {.time_left = 900ms, .endpoint_id = "i-1", .organisation = "coop", .version = "2", .urgency = 0});
    const auto decoded = request_binding::decode_forwarded(request);
    REQUIRE(decoded);
    CHECK(decoded->fields.time_left == 900ms);
    CHECK(decoded->fields.endpoint_id == "i-1");
    CHECK(decoded->fields.organisation == "coop");
    CHECK(decoded->fields.version == "2");
    CHECK(decoded->fields.urgency == 0);
    CHECK(decoded->caller.adapter == "m0/a7");
    CHECK(decoded->caller.api_key.empty());
}

TEST_CASE("an answer tells that its server leaves, and for how long it wants no requests") {
    const auto decoded = [](int status, net::http_headers headers) {
        return request_binding::decode_answer(status, headers);
    };
    CHECK(decoded(200, {{"Server-Leaving", "1"}}).is_leaving);
    CHECK_FALSE(decoded(200, {}).is_leaving);
    CHECK(decoded(503, {{"Retry-After", "2.5"}}).pause == 2500ms);
    CHECK(decoded(503, {{"Retry-After", "1e9"}}).pause == 300s);
    CHECK_FALSE(decoded(200, {{"Retry-After", "2"}}).pause);
    for (const char* text : {"", "-1", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
        CHECK_FALSE(decoded(503, {{"Retry-After", text}}).pause);
    }
}

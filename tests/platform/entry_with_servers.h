#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/gateway/entry_gateway-inl.h"

#include "platform/request_binding.h"
#include "tests/platform/fake_engine.h"
#include "tests/support/raw_socket.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::platform::testing {

/// A store that never answers; the tests pass configurations and endpoints to the entry directly.
struct silent_store {
    void list(const std::string&, const ports::completion<ports::store_listing>&) {}
    void watch(const std::string&, std::uint64_t, duration, const ports::completion<ports::store_changes>&) {}
    void grant_lease(duration, const ports::completion<std::uint64_t>&) {}
    void renew_lease(std::uint64_t, const ports::completion<std::uint64_t>&) {}
    void put(const std::string&, const std::string&, std::uint64_t, const ports::completion<std::uint64_t>&) {
    }
};

using responder = std::function<void(const net::http_request&, std::shared_ptr<net::http_response>)>;

inline net::http_header attempt_header(const net::http_request& request) {
    return {"x-samphiretray-attempt-id",
            std::string{net::find_header(request.headers, "x-samphiretray-attempt-id")}};
}

inline net::http_headers signed_headers(const net::http_request& request) {
    return {attempt_header(request), {"x-samphiretray-server-seal", "seal"}};
}

inline void send_signed(const net::http_request& request, const std::shared_ptr<net::http_response>& response,
                        int status = 200, std::string_view body = "whole") {
    response->send(status, signed_headers(request), body);
}

inline void send_not_run(const net::http_request& request,
                         const std::shared_ptr<net::http_response>& response) {
    response->send(503, {attempt_header(request), {"x-samphiretray-not-executed", "1"}}, "");
}

/// The bytes of an HTTP response.
inline std::string answer_bytes(const std::string& attempt, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Samphiretray-Attempt-Id: " + attempt +
           "\r\nX-Samphiretray-Server-Seal: seal\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// The header line that names the sending in a request of an entry to an agent, as agents repeat it; empty if
/// there is none.
inline std::string sending_line(std::string_view request) {
    const std::size_t begin = request.find("samphiretray-sending:");
    return begin == std::string_view::npos
               ? std::string{}
               : std::string{request.substr(begin, request.find('\n', begin) + 1 - begin)};
}

/// An entry with two plain servers. Routes: /s/ safe, /u/ at most once, /e/ streaming, /p/ public, /r/
/// resumable.
struct entry_with_servers {
    net::loop events;
    silent_store store;
    std::unique_ptr<net::http_client> client = net::http_client::create(events);
    std::unique_ptr<gateway::entry_gateway<request_binding, silent_store>> entry;
    std::vector<std::unique_ptr<net::http_server>> servers;
    std::vector<std::vector<net::http_request>> received{2};
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
                    received[i].push_back(request);
                    responders[i](request, std::move(response));
                });
            REQUIRE(created);
            servers.push_back(std::move(*created));
        }
        start_entry();
    }

    /// Starts the entry, in place of the one before, with settings that `change` may modify.
    void start_entry(const std::function<void(gateway::gateway_settings&)>& change = {}) {
        gateway::gateway_settings settings;
        settings.node.vm = "entry-1";
        settings.node.data_centre = "north-a";
        settings.regions = {{"north-a", "north"}, {"south-a", "south"}};
        settings.listen = any_port;
        settings.ready_listen = any_port;
        settings.control_listen = any_port;
        settings.agent_port = agent_port();
        if (change) {
            change(settings);
        }
        entry =
            std::make_unique<gateway::entry_gateway<request_binding, silent_store>>(events, settings, store);
        REQUIRE(entry->start());
        listen = entry->listen_address();
        ready = entry->ready_address();
    }

    /// The first server also acts as the agent of every engine.
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

    static gateway::route make_resumable_route() {
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
                        make_route("/p/", gateway::call_kind::safe, true), make_resumable_route()};
        state.services = {{"orders", std::nullopt}};
        state.organisations = {{"coop", {sha256_hex(key)}, std::nullopt, 0, 0, 1}};
        return state;
    }

    /// Registers a server that the test plays itself, under each of these ids, in place of the others.
    void register_only(const net::address& server, const std::vector<std::string>& ids) {
        entry->apply(make_state(3));
        for (const std::string& id : ids) {
            entry->update_endpoint({id, "orders", server, "north-a", 6, false, 1, {}, 0, {}, "v1"});
        }
        entry->set_endpoints_complete();
    }

    [[nodiscard]] gateway::endpoint make_endpoint(std::size_t i, const std::string& version = "v1") const {
        gateway::endpoint server;
        server.id = "i-" + std::to_string(i);
        server.service = "orders";
        server.address = servers[i]->local_address();
        server.data_centre = i == 0 ? "north-a" : "south-a";
        server.slots = 6;
        server.software_version = version;
        return server;
    }

    void register_server(std::size_t i, bool draining = false, const std::string& version = "v1") {
        gateway::endpoint server = make_endpoint(i, version);
        server.draining = draining;
        entry->update_endpoint(server);
    }

    void register_all() {
        entry->apply(make_state(3));
        register_server(0);
        register_server(1);
        entry->set_endpoints_complete();
    }

    std::optional<result<net::fetched_response>> outcome;

    const result<net::fetched_response>& send_and_wait(const std::string& path, net::http_headers more = {},
                                                       const std::string& key = "key",
                                                       std::string body = "order") {
        send_request(path, std::move(more), key, std::move(body));
        return wait_for_outcome();
    }

    const result<net::fetched_response>& wait_for_outcome() {
        REQUIRE(events.run_until([&] { return outcome.has_value(); }, hang_limit));
        return *outcome;
    }

    void send_request(const std::string& path, net::http_headers more = {}, const std::string& key = "key",
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
        calls.push_back(client->fetch(std::move(call), [this](result<net::fetched_response> answer) {
            outcome.emplace(std::move(answer));
        }));
    }

    /// Sends `count` requests at once and calls `on_answer` for each answer.
    void send_requests(std::size_t count, const std::string& path,
                       const std::function<void(const result<net::fetched_response>&)>& on_answer) {
        for (std::size_t i = 0; i < count; ++i) {
            net::http_call call;
            call.peer = listen;
            call.method = "POST";
            call.target = path;
            call.timeout = 60s;
            call.headers = {{"host", "a.example"},
                            {"x-samphiretray-attempt-id", "many-" + std::to_string(i)},
                            {"x-samphiretray-credential", "key"}};
            calls.push_back(client->fetch(std::move(call), on_answer));
        }
    }

    /// Registers both servers, with `timeout` and `silence` as the limits of every route.
    void register_all_with_limits(duration timeout, duration silence) {
        auto state = make_state(3);
        for (gateway::route& each : state.routes) {
            each.timeout = timeout;
            each.silence_timeout = silence;
        }
        entry->apply(std::move(state));
        register_server(0);
        register_server(1);
        entry->set_endpoints_complete();
    }

    [[nodiscard]] std::size_t received_count() const { return received[0].size() + received[1].size(); }
};

inline int status_of(const result<net::fetched_response>& answer) {
    REQUIRE(answer);
    return answer->status;
}

} // namespace samphiretray::platform::testing

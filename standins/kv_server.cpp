#include "standins/kv_server.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

namespace samphiretray::standins {

namespace {

constexpr std::string_view keys_path = "/v1/keys";
/// Upper limit of the `wait_ms` of a watch.
constexpr std::uint64_t max_wait_ms = 600'000;

std::uint64_t query_number(const net::http_request& request, std::string_view name) {
    return std::strtoull(net::find_query(request.query, name).c_str(), nullptr, 10);
}

std::string key_of(const net::http_request& request) {
    if (request.path.size() <= keys_path.size() + 1) {
        return "";
    }
    return percent_decode(std::string_view{request.path}.substr(keys_path.size() + 1));
}

std::optional<call_kind> kind_of(const net::http_request& request) {
    if (!request.path.starts_with(keys_path)) {
        return std::nullopt;
    }
    const bool has_key = !key_of(request).empty();
    if (request.method == "GET" && !has_key) {
        return call_kind::list;
    }
    if (request.method == "GET") {
        return request.query.find("wait_ms=") == std::string::npos ? call_kind::read : call_kind::watch;
    }
    if (request.method == "PUT" && has_key) {
        return call_kind::write;
    }
    return request.method == "DELETE" && has_key ? std::optional{call_kind::erase} : std::nullopt;
}

kv_write parse_write(const std::string& key, const std::string& body) {
    const auto document = nlohmann::json::parse(body);
    kv_write write{
        key, document.at("value").get<std::string>(), document.value("expected", std::uint64_t{0}), {}};
    if (document.contains("lease_ms")) {
        write.lease = std::chrono::milliseconds{document["lease_ms"].get<std::int64_t>()};
    }
    return write;
}

} // namespace

kv_server::kv_server(net::loop& events, call_limits limits, std::uint64_t seed)
    : events_(&events), gate_(limits, seed), timer_(events, [this] { advance(); }) {}

net::http_handler kv_server::handler(const std::string& listener) {
    return [this, listener](const net::http_request& request, const response_handle& response) {
        handle(listener, request, response);
    };
}

void kv_server::handle(const std::string& listener, const net::http_request& request,
                       const response_handle& response) {
    if (request.path.starts_with("/admin/")) {
        handle_admin(request, response);
        return;
    }
    const auto kind = kind_of(request);
    if (!kind) {
        send_error(*response, 404, "no such call");
        return;
    }
    switch (gate_.admit(*kind, listener, store_.pending_watches(), events_->now())) {
    case admission_result::silent:
        hold(response);
        return;
    case admission_result::unavailable:
        answer(response, 503, {{"error", "unavailable"}});
        return;
    case admission_result::rate_limited:
        answer(response, 429, {{"error", "rate limited"}});
        return;
    case admission_result::pass:
        handle_call(*kind, listener, request, response);
        advance();
    }
}

void kv_server::handle_admin(const net::http_request& request, const response_handle& response) {
    if (request.method == "POST" && request.path == "/admin/faults") {
        gate_.change_faults(nlohmann::json::parse(request.body));
        apply_faults_to_watches();
        send_json(*response, 200, nlohmann::json::object());
        return;
    }
    if (request.path == "/admin/counters") {
        nlohmann::json counters = gate_.counters();
        counters["pending_watches"] = store_.pending_watches();
        send_json(*response, 200, counters);
        return;
    }
    send_error(*response, 404, "no such call");
}

void kv_server::handle_call(call_kind kind, const std::string& listener, const net::http_request& request,
                            const response_handle& response) {
    const std::string key = key_of(request);
    switch (kind) {
    case call_kind::read:
        return read(key, response);
    case call_kind::watch:
        return watch(key, listener, request, response);
    case call_kind::list:
        return list(request, response);
    case call_kind::write:
        return write(key, request, response);
    case call_kind::erase:
        return erase(key, request, response);
    }
}

void kv_server::read(const std::string& key, const response_handle& response) {
    const auto stored = store_.read(key, events_->now());
    if (!stored) {
        answer(response, 404, {{"error", "no such key"}});
        return;
    }
    answer(response, 200, {{"value", stored->value}, {"revision", stored->revision}});
}

void kv_server::watch(const std::string& key, const std::string& listener, const net::http_request& request,
                      const response_handle& response) {
    const auto wait = std::chrono::milliseconds{std::min(query_number(request, "wait_ms"), max_wait_ms)};
    const std::uint64_t id = store_.watch(key, query_number(request, "after"), events_->now() + wait);
    watchers_[id] = {listener, response};
    response->on_closed(lifetime_.guard([this, id] {
        store_.cancel_watch(id);
        watchers_.erase(id);
    }));
}

void kv_server::write(const std::string& key, const net::http_request& request,
                      const response_handle& response) {
    answer_write(store_.put(parse_write(key, request.body), events_->now()), response);
}

void kv_server::erase(const std::string& key, const net::http_request& request,
                      const response_handle& response) {
    answer_write(store_.erase(key, query_number(request, "expected"), events_->now()), response);
}

void kv_server::list(const net::http_request& request, const response_handle& response) {
    answer(response, 200, {{"keys", store_.keys(net::find_query(request.query, "prefix"), events_->now())}});
}

void kv_server::answer_write(const kv_write_result& result, const response_handle& response) {
    if (result.status == kv_write_status::too_large) {
        answer(response, 413, {{"error", "value too large"}});
        return;
    }
    const bool is_done = result.status == kv_write_status::done;
    if (is_done && gate_.loses_answer()) {
        response->abort();
        return;
    }
    answer(response, is_done ? 200 : 409, {{"revision", result.revision}});
}

void kv_server::answer(const response_handle& response, int status, const nlohmann::json& body) {
    if (gate_.delay() <= 0us) {
        send_json(*response, status, body);
        return;
    }
    delays_.emplace_front();
    const auto place = delays_.begin();
    *place = events_->after(gate_.delay(), [this, place, response, status, body] {
        send_json(*response, status, body);
        events_->post(lifetime_.guard([this, place] { delays_.erase(place); }));
    });
}

void kv_server::apply_faults_to_watches() {
    std::erase_if(watchers_, [this](const auto& item) {
        const watcher& waiting = item.second;
        const admission_result reached = gate_.reachability(waiting.listener);
        if (reached == admission_result::pass) {
            return false;
        }
        store_.cancel_watch(item.first);
        if (reached == admission_result::silent) {
            hold(waiting.response);
        } else {
            send_json(*waiting.response, 503, {{"error", "unavailable"}});
        }
        return true;
    });
}

void kv_server::hold(const response_handle& response) {
    held_.push_front(response);
    response->on_closed(lifetime_.guard([this, place = held_.begin()] { held_.erase(place); }));
}

void kv_server::advance() {
    for (const kv_store::due_watch& due : store_.take_due(events_->now())) {
        const auto node = watchers_.extract(due.watch);
        if (!node.empty()) {
            read(due.key, node.mapped().response);
        }
    }
    timer_.arm(store_.next_event());
}

} // namespace samphiretray::standins

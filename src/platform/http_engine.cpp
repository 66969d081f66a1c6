#include "samphiretray/platform/http_engine.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace samphiretray::platform {

namespace {

using nlohmann::json;

constexpr duration state_timeout = 2s;
/// A load waits for the weight store, which slows down in proportion to the loads in flight.
constexpr duration command_timeout = 30s;
constexpr std::string_view incarnation_header = "x-engine-incarnation";

std::string full_name(const adapter_version& target) {
    return target.adapter + "@" + target.version;
}

std::optional<adapter_version> parse_full_name(const std::string& name) {
    const std::size_t separator = name.find('@');
    if (separator == std::string::npos) {
        return std::nullopt;
    }
    return adapter_version{name.substr(0, separator), name.substr(separator + 1)};
}

std::uint32_t count_of(const json& body, const char* name) {
    const auto found = body.find(name);
    return found != body.end() && found->is_number_unsigned() ? found->get<std::uint32_t>() : 0;
}

result<engine_state> parse_state(const std::string& text, const std::string& peer) {
    const json body = json::parse(text, nullptr, false);
    const auto incarnation = body.is_object() ? body.find("incarnation") : body.end();
    if (incarnation == body.end() || !incarnation->is_string()) {
        return make_error(errc::protocol_error, step::run, peer, "the engine's state has no incarnation");
    }
    engine_state state;
    state.incarnation = incarnation->get<std::string>();
    state.base_model = body.value("base_model", "");
    state.slots = count_of(body, "slots");
    state.batch = count_of(body, "batch");
    state.running = count_of(body, "running");
    for (const json& name : body.value("loaded", json::array())) {
        const auto parsed = name.is_string() ? parse_full_name(name.get<std::string>()) : std::nullopt;
        if (parsed) {
            state.loaded.push_back(*parsed);
        }
    }
    return state;
}

errc command_error(int status) {
    switch (status) {
    case 404:
        return errc::not_found;
    case 409:
        return errc::fenced;
    case 507:
        return errc::overloaded;
    default:
        return errc::load_failed;
    }
}

class http_engine_exchange final : public engine_exchange {
public:
    explicit http_engine_exchange(std::unique_ptr<net::http_exchange> exchange)
        : exchange_(std::move(exchange)) {}
    [[nodiscard]] bool may_have_been_sent() const noexcept override {
        return exchange_->may_have_been_sent();
    }

private:
    std::unique_ptr<net::http_exchange> exchange_;
};

} // namespace

http_engine::http_engine(net::http_client& client, net::address endpoint)
    : client_(client), endpoint_(std::move(endpoint)), peer_(net::to_string(endpoint_)), calls_(client) {}

void http_engine::state(completion<engine_state> done) {
    net::http_call call;
    call.peer = endpoint_;
    call.target = "/v1/state";
    call.timeout = state_timeout;
    calls_.fetch(std::move(call),
                 [peer = peer_, done = std::move(done)](const result<net::http_answer>& answer) {
                     if (!answer) {
                         done(answer.error());
                     } else if (answer->status != 200) {
                         done(make_error(errc::unavailable, step::run, peer,
                                         "unexpected status " + std::to_string(answer->status)));
                     } else {
                         done(parse_state(answer->body, peer));
                     }
                 });
}

void http_engine::load(const engine_order& order, completion<std::string> done) {
    command("/v1/load_lora_adapter", order, std::move(done));
}

void http_engine::unload(const engine_order& order, completion<std::string> done) {
    command("/v1/unload_lora_adapter", order, std::move(done));
}

void http_engine::command(const std::string& target, const engine_order& order,
                          completion<std::string> done) {
    net::http_call call;
    call.peer = endpoint_;
    call.method = "POST";
    call.target = target;
    call.headers = {{"content-type", "application/json"}};
    call.body = json{{"lora_name", full_name(order.target)}, {"fencing", order.fencing_number}}.dump();
    call.timeout = command_timeout;
    calls_.fetch(
        std::move(call), [peer = peer_, done = std::move(done)](const result<net::http_answer>& answer) {
            if (!answer) {
                done(answer.error());
            } else if (answer->status != 200) {
                done(make_error(command_error(answer->status), step::load, peer,
                                "the engine refused the command with " + std::to_string(answer->status)));
            } else {
                done(std::string{net::find_header(answer->headers, incarnation_header)});
            }
        });
}

std::unique_ptr<engine_exchange> http_engine::call(engine_call call, engine_call_events events) {
    net::http_call http;
    http.peer = endpoint_;
    http.method = std::move(call.method);
    http.target = std::move(call.path);
    http.body = std::move(call.body);
    http.timeout = call.timeout;
    if (!call.content_type.empty()) {
        http.headers.push_back({"content-type", std::move(call.content_type)});
    }
    if (!call.request_id.empty()) {
        http.headers.push_back({"x-request-id", std::move(call.request_id)});
    }
    net::http_call_events forwarded;
    forwarded.on_head = [on_head = std::move(events.on_head)](int status, const net::http_headers& headers) {
        on_head(status, std::string{net::find_header(headers, "content-type")},
                std::string{net::find_header(headers, incarnation_header)});
    };
    forwarded.on_data = std::move(events.on_data);
    forwarded.on_end = std::move(events.on_end);
    return std::make_unique<http_engine_exchange>(client_.send(std::move(http), std::move(forwarded)));
}

} // namespace samphiretray::platform

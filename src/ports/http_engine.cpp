#include "samphiretray/ports/http_engine.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace samphiretray::ports {

static_assert(engine<http_engine>);

namespace {

using json = nlohmann::json;

constexpr std::size_t max_state_bytes = 4U << 20U;
constexpr std::string_view incarnation_header = "x-engine-incarnation";

error malformed_response(const std::string& peer, std::string detail) {
    return make_error(errc::protocol_error, step::receive, peer, std::move(detail));
}

bool read_string(const json& object, const char* name, std::string& value) {
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        return false;
    }
    value = found->get<std::string>();
    return true;
}

bool read_uint32(const json& object, const char* name, std::uint32_t& value) {
    const auto found = object.find(name);
    const bool in_range = found != object.end() && found->is_number_unsigned() &&
                          found->get<std::uint64_t>() <= std::numeric_limits<std::uint32_t>::max();
    if (in_range) {
        value = found->get<std::uint32_t>();
    }
    return in_range;
}

bool read_loaded_adapters(const json& object, std::vector<adapter_version>& loaded) {
    const auto found = object.find("loaded");
    if (found == object.end() || !found->is_array()) {
        return false;
    }
    for (const json& name : *found) {
        const auto parsed =
            name.is_string() ? parse_adapter_version(name.get_ref<const std::string&>()) : std::nullopt;
        if (!parsed) {
            return false;
        }
        loaded.push_back(*parsed);
    }
    return true;
}

result<engine_state> read_state_response(const net::fetched_response& response, const std::string& peer) {
    if (response.status != 200) {
        return make_error(errc::unavailable, step::receive, peer,
                          "status " + std::to_string(response.status));
    }
    const json parsed = json::parse(response.body, nullptr, false);
    engine_state state;
    const bool complete = parsed.is_object() && read_string(parsed, "incarnation", state.incarnation) &&
                          read_string(parsed, "base_model", state.base_model) &&
                          read_uint32(parsed, "slots", state.adapter_slots) &&
                          read_uint32(parsed, "batch", state.max_batch_size) &&
                          read_loaded_adapters(parsed, state.loaded_adapters) &&
                          read_uint32(parsed, "running", state.running_requests);
    if (!complete) {
        return malformed_response(peer, "the engine's state is malformed");
    }
    return state;
}

errc order_error_code(int status) {
    switch (status) {
    case 404:
        return errc::not_found;
    case 409:
        return errc::fenced;
    case 502:
        return errc::load_failed;
    case 507:
        return errc::overloaded;
    default:
        return errc::unavailable;
    }
}

result<std::string> read_order_response(const net::fetched_response& response, const std::string& peer) {
    if (response.status != 200) {
        return make_error(order_error_code(response.status), step::load, peer,
                          "status " + std::to_string(response.status));
    }
    const std::string_view incarnation = net::find_header(response.headers, incarnation_header);
    if (incarnation.empty()) {
        return malformed_response(peer, "the response has no incarnation header");
    }
    return std::string{incarnation};
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

std::string to_string(const adapter_version& value) {
    return value.adapter + "@" + value.version;
}

std::optional<adapter_version> parse_adapter_version(std::string_view text) {
    const auto at = text.rfind('@');
    if (at == std::string_view::npos || at == 0 || at + 1 == text.size()) {
        return std::nullopt;
    }
    return adapter_version{std::string{text.substr(0, at)}, std::string{text.substr(at + 1)}};
}

http_engine::http_engine(net::http_client& client, http_engine_options options)
    : client_(client), options_(std::move(options)) {}

void http_engine::state(completion<engine_state> done) {
    net::http_call request;
    request.peer = options_.endpoint;
    request.target = "/v1/state";
    request.timeout = options_.state_timeout;
    const std::string peer = to_string(options_.endpoint);
    calls_.fetch(client_, std::move(request), max_state_bytes,
                 [peer, done = std::move(done)](const result<net::fetched_response>& response) {
                     done(response ? read_state_response(*response, peer) : response.error());
                 });
}

void http_engine::load(const engine_order& order, completion<std::string> done) {
    send_order("/v1/load_lora_adapter", order, std::move(done));
}

void http_engine::unload(const engine_order& order, completion<std::string> done) {
    send_order("/v1/unload_lora_adapter", order, std::move(done));
}

void http_engine::send_order(std::string target, const engine_order& order, completion<std::string> done) {
    net::http_call request;
    request.peer = options_.endpoint;
    request.method = "POST";
    request.target = std::move(target);
    request.headers = {{"content-type", "application/json"}};
    const json body{{"lora_name", to_string(order.target)}, {"fencing", order.fencing_number}};
    request.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    request.timeout = options_.order_timeout;
    const std::string peer = to_string(options_.endpoint);
    calls_.fetch(client_, std::move(request), max_state_bytes,
                 [peer, done = std::move(done)](const result<net::fetched_response>& response) {
                     done(response ? read_order_response(*response, peer) : response.error());
                 });
}

std::unique_ptr<engine_exchange> http_engine::call(engine_call request, engine_call_events events) {
    net::http_call outgoing;
    outgoing.peer = options_.endpoint;
    outgoing.method = std::move(request.method);
    outgoing.target = std::move(request.path);
    outgoing.body = std::move(request.body);
    outgoing.timeout = request.timeout;
    if (!request.content_type.empty()) {
        outgoing.headers.push_back({"content-type", std::move(request.content_type)});
    }
    if (!request.request_id.empty()) {
        outgoing.headers.push_back({"x-request-id", std::move(request.request_id)});
    }
    net::http_call_events handlers;
    handlers.on_head = [on_head = std::move(events.on_head)](int status, const net::http_headers& headers) {
        if (on_head) {
            on_head(status, std::string{net::find_header(headers, "content-type")},
                    std::string{net::find_header(headers, incarnation_header)});
        }
    };
    handlers.on_data = std::move(events.on_data);
    handlers.on_end = std::move(events.on_end);
    return std::make_unique<http_engine_exchange>(client_.send(std::move(outgoing), std::move(handlers)));
}

} // namespace samphiretray::ports

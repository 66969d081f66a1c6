#include "soak/platform_server.h"

#include "samphiretray/base/split.h"

#include <array>
#include <stdexcept>

namespace samphiretray::soak {

namespace {

using json = nlohmann::json;

constexpr std::size_t adapter_places = 3;
constexpr duration work_time = 15ms;
constexpr duration load_time = 60ms;
constexpr duration late_order = 1500ms;
constexpr int answer_parts = 4;
/// Between the parts of an answer that does not end.
constexpr duration part_pause = 5ms;
/// In this order while a server loses answers.
constexpr std::array answer_fates{answer_fate::lost, answer_fate::cut, answer_fate::copy_of_earlier,
                                  answer_fate::endless, answer_fate::stalled};

std::string header(const net::http_request& request, std::string_view name) {
    return std::string{net::find_header(request.headers, name)};
}

} // namespace

std::string whole_answer(const std::string& attempt) {
    std::string body;
    for (int part = 1; part <= answer_parts; ++part) {
        body += "id: " + std::to_string(part) + "\ndata: " + attempt + "\n\n";
    }
    return body;
}

platform_server::platform_server(net::loop& events, server_description description, promises& checks)
    : loop_(events), description_(std::move(description)), checks_(checks) {
    listen();
}

void platform_server::later(duration delay, std::function<void()> action) {
    const std::uint64_t id = next_timer_++;
    timers_[id] = loop_.after(delay, [this, id, action = std::move(action)] {
        loop_.post([kept = std::make_shared<net::timer_handle>(std::move(timers_.at(id)))] {});
        timers_.erase(id);
        action();
    });
}

void platform_server::listen() {
    auto created = net::http_server::create(
        loop_, {description_.listen},
        [this](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
            answer(request, response);
        });
    if (!created) {
        throw std::runtime_error(to_string(created.error()));
    }
    server_ = std::move(*created);
    id_ = description_.id + "-" + std::to_string(++starts_);
    ++born_;
}

void platform_server::crash(duration down) {
    if (!is_up()) {
        return;
    }
    loop_.post([gone = std::shared_ptr<net::http_server>(std::move(server_))] {});
    sequence_ = 0;
    fence_ = 0;
    models_.clear();
    adapters_.clear();
    later(down, [this] { listen(); });
}

std::string platform_server::entry() const {
    json models = json::array();
    if (description_.is_engine && !models_.empty()) {
        models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", json::array()}});
    }
    return json{{"service", description_.service},
                {"address", net::to_string(description_.advertised)},
                {"zone", description_.data_centre},
                {"version", "v1"},
                {"slots", 16},
                {"state", "ready"},
                {"seq", sequence_},
                {"born", born_},
                {"models", models}}
        .dump();
}

std::string platform_server::report() const {
    json adapters = json::array();
    for (const auto& [name, version] : adapters_) {
        adapters.push_back(name + "@" + std::to_string(version));
    }
    json models = json::array();
    if (!models_.empty()) {
        models.push_back({{"name", "m0"}, {"version", 1}, {"adapters", adapters}});
    }
    return json{{"models", models}, {"busy", false}, {"seq", sequence_}, {"born", born_}}.dump();
}

void platform_server::answer(const net::http_request& request,
                             const std::shared_ptr<net::http_response>& response) {
    if (request.path == "/v1/report") {
        response->send(200, {}, report());
    } else if (request.path == "/v1/order") {
        order(request, response);
    } else {
        run(request, response);
    }
}

void platform_server::order(const net::http_request& request,
                            const std::shared_ptr<net::http_response>& response) {
    const json wanted = json::parse(request.body);
    checks_.engine_ordered(description_.id, wanted["owner"], wanted["fencingToken"], fence_);
    if (late_orders_) {
        later(late_order, [this, wanted, response] { (void)carry_out(wanted); });
        return;
    }
    response->send(carry_out(wanted), {}, "");
}

int platform_server::carry_out(const json& wanted) {
    if (!is_up()) {
        return 503;
    }
    const std::uint64_t number = wanted["fencingToken"];
    if (number < fence_) {
        return 412;
    }
    fence_ = number;
    if (wanted.contains("precondition") && wanted["precondition"] != sequence_) {
        return 409;
    }
    const bool loads = wanted["operation"] == "load";
    if (!wanted.contains("adapter")) {
        ++sequence_;
        later(load_time, [this, born = born_] {
            if (born == born_) {
                models_ = {"m0"};
            }
        });
        return 202;
    }
    if (models_.empty()) {
        return 400;
    }
    ++sequence_;
    const std::string name = wanted["adapter"];
    if (!loads) {
        adapters_.erase(name);
        return 200;
    }
    adapters_[name] = wanted.value("version", std::uint64_t{1});
    if (adapters_.size() > adapter_places) {
        checks_.engine_overloaded(id_);
    }
    return 202;
}

void platform_server::run(const net::http_request& request,
                          const std::shared_ptr<net::http_response>& response) {
    const std::string attempt = header(request, "x-samphiretray-attempt-id");
    const std::string model = header(request, "x-samphiretray-model");
    const auto slash = model.find('/');
    const bool lacks_adapter = slash != std::string::npos && !adapters_.contains(model.substr(slash + 1));
    if (header(request, "x-samphiretray-expect-instance") != id_ || lacks_adapter ||
        (description_.is_engine && models_.empty())) {
        response->send(421, {{"x-samphiretray-attempt-id", attempt}, {"x-samphiretray-instance-id", id_}},
                       "");
        return;
    }
    const auto counts = split(net::find_header(request.headers, "x-samphiretray-token-count"), ',');
    const double tokens = counts.empty() ? 1 : parse_number<int>(counts[0]).value_or(1);
    const bool key_seen = !net::find_header(request.headers, "x-samphiretray-credential").empty();
    checks_.attempt_runs_at(id_, attempt, header(request, "x-samphiretray-tenant"), key_seen, tokens,
                            loop_.now());
    const auto fate = losing_ ? answer_fates.at(lost_++ % answer_fates.size()) : answer_fate::whole;
    const std::string id = id_;
    later(work_time, [this, response, attempt, fate, id] {
        if (id != id_ || !response->is_open()) {
            response->abort();
            return;
        }
        give_answer(response, attempt, fate);
    });
}

void platform_server::give_answer(const std::shared_ptr<net::http_response>& response,
                                  const std::string& attempt, answer_fate fate) {
    if (fate == answer_fate::lost) {
        response->abort();
        return;
    }
    const bool is_copy = fate == answer_fate::copy_of_earlier && !earlier_attempt_.empty();
    const std::string& named = is_copy ? earlier_attempt_ : attempt;
    const std::string whole = whole_answer(named);
    const std::string_view half = std::string_view{whole}.substr(0, whole.size() / 2);
    response->start(200, {{"x-samphiretray-attempt-id", named}, {"x-samphiretray-server-seal", "seal"}});
    switch (fate) {
    case answer_fate::lost:
        break;
    case answer_fate::cut:
        response->write(half);
        response->abort();
        break;
    case answer_fate::endless:
        response->write(half);
        go_on(response, std::string(64U << 10U, 'x'));
        break;
    case answer_fate::stalled:
        response->write(half);
        go_on(response, ":\n");
        break;
    case answer_fate::whole:
    case answer_fate::copy_of_earlier:
        response->write(whole);
        response->finish();
        break;
    }
    earlier_attempt_ = attempt;
}

void platform_server::go_on(const std::shared_ptr<net::http_response>& response, const std::string& bytes) {
    if (!response->is_open()) {
        return;
    }
    if (response->buffered_bytes() < (1U << 20U)) {
        response->write(bytes);
    }
    later(part_pause, [this, response, bytes] { go_on(response, bytes); });
}

} // namespace samphiretray::soak

#include "standins/load_preload.h"

#include "standins/load_schedule.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <ranges>
#include <string>
#include <vector>

namespace samphiretray::standins {

namespace {

constexpr int no_slot_status = 507;
constexpr int load_failed_status = 502;
constexpr duration load_timeout = 30s;
/// Wait before a failed load is tried again. The weight store refuses loads above its rate, which fails them.
constexpr duration retry_delay = 500ms;
constexpr int max_attempts = 20;

/// Adapter versions by their number of requests in the plan, most requested first.
std::vector<std::string> models_by_popularity(const load_plan& plan) {
    std::map<std::string, std::size_t> counts;
    load_schedule schedule{plan};
    while (const auto request = schedule.next()) {
        counts[request->model()] += request->model().empty() ? 0 : 1;
    }
    counts.erase("");
    std::vector<std::string> models;
    models.reserve(counts.size());
    std::ranges::copy(counts | std::views::keys, std::back_inserter(models));
    std::ranges::sort(models, std::greater{},
                      [&counts](const std::string& model) { return counts.at(model); });
    return models;
}

/// HTTP status of one load, or 0 if there was no response.
int load_once(net::loop& events, net::http_client& client, const net::address& engine,
              const std::string& model) {
    net::http_call call;
    call.peer = engine;
    call.method = "POST";
    call.target = "/v1/load_lora_adapter";
    call.body = nlohmann::json{{"lora_name", model}, {"fencing", 1}}.dump();
    call.timeout = load_timeout;
    int status = 0;
    bool is_done = false;
    const auto exchange = client.fetch(std::move(call), [&](const result<net::http_answer>& answer) {
        status = answer ? answer->status : 0;
        is_done = true;
    });
    (void)events.run_until([&] { return is_done; }, 2 * load_timeout);
    return status;
}

int load_with_retries(net::loop& events, net::http_client& client, const net::address& engine,
                      const std::string& model) {
    int status = load_failed_status;
    for (int attempt = 0; attempt < max_attempts && status == load_failed_status; ++attempt) {
        status = load_once(events, client, engine, model);
        if (status == load_failed_status) {
            (void)events.run_until([] { return false; }, retry_delay);
        }
    }
    return status;
}

} // namespace

std::size_t preload_adapters(net::loop& events, net::http_client& client, const load_plan& plan) {
    const std::vector<std::string> models = models_by_popularity(plan);
    std::size_t loaded = 0;
    for (const net::address& engine : plan.targets) {
        for (const std::string& model : models) {
            const int status = load_with_retries(events, client, engine, model);
            if (status == no_slot_status || status == 0) {
                break;
            }
            loaded += status == 200 ? 1 : 0;
        }
    }
    return loaded;
}

} // namespace samphiretray::standins

#include "soak/platform_store.h"

#include "samphiretray/base/base64.h"
#include "samphiretray/base/split.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <stdexcept>

namespace samphiretray::soak {

namespace {

using json = nlohmann::json;

constexpr duration tick_interval = 10ms;

std::uint64_t number_in(const std::string& query, const char* name) {
    return parse_number<std::uint64_t>(net::find_query(query, name)).value_or(0);
}

} // namespace

platform_store::platform_store(net::loop& events, const net::address& listen) : loop_(events) {
    auto created = net::http_server::create(
        events, {listen},
        [this](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
            answer(request, response);
        });
    if (!created) {
        throw std::runtime_error(to_string(created.error()));
    }
    server_ = std::move(*created);
    timer_ = loop_.every(tick_interval, [this] { tick(); });
}

void platform_store::compact() {
    history_.clear();
    dropped_until_ = revision_;
}

void platform_store::write(const std::string& key, const std::string& value) {
    item& of = items_[key];
    of.value = to_base64(value);
    of.revision = ++revision_;
    history_.push_back({key, revision_, false, of.value});
    on_change();
}

void platform_store::remove(const std::string& key) {
    if (items_.erase(key) > 0) {
        history_.push_back({key, ++revision_, true, {}});
        on_change();
    }
}

void platform_store::answer(const net::http_request& request,
                            const std::shared_ptr<net::http_response>& response) {
    if (fault_ == store_fault::refusing) {
        response->send(503, {}, "");
    } else if (fault_ == store_fault::silent) {
        silent_.push_back(response);
    } else if (request.path == "/v1/kv-range") {
        list(request, *response);
    } else if (request.path == "/v1/kv-watch") {
        watch(request, response);
    } else if (request.path == "/v1/kv-txn") {
        transact(request, *response);
    } else if (request.path == "/v1/kv-lease") {
        const std::uint64_t ttl = json::parse(request.body)["ttlMs"];
        const duration lease = std::chrono::milliseconds{ttl};
        leases_[next_lease_] = {lease, loop_.now() + lease};
        response->send(200, {}, json{{"lease", next_lease_++}, {"ttlMs", ttl}}.dump());
    } else if (request.path.starts_with("/v1/kv-keep/")) {
        const auto found = leases_.find(parse_number<std::uint64_t>(request.path.substr(12)).value_or(0));
        if (found == leases_.end()) {
            response->send(404, {}, "{}");
            return;
        }
        found->second.second = loop_.now() + found->second.first;
        response->send(200, {}, json{{"ttlMs", milliseconds_in(found->second.first)}}.dump());
    } else {
        response->send(404, {}, "{}");
    }
}

void platform_store::list(const net::http_request& request, net::http_response& response) {
    const std::string prefix = net::find_query(request.query, "prefix");
    json items = json::array();
    for (const auto& [key, of] : items_) {
        if (key.starts_with(prefix)) {
            items.push_back({{"key", key}, {"value", of.value}, {"revision", of.revision}});
        }
    }
    response.send(200, {}, json{{"items", items}, {"hasMore", false}, {"at", revision_}}.dump());
}

std::string platform_store::changes_after(const std::string& prefix, std::uint64_t after, bool& found) const {
    json events = json::array();
    for (const change& each : history_) {
        if (each.revision <= after || !each.key.starts_with(prefix)) {
            continue;
        }
        json event{{"key", each.key}, {"revision", each.revision}};
        each.removed ? event["removed"] = true : event["value"] = each.value;
        events.push_back(std::move(event));
    }
    found = !events.empty();
    return json{{"events", events}, {"at", revision_}}.dump();
}

void platform_store::watch(const net::http_request& request,
                           const std::shared_ptr<net::http_response>& response) {
    const std::uint64_t after = number_in(request.query, "after");
    if (after < dropped_until_) {
        response->send(410, {}, "{}");
        return;
    }
    const duration wait = std::chrono::milliseconds{number_in(request.query, "waitMs")};
    watches_.push_back({net::find_query(request.query, "prefix"), after, response, loop_.now() + wait});
    on_change();
}

void platform_store::transact(const net::http_request& request, net::http_response& response) {
    const json body = json::parse(request.body);
    for (const json& put : body["puts"]) {
        const std::uint64_t lease = put.value("lease", std::uint64_t{0});
        if (lease != 0 && !leases_.contains(lease)) {
            response.send(404, {}, "{}");
            return;
        }
        item& of = items_[put["key"]];
        of = {put["value"], ++revision_, lease};
        history_.push_back({put["key"], revision_, false, of.value});
    }
    on_change();
    if (fault_ == store_fault::losing) {
        response.abort();
        return;
    }
    response.send(200, {}, json{{"revision", revision_}}.dump());
}

void platform_store::on_change() {
    if (fault_ != store_fault::none && fault_ != store_fault::losing) {
        return;
    }
    const time_point now = loop_.now();
    std::erase_if(watches_, [this, now](const waiting_watch& each) {
        bool found = false;
        const std::string changes = changes_after(each.prefix, each.after, found);
        const bool is_stale = each.after < dropped_until_;
        if (is_stale) {
            each.response->send(410, {}, "{}");
        } else if (found || now >= each.until) {
            each.response->send(200, {}, changes);
        }
        return is_stale || found || now >= each.until || !each.response->is_open();
    });
}

void platform_store::tick() {
    const time_point now = loop_.now();
    // Leases pause while the store is away.
    if (fault_ == store_fault::none || fault_ == store_fault::losing) {
        std::vector<std::string> lapsed;
        std::erase_if(leases_, [&](const auto& lease) {
            const bool due = lease.second.second <= now;
            for (const auto& [key, of] : items_) {
                if (due && of.lease == lease.first) {
                    lapsed.push_back(key);
                }
            }
            return due;
        });
        std::ranges::for_each(lapsed, [this](const std::string& key) { remove(key); });
        silent_.clear();
    }
    on_change();
}

} // namespace samphiretray::soak

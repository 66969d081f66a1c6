#include "soak/platform_store.h"

#include "samphiretray/base/base64.h"
#include "samphiretray/base/text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <stdexcept>

namespace samphiretray::soak {

namespace {

using json = nlohmann::json;

constexpr duration tick_interval = 10ms;

std::uint64_t query_number(const std::string& query, const char* name) {
    return parse_number<std::uint64_t>(net::find_query_parameter(query, name)).value_or(0);
}

} // namespace

platform_store::platform_store(net::loop& events, const net::address& listen) : loop_(events) {
    auto created = net::http_server::create(
        events, {listen},
        [this](const net::http_request& request, const std::shared_ptr<net::http_response>& response) {
            handle_request(request, response);
        });
    if (!created) {
        throw std::runtime_error(to_string(created.error()));
    }
    server_ = std::move(*created);
    timer_ = loop_.every(tick_interval, [this] { tick(); });
}

void platform_store::reply(net::http_response& response, int status, const std::string& body) const {
    response.send(status, {{"store-era", std::to_string(era_)}}, body);
}

void platform_store::restore() {
    content_ = copy_;
    ++era_;
    answer_watches();
}

std::vector<std::string> platform_store::keys(const std::string& prefix) const {
    std::vector<std::string> found;
    std::ranges::copy_if(content_.items | std::views::keys, std::back_inserter(found),
                         [&prefix](const std::string& key) { return key.starts_with(prefix); });
    return found;
}

void platform_store::compact() {
    content_.history.clear();
    content_.compacted_revision = content_.revision;
}

void platform_store::write(const std::string& key, const std::string& value) {
    item& stored = content_.items[key];
    stored.value = to_base64(value);
    stored.revision = ++content_.revision;
    content_.history.push_back({key, content_.revision, false, stored.value});
    answer_watches();
}

void platform_store::remove(const std::string& key) {
    if (content_.items.erase(key) > 0) {
        content_.history.push_back({key, ++content_.revision, true, {}});
        answer_watches();
    }
}

void platform_store::handle_request(const net::http_request& request,
                                    const std::shared_ptr<net::http_response>& response) {
    if (fault_ == store_fault::refusing) {
        reply(*response, 503, "");
    } else if (fault_ == store_fault::silent) {
        unanswered_.push_back(response);
    } else if (request.path == "/v1/kv-range") {
        list(request, *response);
    } else if (request.path == "/v1/kv-watch") {
        watch(request, response);
    } else if (request.path == "/v1/kv-txn") {
        transact(request, *response);
    } else if (request.path == "/v1/kv-lease") {
        const std::uint64_t ttl = json::parse(request.body)["ttlMs"];
        const duration lease = std::chrono::milliseconds{ttl};
        content_.leases[content_.next_lease_id] = {lease, loop_.now() + lease};
        reply(*response, 200, json{{"lease", content_.next_lease_id++}, {"ttlMs", ttl}}.dump());
    } else if (request.path.starts_with("/v1/kv-keep/")) {
        const auto found =
            content_.leases.find(parse_number<std::uint64_t>(request.path.substr(12)).value_or(0));
        if (found == content_.leases.end()) {
            reply(*response, 404, "{}");
            return;
        }
        found->second.second = loop_.now() + found->second.first;
        reply(*response, 200, json{{"ttlMs", milliseconds_in(found->second.first)}}.dump());
    } else {
        reply(*response, 404, "{}");
    }
}

void platform_store::list(const net::http_request& request, net::http_response& response) {
    const std::string prefix = net::find_query_parameter(request.query, "prefix");
    json items = json::array();
    for (const auto& [key, stored] : content_.items) {
        if (key.starts_with(prefix)) {
            items.push_back({{"key", key}, {"value", stored.value}, {"revision", stored.revision}});
        }
    }
    reply(response, 200, json{{"items", items}, {"hasMore", false}, {"at", content_.revision}}.dump());
}

std::string platform_store::changes_after(const std::string& prefix, std::uint64_t after_revision,
                                          bool& has_changes) const {
    json events = json::array();
    for (const change& each : content_.history) {
        if (each.revision <= after_revision || !each.key.starts_with(prefix)) {
            continue;
        }
        json event{{"key", each.key}, {"revision", each.revision}};
        each.removed ? event["removed"] = true : event["value"] = each.value;
        events.push_back(std::move(event));
    }
    has_changes = !events.empty();
    return json{{"events", events}, {"at", content_.revision}}.dump();
}

void platform_store::watch(const net::http_request& request,
                           const std::shared_ptr<net::http_response>& response) {
    const std::uint64_t after_revision = query_number(request.query, "after");
    if (after_revision < content_.compacted_revision || after_revision > content_.revision) {
        reply(*response, 410, "{}");
        return;
    }
    const duration wait = std::chrono::milliseconds{query_number(request.query, "waitMs")};
    watches_.push_back(
        {net::find_query_parameter(request.query, "prefix"), after_revision, response, loop_.now() + wait});
    answer_watches();
}

std::string platform_store::translated(const std::string& key, const std::string& value) const {
    std::string text = from_base64(value).value_or("");
    for (const translation& each : translations_) {
        const std::size_t at = key.starts_with(each.prefix) ? text.find(each.what) : std::string::npos;
        if (at != std::string::npos) {
            text.replace(at, each.what.size(), each.by);
        }
    }
    return to_base64(text);
}

void platform_store::transact(const net::http_request& request, net::http_response& response) {
    const json body = json::parse(request.body);
    for (const json& put : body["puts"]) {
        const std::uint64_t lease = put.value("lease", std::uint64_t{0});
        if (lease != 0 && !content_.leases.contains(lease)) {
            reply(response, 404, "{}");
            return;
        }
        item& stored = content_.items[put["key"]];
        stored = {translated(put["key"], put["value"]), ++content_.revision, lease};
        content_.history.push_back({put["key"], content_.revision, false, stored.value});
    }
    answer_watches();
    if (fault_ == store_fault::lost_replies) {
        response.abort();
        return;
    }
    reply(response, 200, json{{"revision", content_.revision}}.dump());
}

void platform_store::answer_watches() {
    if (fault_ != store_fault::none && fault_ != store_fault::lost_replies) {
        return;
    }
    const time_point now = loop_.now();
    std::erase_if(watches_, [this, now](const pending_watch& each) {
        bool has_changes = false;
        const std::string changes = changes_after(each.prefix, each.after_revision, has_changes);
        const bool is_stale =
            each.after_revision < content_.compacted_revision || each.after_revision > content_.revision;
        if (is_stale) {
            reply(*each.response, 410, "{}");
        } else if (has_changes || now >= each.deadline) {
            reply(*each.response, 200, changes);
        }
        return is_stale || has_changes || now >= each.deadline || !each.response->is_open();
    });
}

void platform_store::tick() {
    const time_point now = loop_.now();
    // Leases do not expire while the store is unavailable.
    if (fault_ == store_fault::none || fault_ == store_fault::lost_replies) {
        std::vector<std::string> expired;
        std::erase_if(content_.leases, [&](const auto& lease) {
            const bool is_expired = lease.second.second <= now;
            for (const auto& [key, stored] : content_.items) {
                if (is_expired && stored.lease == lease.first) {
                    expired.push_back(key);
                }
            }
            return is_expired;
        });
        std::ranges::for_each(expired, [this](const std::string& key) { remove(key); });
        unanswered_.clear();
    }
    answer_watches();
}

} // namespace samphiretray::soak

#include "samphiretray/gateway/release_exchange.h"

#include "samphiretray/base/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace samphiretray::gateway {

namespace {

using json = nlohmann::json;

constexpr duration message_timeout = 400ms;
constexpr duration retry_delay = 100ms;
/// Together with the timeouts about two seconds, well within the time for which an older version may be used.
constexpr std::uint32_t max_failures = 4;

} // namespace

std::string encode_releases(const std::vector<adapter_release>& releases) {
    json list = json::array();
    std::ranges::transform(releases, std::back_inserter(list), [](const adapter_release& each) {
        return json::array({each.adapter, each.version});
    });
    return list.dump();
}

result<std::vector<adapter_release>> decode_releases(std::string_view text, std::string_view peer) {
    const json parsed = json::parse(text, nullptr, false);
    const bool is_list =
        parsed.is_array() && std::ranges::all_of(parsed, [](const json& each) {
            return each.is_array() && each.size() == 2 && each[0].is_string() && each[1].is_number_unsigned();
        });
    if (!is_list) {
        return make_error(errc::protocol_error, step::parse, std::string{peer},
                          "the message does not list releases");
    }
    std::vector<adapter_release> releases;
    std::ranges::transform(parsed, std::back_inserter(releases), [](const json& each) {
        return adapter_release{each[0].get<std::string>(), each[1].get<std::uint64_t>()};
    });
    return releases;
}

void release_exchange::announce(const std::set<std::string>& hosts, const adapter_release& release) {
    if (port_ == 0) {
        return;
    }
    for (const std::string& host : hosts) {
        announcement& current = announcements_[host];
        current.releases[release.adapter] = release.version;
        current.failures = 0;
        if (!current.exchange && !current.retry) {
            send(host);
        }
    }
}

void release_exchange::send(const std::string& host) {
    announcement& current = announcements_[host];
    // This may run in the timer's callback.
    loop_.dispose_later(std::move(current.retry));
    std::vector<adapter_release> sent;
    std::ranges::transform(current.releases, std::back_inserter(sent), [](const auto& each) {
        return adapter_release{each.first, each.second};
    });
    net::http_call call;
    call.peer = {host, port_};
    call.method = "POST";
    call.target = releases_path;
    call.body = encode_releases(sent);
    call.timeout = message_timeout;
    current.exchange =
        http_.fetch(std::move(call), [this, host, sent](const result<net::fetched_response>& answer) {
            on_answer(host, sent, answer);
        });
}

void release_exchange::on_answer(const std::string& host, const std::vector<adapter_release>& sent,
                                 const result<net::fetched_response>& answer) {
    announcement& current = announcements_[host];
    // This runs in a callback of the exchange, which must not be destroyed inside it.
    loop_.post([kept = std::shared_ptr<net::http_exchange>(std::move(current.exchange))] {});
    const bool is_confirmed = answer && answer->status == 200;
    if (is_confirmed) {
        for (const adapter_release& each : sent) {
            if (const auto found = current.releases.find(each.adapter);
                found != current.releases.end() && found->second == each.version) {
                current.releases.erase(found);
            }
        }
    } else {
        ++current.failures;
        log_event(
            log_level::info, "releases_not_announced",
            {{"at", host},
             {"failures", current.failures},
             {"failure", answer ? "status " + std::to_string(answer->status) : to_string(answer.error())}});
    }
    if (current.releases.empty() || current.failures >= max_failures) {
        announcements_.erase(host);
        return;
    }
    current.retry = loop_.after(is_confirmed ? 0ms : retry_delay, [this, host] { send(host); });
}

} // namespace samphiretray::gateway

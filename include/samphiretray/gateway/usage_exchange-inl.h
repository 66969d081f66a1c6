#pragma once

#include "samphiretray/gateway/usage_exchange.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::gateway {

template <typename Store>
usage_exchange<Store>::usage_exchange(net::loop& events, net::http_client& http, Store& store,
                                      exchange_settings settings, rate::fleet_rate_limiter& usage,
                                      routing::crash_quarantine& quarantine,
                                      routing::request_quarantine& requests, rate::endpoint_limits& limits)
    : loop_(events), http_(http), settings_(std::move(settings)), usage_(usage), quarantine_(quarantine),
      requests_(requests), limits_(limits),
      registration_(events, store,
                    {.key = std::string{prefix} + settings_.vm,
                     .value = net::to_string(settings_.listen) + " " + settings_.data_centre}),
      follower_(events, store,
                {.prefix = std::string{prefix}, .min_watch_interval = 1s, .max_watch_wait = watch_wait},
                {.on_change = [this](const ports::store_change& change, bool) { on_change(change); },
                 .on_synchronized = [] {}}) {}

template <typename Store>
void usage_exchange<Store>::start() {
    registration_.start();
    follower_.start();
    pull_next();
}

template <typename Store>
void usage_exchange<Store>::on_change(const ports::store_change& change) {
    const std::string name = change.key.substr(prefix.size());
    if (name == settings_.vm) {
        if (!change.value) {
            registration_.renew_lost_key();
        }
        return;
    }
    if (!change.value) {
        if (const auto found = peers_.find(name); found != peers_.end()) {
            found->second.unregistered_at = loop_.now();
            publish_peers();
        }
        return;
    }
    const std::string_view value{*change.value};
    const std::size_t end_of_address = std::min(value.find(' '), value.size());
    const auto address = net::parse_address(value.substr(0, end_of_address));
    if (!address) {
        log_event(log_level::warning, "peer_address_unreadable",
                  {{"peer", name}, {"failure", to_string(address.error())}});
        return;
    }
    peer& known = peers_[name];
    known.at = *address;
    known.data_centre = value.substr(std::min(end_of_address + 1, value.size()));
    known.unregistered_at.reset();
    publish_peers();
}

template <typename Store>
bool usage_exchange<Store>::hears_all_peers() const {
    return std::ranges::none_of(peers_ | std::views::values,
                                [](const peer& each) { return each.is_lost && !each.unregistered_at; });
}

template <typename Store>
void usage_exchange<Store>::remove_unregistered() {
    const time_point now = loop_.now();
    const auto removed = std::erase_if(peers_, [&](const auto& each) {
        return each.second.unregistered_at && now - *each.second.unregistered_at > settings_.removal_grace;
    });
    if (removed > 0) {
        publish_peers();
    }
}

template <typename Store>
void usage_exchange<Store>::publish_peers() {
    std::vector<std::string> names;
    std::ranges::copy(peers_ | std::views::keys, std::back_inserter(names));
    usage_.set_peers(names, loop_.now());
    names.push_back(settings_.vm);
    quarantine_.set_members(settings_.vm, names);
    requests_.set_members(settings_.vm, names);
    limits_.set_members(settings_.vm, std::move(names));
    log_event(log_level::info, "peers_changed", {{"peers", peers_.size()}});
    if (!on_peers_) {
        return;
    }
    std::vector<peer_entry> registered;
    for (const auto& [name, known] : peers_) {
        if (!known.unregistered_at) {
            registered.push_back({name, known.at, known.data_centre});
        }
    }
    on_peers_(registered);
}

template <typename Store>
void usage_exchange<Store>::pull_next() {
    remove_unregistered();
    const auto count = static_cast<double>(std::max<std::size_t>(peers_.size(), 1));
    const std::chrono::duration<double> paced{1.0 / settings_.pulls_per_s};
    const std::chrono::duration<double> shortest = settings_.min_interval;
    const auto between = std::chrono::duration_cast<duration>(std::max(paced, shortest / count));
    timer_ = loop_.after(between, [this] { pull_next(); });
    usage_.set_report_interval(scaled(between, count));
    if (peers_.empty()) {
        return;
    }
    auto next = peers_.upper_bound(last_pulled_);
    next = next == peers_.end() ? peers_.begin() : next;
    last_pulled_ = next->first;
    pull(next->first, next->second);
}

template <typename Store>
void usage_exchange<Store>::pull(const std::string& name, peer& from) {
    if (from.pending_pull) {
        return;
    }
    net::http_call call;
    call.peer = from.at;
    call.target = "/usage?incarnation=" + net::url_encode(from.incarnation) +
                  "&crashes_after=" + std::to_string(from.crash_revision) +
                  "&requests_after=" + std::to_string(from.request_revision);
    call.timeout = settings_.pull_timeout;
    from.pending_pull =
        http_.fetch(std::move(call),
                    [this, name](const result<net::fetched_response>& answer) { on_report(name, answer); });
}

template <typename Store>
void usage_exchange<Store>::on_report(const std::string& name, const result<net::fetched_response>& answer) {
    const auto found = peers_.find(name);
    if (found == peers_.end()) {
        return;
    }
    loop_.post([kept = std::shared_ptr<net::http_exchange>(std::move(found->second.pending_pull))] {});
    const auto report =
        answer ? decode_usage_report(answer->body, name) : result<usage_report>{answer.error()};
    if (std::exchange(found->second.is_lost, !report) != !report) {
        log_event(report ? log_level::info : log_level::warning, report ? "peer_regained" : "peer_lost",
                  {{"peer", name}, {"failure", report ? "" : to_string(report.error())}});
    }
    if (report) {
        usage_.on_peer_report(name, report->incarnation, report->spent, loop_.now());
        found->second.incarnation = report->incarnation;
        found->second.crash_revision = report->crashes.revision;
        found->second.request_revision = report->requests.revision;
        quarantine_.merge(report->crashes, loop_.now());
        requests_.merge(report->requests, loop_.now());
        limits_.merge(report->limits, loop_.now());
    }
}

} // namespace samphiretray::gateway

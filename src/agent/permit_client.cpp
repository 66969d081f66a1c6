#include "samphiretray/agent/permit_client.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/node/rendezvous.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphiretray::agent {

namespace {

/// The holder drops requests that are not repeated within 3 s.
constexpr duration repeat_interval = 1s;
/// After this time without an answer of a holder an agent uses its local rate.
constexpr duration issuer_silence = 5s;

} // namespace

permit_client::permit_client(net::loop& events, std::string endpoint, node::peer_directory& peers,
                             const control::membership& members,
                             std::function<bool(const ports::adapter_version&)> granted)
    : loop_(events), endpoint_(std::move(endpoint)), peers_(peers), members_(members),
      granted_(std::move(granted)), random_(hash64(endpoint_)), local_({}, 1, random_, events.now()),
      issuer_seen_(events.now()) {}

permit_client::~permit_client() {
    *alive_ = false;
}

void permit_client::update(const std::vector<wanted_load>& wanted) {
    std::erase_if(requests_, [&](const auto& entry) {
        const bool is_wanted =
            std::ranges::any_of(wanted, [&](const wanted_load& each) { return each.adapter == entry.first; });
        if (is_wanted || entry.second.in_use) {
            return false;
        }
        cancel(entry.second);
        return true;
    });
    for (const wanted_load& each : wanted) {
        const auto [found, is_new] = requests_.try_emplace(each.adapter);
        request& asked = found->second;
        if (asked.in_use) {
            continue;
        }
        const time_point now = loop_.now();
        if (is_new) {
            asked.first_sent = now;
        }
        if (is_new || asked.priority != each.priority || now - asked.last_sent >= repeat_interval) {
            send(each.adapter, asked, each);
        }
        if (now - issuer_seen_ > issuer_silence && now - asked.first_sent > issuer_silence) {
            try_local(each.adapter, asked);
        }
    }
}

void permit_client::send(const ports::adapter_version& adapter, request& asked, const wanted_load& wanted) {
    asked.priority = wanted.priority;
    asked.last_sent = loop_.now();
    asked.round = next_round_++;
    const auto entries = members_.live_entries(loop_.now());
    const auto ranked = node::rank_for(node::loads_duty, entries);
    if (ranked.empty()) {
        return;
    }
    const ports::vm& issuer = *ranked[issuer_rank_ % std::min(ranked.size(), node::duty_candidates)];
    const wire::permit_request message{asked.round,     endpoint_,       adapter.adapter,
                                       adapter.version, wanted.priority, wanted.waiting};
    peers_.connect(issuer.name, issuer.peer_address,
                   [this, adapter, message, alive = alive_](const result<node::peer_pointer>& link) {
                       if (!*alive) {
                           return;
                       }
                       if (!link) {
                           ++issuer_rank_;
                           return;
                       }
                       (*link)->send(message);
                       const auto found = requests_.find(adapter);
                       if (found != requests_.end() && found->second.round == message.round) {
                           found->second.issuer = *link;
                       }
                   });
}

void permit_client::cancel(const request& asked) {
    if (asked.issuer && asked.issuer->is_open()) {
        asked.issuer->send(wire::permit_cancel{asked.round});
    }
}

void permit_client::try_local(const ports::adapter_version& adapter, request& asked) {
    const auto agents =
        static_cast<std::uint32_t>(std::ranges::count_if(members_.live(loop_.now()), [](const ports::vm* vm) {
            return vm->kind == wire::role::agent && !vm->base_model.empty();
        }));
    local_.set_agents(std::max(agents, 1U), loop_.now());
    if (local_.try_start(asked.priority, loop_.now())) {
        start(adapter, asked, true);
    }
}

void permit_client::start(const ports::adapter_version& adapter, request& asked, bool local) {
    asked.in_use = true;
    asked.local = local;
    // The load may end inside the call, which erases the request and the name that `adapter` refers to.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    const ports::adapter_version target = adapter;
    if (!granted_(target)) {
        done(target, false);
    }
}

void permit_client::done(const ports::adapter_version& adapter, bool loaded) {
    const auto found = requests_.find(adapter);
    if (found == requests_.end() || !found->second.in_use) {
        return;
    }
    const request ended = std::move(found->second);
    requests_.erase(found);
    if (ended.local) {
        local_.done();
    } else if (ended.issuer && ended.issuer->is_open()) {
        ended.issuer->send(wire::permit_done{ended.round, loaded});
    }
}

bool permit_client::handle(const node::peer_pointer& from, const wire::message& value) {
    const auto* reply = std::get_if<wire::permit_reply>(&value);
    if (reply == nullptr) {
        return false;
    }
    const auto found = std::ranges::find_if(
        requests_, [reply](const auto& entry) { return entry.second.round == reply->round; });
    if (!reply->issuer) {
        ++issuer_rank_;
        if (found != requests_.end()) {
            // Ask the next candidate at the next update.
            found->second.last_sent = loop_.now() - repeat_interval;
        }
        return true;
    }
    issuer_seen_ = loop_.now();
    if (!reply->granted) {
        return true;
    }
    const bool wanted = found != requests_.end() && !found->second.in_use;
    const bool in_time =
        wanted && loop_.now() - found->second.last_sent < std::chrono::milliseconds{reply->valid_ms};
    if (!in_time) {
        // The permit crossed a cancellation or a repetition, or came too late.
        from->send(wire::permit_done{reply->round, false});
        return true;
    }
    found->second.issuer = from;
    start(found->first, found->second, false);
    return true;
}

} // namespace samphiretray::agent

#include "samphiretray/agent/permit_client.h"

#include "samphiretray/base/hash.h"
#include "samphiretray/node/rendezvous.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace samphiretray::agent {

namespace {

/// The duty holder drops requests that are not repeated within 3 s.
constexpr duration repeat_interval = 1s;
/// After this time without an answer from a duty holder the agent uses its local rate limit.
constexpr duration issuer_timeout = 5s;

} // namespace

permit_client::permit_client(net::loop& events, std::string endpoint, node::peer_directory& peers,
                             const control::membership& members,
                             std::function<bool(const ports::adapter_version&)> on_granted)
    : loop_(events), endpoint_(std::move(endpoint)), peers_(peers), members_(members),
      on_granted_(std::move(on_granted)), random_(hash64(endpoint_)),
      local_limit_({}, 1, random_, events.now()), issuer_answered_at_(events.now()) {}

permit_client::~permit_client() {
    *alive_ = false;
}

void permit_client::update(const std::vector<wanted_load>& wanted) {
    std::erase_if(requests_, [&](const auto& entry) {
        const bool is_wanted =
            std::ranges::any_of(wanted, [&](const wanted_load& each) { return each.adapter == entry.first; });
        if (is_wanted || entry.second.permit_in_use) {
            return false;
        }
        cancel(entry.second);
        return true;
    });
    for (const wanted_load& each : wanted) {
        const auto [found, is_new] = requests_.try_emplace(each.adapter);
        request& pending = found->second;
        if (pending.permit_in_use) {
            continue;
        }
        const time_point now = loop_.now();
        if (is_new) {
            pending.first_sent = now;
        }
        if (is_new || pending.priority != each.priority || now - pending.last_sent >= repeat_interval) {
            send(each.adapter, pending, each);
        }
        if (now - issuer_answered_at_ > issuer_timeout && now - pending.first_sent > issuer_timeout) {
            try_local(each.adapter, pending);
        }
    }
}

void permit_client::send(const ports::adapter_version& adapter, request& pending, const wanted_load& wanted) {
    pending.priority = wanted.priority;
    pending.last_sent = loop_.now();
    pending.round = next_round_++;
    const auto entries = members_.live_entries(loop_.now());
    const auto ranked = node::rank_by_rendezvous_hash(node::loads_duty, entries);
    if (ranked.empty()) {
        return;
    }
    const ports::vm& issuer = *ranked[issuer_index_ % std::min(ranked.size(), node::candidates_per_duty)];
    const wire::permit_request message{pending.round,   endpoint_,       adapter.adapter,
                                       adapter.version, wanted.priority, wanted.waiting};
    peers_.connect(issuer.name, issuer.peer_address,
                   [this, adapter, message, alive = alive_](const result<node::peer_pointer>& link) {
                       if (!*alive) {
                           return;
                       }
                       if (!link) {
                           ++issuer_index_;
                           return;
                       }
                       (*link)->send(message);
                       const auto found = requests_.find(adapter);
                       if (found != requests_.end() && found->second.round == message.round) {
                           found->second.issuer = *link;
                       }
                   });
}

void permit_client::cancel(const request& pending) {
    if (pending.issuer && pending.issuer->is_open()) {
        pending.issuer->send(wire::permit_cancel{pending.round});
    }
}

void permit_client::try_local(const ports::adapter_version& adapter, request& pending) {
    const auto agents =
        static_cast<std::uint32_t>(std::ranges::count_if(members_.live(loop_.now()), [](const ports::vm* vm) {
            return vm->kind == wire::role::agent && !vm->base_model.empty();
        }));
    local_limit_.set_agents(std::max(agents, 1U), loop_.now());
    if (local_limit_.try_start(pending.priority, loop_.now())) {
        start(adapter, pending, true);
    }
}

void permit_client::start(const ports::adapter_version& adapter, request& pending, bool local_permit) {
    pending.permit_in_use = true;
    pending.local_permit = local_permit;
    // The load may end inside the call, which erases the request and the object that `adapter` refers to.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    const ports::adapter_version target = adapter;
    if (!on_granted_(target)) {
        done(target, false);
    }
}

void permit_client::done(const ports::adapter_version& adapter, bool loaded) {
    const auto found = requests_.find(adapter);
    if (found == requests_.end() || !found->second.permit_in_use) {
        return;
    }
    const request ended = std::move(found->second);
    requests_.erase(found);
    if (ended.local_permit) {
        local_limit_.done();
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
        ++issuer_index_;
        if (found != requests_.end()) {
            // Makes the next update send the request to the next candidate.
            found->second.last_sent = loop_.now() - repeat_interval;
        }
        return true;
    }
    issuer_answered_at_ = loop_.now();
    if (!reply->granted) {
        return true;
    }
    const bool wanted = found != requests_.end() && !found->second.permit_in_use;
    const bool in_time =
        wanted && loop_.now() - found->second.last_sent < std::chrono::milliseconds{reply->valid_ms};
    if (!in_time) {
        // The permit crossed a cancellation or a repeated request, or arrived after its validity. Return it.
        from->send(wire::permit_done{reply->round, false});
        return true;
    }
    found->second.issuer = from;
    start(found->first, found->second, false);
    return true;
}

} // namespace samphiretray::agent

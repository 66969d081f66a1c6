#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/entry/rate_controller.h"
#include "samphiretray/node/rendezvous.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace samphiretray::entry {

template <ports::key_value_service KeyValue>
rate_controller<KeyValue>::rate_controller(net::loop& events, const config::entry_settings& settings,
                                           const node::peer_identity& self, KeyValue& service,
                                           node::peer_directory& peers, const control::membership& members,
                                           control::contact_tracker& contact)
    : loop_(events), settings_(settings), self_(self), service_(service), peers_(peers), members_(members),
      contact_(contact), shards_(settings.rate_shards) {
    for (std::uint32_t number = 0; number < settings.rate_shards; ++number) {
        auto lease = control::duty_lease(self_.region, duty_name(number), self_.vm, self_.incarnation);
        // Grants stay valid after their issuer has stopped, so the next issuer starts once they have expired.
        lease.release_wait = rate::grant_validity;
        shards_[number].duty =
            std::make_unique<node::duty_runner<KeyValue>>(loop_, service_, contact_, std::move(lease));
    }
}

template <ports::key_value_service KeyValue>
rate_controller<KeyValue>::~rate_controller() {
    *alive_ = false;
}

template <ports::key_value_service KeyValue>
std::uint32_t rate_controller<KeyValue>::shard_of(const std::string& organisation) const {
    return static_cast<std::uint32_t>(hash64(organisation) % shards_.size());
}

template <ports::key_value_service KeyValue>
std::string rate_controller<KeyValue>::duty_name(std::uint32_t shard_number) const {
    return "rate-" + std::to_string(shard_number);
}

template <ports::key_value_service KeyValue>
std::vector<const ports::vm*> rate_controller<KeyValue>::region_entries() const {
    auto entries = members_.live_entries(loop_.now());
    std::erase_if(entries, [this](const ports::vm* vm) { return vm->region != self_.region; });
    const ports::vm* self = members_.find(self_.vm);
    if (entries.empty() && self != nullptr) {
        // The last entry of a region continues to issue grants until its requests have ended.
        entries.push_back(self);
    }
    return entries;
}

template <ports::key_value_service KeyValue>
rate::bucket_limits rate_controller<KeyValue>::limits_of(const std::string& organisation) const {
    const auto* found = configuration_ ? configuration_->find_organisation(organisation) : nullptr;
    if (found == nullptr) {
        return {};
    }
    return {static_cast<double>(found->rate), static_cast<double>(found->burst)};
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::set_configuration(std::shared_ptr<const config::snapshot> current) {
    configuration_ = std::move(current);
    for (shard& each : shards_) {
        for (auto& [organisation, state] : each.organisations) {
            apply_limits(organisation, *state);
        }
    }
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::members_changed() {
    const auto entries = region_entries();
    for (std::uint32_t number = 0; number < shards_.size(); ++number) {
        const bool is_candidate = node::should_contend_for(self_.region + "/" + duty_name(number), entries,
                                                           self_.vm, node::candidates_per_duty);
        shards_[number].duty->set_candidate(is_candidate && !stopping_);
    }
}

template <ports::key_value_service KeyValue>
auto rate_controller<KeyValue>::share_for(const std::string& organisation) -> share_state& {
    return shares_.try_emplace(organisation, organisation).first->second;
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::reserve(std::uint64_t request, const std::string& organisation,
                                        std::uint64_t bound, time_point deadline, reserve_callback done) {
    share_state& state = share_for(organisation);
    switch (state.holder.reserve(request, bound, deadline, loop_.now())) {
    case rate::reserve_result::granted:
        done({true, {}});
        break;
    case rate::reserve_result::refused:
        done({false, state.holder.retry_after()});
        break;
    case rate::reserve_result::waiting:
        state.waiting.emplace(request, std::move(done));
        break;
    }
    process_share(organisation, state);
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::settle(std::uint64_t request, const std::string& organisation,
                                       std::uint64_t used) {
    share_state& state = share_for(organisation);
    if (state.waiting.erase(request) > 0) {
        state.holder.cancel_waiting(request);
    } else {
        state.holder.settle(request, used, loop_.now());
    }
    process_share(organisation, state);
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::process_share(const std::string& organisation, share_state& state) {
    if (const auto request = state.holder.next_request(loop_.now())) {
        send(organisation, state, *request);
    }
    for (const rate::reservation_decision& decision : state.holder.take_decisions(loop_.now())) {
        if (auto waiting = state.waiting.extract(decision.id)) {
            waiting.mapped()({decision.granted, state.holder.retry_after()});
        }
    }
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::send(const std::string& organisation, share_state& state,
                                     const wire::grant_request& request) {
    const auto entries = region_entries();
    const auto ranked =
        node::rank_by_rendezvous_hash(self_.region + "/" + duty_name(shard_of(organisation)), entries);
    if (ranked.empty()) {
        on_request_failed(organisation, request.round);
        return;
    }
    const ports::vm& issuer = *ranked[state.issuer_rank % std::min(ranked.size(), node::candidates_per_duty)];
    if (issuer.name == self_.vm) {
        // Deferred to the loop, because the reply may complete reservations whose caller is still running.
        loop_.post([this, request, alive = alive_] {
            if (*alive) {
                apply_reply(answer_request(self_.vm + "/" + self_.incarnation, request));
            }
        });
        return;
    }
    peers_.connect(issuer.name, issuer.peer_address,
                   [this, organisation, request, alive = alive_](const result<node::peer_pointer>& link) {
                       if (!*alive) {
                           return;
                       }
                       if (link) {
                           (*link)->send(request);
                       } else {
                           on_request_failed(organisation, request.round);
                       }
                   });
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::on_request_failed(const std::string& organisation, std::uint64_t round) {
    share_state& state = share_for(organisation);
    ++state.issuer_rank;
    state.holder.on_send_failed(round, loop_.now());
}

template <ports::key_value_service KeyValue>
bool rate_controller<KeyValue>::handle(const node::peer_pointer& from, const wire::message& value) {
    if (const auto* request = std::get_if<wire::grant_request>(&value)) {
        from->send(answer_request(from->identity().vm + "/" + from->identity().incarnation, *request));
    } else if (const auto* reply = std::get_if<wire::grant_reply>(&value)) {
        apply_reply(*reply);
    } else {
        return false;
    }
    return true;
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::apply_reply(const wire::grant_reply& reply) {
    const auto found = shares_.find(reply.organisation);
    if (found == shares_.end()) {
        return;
    }
    if (!reply.issuer) {
        ++found->second.issuer_rank;
    }
    found->second.holder.on_reply(reply, loop_.now());
    process_share(found->first, found->second);
}

template <ports::key_value_service KeyValue>
wire::grant_reply rate_controller<KeyValue>::answer_request(const std::string& holder,
                                                            const wire::grant_request& request) {
    shard& target_shard = shards_[shard_of(request.organisation)];
    const bool is_known =
        configuration_ && configuration_->find_organisation(request.organisation) != nullptr;
    if (!target_shard.duty->may_act() || !is_known) {
        wire::grant_reply refused;
        refused.round = request.round;
        refused.organisation = request.organisation;
        refused.issuer = false;
        return refused;
    }
    const auto state = issuer_for(target_shard, request.organisation);
    return state->issuer.answer(holder, request, true, loop_.now());
}

template <ports::key_value_service KeyValue>
auto rate_controller<KeyValue>::issuer_for(shard& target_shard, const std::string& organisation)
    -> std::shared_ptr<issuer_state> {
    if (target_shard.term != target_shard.duty->fencing_number()) {
        target_shard.term = target_shard.duty->fencing_number();
        target_shard.organisations.clear();
    }
    auto& found = target_shard.organisations[organisation];
    if (!found) {
        // The wait of the duty after a failover covers the validity of the predecessor's grants.
        found = std::make_shared<issuer_state>(
            issuer_state{rate::grant_issuer{organisation, {}, loop_.now()},
                         rate::region_shares{organisation, self_.region, target_shard.term,
                                             std::max<std::size_t>(members_.regions().size(), 1)}});
        update_region_shares(organisation, found);
    }
    return found;
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::apply_limits(const std::string& organisation, issuer_state& state) {
    state.issuer.set_limits(state.shares.limits(limits_of(organisation)), loop_.now());
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::update_region_shares(const std::string& organisation,
                                                     const std::shared_ptr<issuer_state>& state) {
    const time_point now = loop_.now();
    auto call = state->shares.next_call(state->issuer.demand(now), limits_of(organisation),
                                        state->issuer.within_limits(now), now);
    apply_limits(organisation, *state);
    if (!call) {
        return;
    }
    if (auto* read = std::get_if<rate::read_shares>(&*call)) {
        service_.read(std::move(read->key), [this, organisation, state, number = read->call,
                                             alive = alive_](const result<ports::versioned_value>& found) {
            if (*alive) {
                state->shares.on_read(number, found, loop_.now());
                update_region_shares(organisation, state);
            }
        });
        return;
    }
    auto& write = std::get<rate::write_shares>(*call);
    service_.compare_and_swap(std::move(write.swap), [this, organisation, state, number = write.call,
                                                      alive = alive_](const result<std::uint64_t>& written) {
        if (*alive) {
            state->shares.on_written(number, written, loop_.now());
            update_region_shares(organisation, state);
        }
    });
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::on_tick() {
    for (shard& each : shards_) {
        each.duty->on_tick();
        if (!each.duty->may_act() || each.term != each.duty->fencing_number()) {
            continue;
        }
        for (const auto& [organisation, state] : each.organisations) {
            update_region_shares(organisation, state);
        }
    }
    for (auto& [organisation, state] : shares_) {
        process_share(organisation, state);
    }
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::stop() {
    stopping_ = true;
    for (auto& [organisation, state] : shares_) {
        if (const auto request = state.holder.return_all(loop_.now())) {
            send(organisation, state, *request);
        }
    }
    for (shard& each : shards_) {
        each.duty->set_candidate(false);
    }
}

template <ports::key_value_service KeyValue>
bool rate_controller<KeyValue>::is_stopped() const {
    return stopping_ &&
           std::ranges::none_of(shards_, [](const shard& each) { return each.duty->is_releasing(); });
}

template <ports::key_value_service KeyValue>
std::size_t rate_controller<KeyValue>::held_shards() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(shards_, [](const shard& each) { return each.duty->is_held(); }));
}

} // namespace samphiretray::entry

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
                                           control::contact& evidence)
    : loop_(events), settings_(settings), self_(self), service_(service), peers_(peers), members_(members),
      evidence_(evidence), shards_(settings.rate_shards) {
    for (std::uint32_t number = 0; number < settings.rate_shards; ++number) {
        auto lease = control::duty_lease(self_.region, duty_name(number), self_.vm, self_.incarnation);
        // Grants of an issuer that stops stay valid, so the next one starts when they have expired.
        lease.release_wait = rate::grant_validity;
        shards_[number].duty =
            std::make_unique<node::duty_runner<KeyValue>>(loop_, service_, evidence_, std::move(lease));
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
        // The last entry of a region goes on issuing until it has finished its requests.
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
        for (auto& [organisation, issued] : each.organisations) {
            apply_limits(organisation, *issued);
        }
    }
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::members_changed() {
    const auto entries = region_entries();
    for (std::uint32_t number = 0; number < shards_.size(); ++number) {
        const bool ranked = node::carries_duty(self_.region + "/" + duty_name(number), entries, self_.vm,
                                               node::duty_candidates);
        shards_[number].duty->set_candidate(ranked && !stopping_);
    }
}

template <ports::key_value_service KeyValue>
auto rate_controller<KeyValue>::share_of(const std::string& organisation) -> share& {
    return shares_.try_emplace(organisation, organisation).first->second;
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::reserve(std::uint64_t request, const std::string& organisation,
                                        std::uint64_t bound, time_point deadline, decided done) {
    share& of = share_of(organisation);
    switch (of.holder.reserve(request, bound, deadline, loop_.now())) {
    case rate::reserve_result::granted:
        done({true, {}});
        break;
    case rate::reserve_result::refused:
        done({false, of.holder.retry_after()});
        break;
    case rate::reserve_result::waiting:
        of.waiting.emplace(request, std::move(done));
        break;
    }
    pump(organisation, of);
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::settle(std::uint64_t request, const std::string& organisation,
                                       std::uint64_t used) {
    share& of = share_of(organisation);
    if (of.waiting.erase(request) > 0) {
        of.holder.withdraw(request);
    } else {
        of.holder.settle(request, used, loop_.now());
    }
    pump(organisation, of);
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::pump(const std::string& organisation, share& of) {
    if (const auto request = of.holder.next_request(loop_.now())) {
        send(organisation, of, *request);
    }
    for (const rate::reservation_decision& decision : of.holder.take_decisions(loop_.now())) {
        if (auto waiting = of.waiting.extract(decision.id)) {
            waiting.mapped()({decision.granted, of.holder.retry_after()});
        }
    }
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::send(const std::string& organisation, share& of,
                                     const wire::grant_request& request) {
    const auto entries = region_entries();
    const auto ranked = node::rank_for(self_.region + "/" + duty_name(shard_of(organisation)), entries);
    if (ranked.empty()) {
        send_failed(organisation, request.round);
        return;
    }
    const ports::vm& issuer = *ranked[of.issuer_rank % std::min(ranked.size(), node::duty_candidates)];
    if (issuer.name == self_.vm) {
        // The reply is handled from the loop, because it may grant reservations whose caller is running.
        loop_.post([this, request, alive = alive_] {
            if (*alive) {
                accept(answer(self_.vm + "/" + self_.incarnation, request));
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
                           send_failed(organisation, request.round);
                       }
                   });
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::send_failed(const std::string& organisation, std::uint64_t round) {
    share& of = share_of(organisation);
    ++of.issuer_rank;
    of.holder.on_send_failed(round, loop_.now());
}

template <ports::key_value_service KeyValue>
bool rate_controller<KeyValue>::handle(const node::peer_pointer& from, const wire::message& value) {
    if (const auto* request = std::get_if<wire::grant_request>(&value)) {
        from->send(answer(from->identity().vm + "/" + from->identity().incarnation, *request));
    } else if (const auto* reply = std::get_if<wire::grant_reply>(&value)) {
        accept(*reply);
    } else {
        return false;
    }
    return true;
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::accept(const wire::grant_reply& reply) {
    const auto found = shares_.find(reply.organisation);
    if (found == shares_.end()) {
        return;
    }
    if (!reply.issuer) {
        ++found->second.issuer_rank;
    }
    found->second.holder.on_reply(reply, loop_.now());
    pump(found->first, found->second);
}

template <ports::key_value_service KeyValue>
wire::grant_reply rate_controller<KeyValue>::answer(const std::string& holder,
                                                    const wire::grant_request& request) {
    shard& in = shards_[shard_of(request.organisation)];
    const bool known = configuration_ && configuration_->find_organisation(request.organisation) != nullptr;
    if (!in.duty->may_act() || !known) {
        wire::grant_reply refused;
        refused.round = request.round;
        refused.organisation = request.organisation;
        refused.issuer = false;
        return refused;
    }
    const auto issued = issuing_for(in, request.organisation);
    return issued->issuer.answer(holder, request, true, loop_.now());
}

template <ports::key_value_service KeyValue>
auto rate_controller<KeyValue>::issuing_for(shard& in, const std::string& organisation)
    -> std::shared_ptr<issuing> {
    if (in.term != in.duty->fencing_number()) {
        in.term = in.duty->fencing_number();
        in.organisations.clear();
    }
    auto& found = in.organisations[organisation];
    if (!found) {
        // The duty's own wait after a fail-over covers the validity of the predecessor's grants.
        found = std::make_shared<issuing>(
            issuing{rate::grant_issuer{organisation, {}, loop_.now()},
                    rate::region_shares{organisation, self_.region, in.term,
                                        std::max<std::size_t>(members_.regions().size(), 1)}});
        run_shares(organisation, found);
    }
    return found;
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::apply_limits(const std::string& organisation, issuing& of) {
    of.issuer.set_limits(of.shares.limits(limits_of(organisation)), loop_.now());
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::run_shares(const std::string& organisation,
                                           const std::shared_ptr<issuing>& of) {
    const time_point now = loop_.now();
    auto call = of->shares.next_call(of->issuer.demand(now), limits_of(organisation),
                                     of->issuer.within_limits(now), now);
    apply_limits(organisation, *of);
    if (!call) {
        return;
    }
    if (auto* read = std::get_if<rate::read_shares>(&*call)) {
        service_.read(std::move(read->key), [this, organisation, of, number = read->call,
                                             alive = alive_](const result<ports::versioned_value>& found) {
            if (*alive) {
                of->shares.on_read(number, found, loop_.now());
                run_shares(organisation, of);
            }
        });
        return;
    }
    auto& write = std::get<rate::write_shares>(*call);
    service_.compare_and_swap(std::move(write.swap), [this, organisation, of, number = write.call,
                                                      alive = alive_](const result<std::uint64_t>& written) {
        if (*alive) {
            of->shares.on_written(number, written, loop_.now());
            run_shares(organisation, of);
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
        for (const auto& [organisation, issued] : each.organisations) {
            run_shares(organisation, issued);
        }
    }
    for (auto& [organisation, of] : shares_) {
        pump(organisation, of);
    }
}

template <ports::key_value_service KeyValue>
void rate_controller<KeyValue>::stop() {
    stopping_ = true;
    for (auto& [organisation, of] : shares_) {
        if (const auto request = of.holder.return_all(loop_.now())) {
            send(organisation, of, *request);
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

#pragma once

#include "samphiretray/entry/load_controller.h"
#include "samphiretray/node/rendezvous.h"

#include <utility>

namespace samphiretray::entry {

template <ports::key_value_service KeyValue>
load_controller<KeyValue>::load_controller(net::loop& events, const config::entry_settings& settings,
                                           const node::peer_identity& self, KeyValue& service,
                                           const control::membership& members,
                                           control::contact_tracker& contact)
    : loop_(events), settings_(settings), self_(self), members_(members),
      duty_(events, service, contact,
            control::duty_lease("fleet", node::loads_duty, self.vm, self.incarnation)) {}

template <ports::key_value_service KeyValue>
std::string load_controller<KeyValue>::holder_name(const node::peer_pointer& peer) {
    return peer->identity().vm + "/" + peer->identity().incarnation;
}

template <ports::key_value_service KeyValue>
void load_controller<KeyValue>::members_changed() {
    const auto entries = members_.live_entries(loop_.now());
    const bool is_candidate =
        node::should_contend_for(node::loads_duty, entries, self_.vm, node::candidates_per_duty);
    duty_.set_candidate(is_candidate && !stopping_);
}

template <ports::key_value_service KeyValue>
void load_controller<KeyValue>::refresh_term() {
    if (permits_ && term_ == duty_.fencing_number()) {
        return;
    }
    term_ = duty_.fencing_number();
    control::load_permit_issuer_options options;
    options.loads_per_second = settings_.loads_per_second;
    options.max_in_flight = settings_.loads_in_flight;
    permits_ = std::make_unique<control::load_permit_issuer>(options, loop_.now());
}

template <ports::key_value_service KeyValue>
bool load_controller<KeyValue>::handle(const node::peer_pointer& from, const wire::message& value) {
    const time_point now = loop_.now();
    const std::string holder = holder_name(from);
    if (const auto* request = std::get_if<wire::permit_request>(&value)) {
        holders_[holder] = from;
        refresh_term();
        permits_->request(holder, *request, now);
    } else if (const auto* cancel = std::get_if<wire::permit_cancel>(&value)) {
        if (permits_) {
            permits_->cancel(holder, cancel->round);
        }
    } else if (const auto* done = std::get_if<wire::permit_done>(&value)) {
        if (permits_) {
            permits_->done(holder, done->round);
        }
    } else {
        return false;
    }
    send_answers();
    return true;
}

template <ports::key_value_service KeyValue>
void load_controller<KeyValue>::on_peer_closed(const node::peer_pointer& closed_peer) {
    const std::string holder = holder_name(closed_peer);
    if (holders_.erase(holder) > 0 && permits_) {
        permits_->on_holder_disconnected(holder);
    }
}

template <ports::key_value_service KeyValue>
void load_controller<KeyValue>::send_answers() {
    if (!permits_) {
        return;
    }
    for (const control::permit_answer& answer : permits_->take_answers(duty_.may_act(), loop_.now())) {
        const auto found = holders_.find(answer.holder);
        const auto link = found == holders_.end() ? nullptr : found->second.lock();
        if (link) {
            link->send(answer.reply);
        }
    }
}

template <ports::key_value_service KeyValue>
void load_controller<KeyValue>::on_tick() {
    duty_.on_tick();
    send_answers();
}

template <ports::key_value_service KeyValue>
void load_controller<KeyValue>::stop() {
    stopping_ = true;
    duty_.set_candidate(false);
}

} // namespace samphiretray::entry

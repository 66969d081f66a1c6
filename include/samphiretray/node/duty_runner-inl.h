#pragma once

#include "samphiretray/node/duty_runner.h"

#include <utility>

namespace samphiretray::node {

template <ports::key_value_service KeyValue>
duty_runner<KeyValue>::duty_runner(net::loop& events, KeyValue& service, control::contact_tracker& contact,
                                   control::duty_settings settings)
    : loop_(events), service_(service), contact_(contact),
      duty_(std::make_shared<control::duty>(std::move(settings))) {}

template <ports::key_value_service KeyValue>
void duty_runner<KeyValue>::set_candidate(bool candidate) {
    if (candidate == is_candidate_) {
        return;
    }
    is_candidate_ = candidate;
    if (candidate) {
        duty_->campaign(loop_.now());
    } else {
        duty_->release(loop_.now());
    }
    on_tick();
}

template <ports::key_value_service KeyValue>
void duty_runner<KeyValue>::on_tick() {
    const time_point now = loop_.now();
    duty_->on_contact(now, contact_);
    const auto next = duty_->next_time();
    if (next && *next <= now) {
        perform(duty_->on_time(now));
    }
}

template <ports::key_value_service KeyValue>
bool duty_runner<KeyValue>::may_act() const {
    const time_point now = loop_.now();
    return duty_->may_act(now, contact_.state(now));
}

template <ports::key_value_service KeyValue>
void duty_runner<KeyValue>::perform(std::optional<control::duty_action> action) {
    if (!action) {
        return;
    }
    const std::weak_ptr<control::duty> weak = duty_;
    const time_point sent = loop_.now();
    if (auto* read = std::get_if<control::duty_read>(&*action)) {
        service_.read(std::move(read->key), [this, weak, sent](const result<ports::versioned_value>& answer) {
            if (const auto duty = weak.lock()) {
                record_contact(sent, answer.has_value());
                perform(duty->on_read(loop_.now(), answer));
            }
        });
        return;
    }
    service_.compare_and_swap(std::move(std::get<control::duty_swap>(*action).swap),
                              [this, weak, sent](const result<std::uint64_t>& answer) {
                                  if (const auto duty = weak.lock()) {
                                      record_contact(sent, answer.has_value());
                                      perform(duty->on_swap(loop_.now(), answer));
                                  }
                              });
}

template <ports::key_value_service KeyValue>
void duty_runner<KeyValue>::record_contact(time_point sent, bool answered) {
    if (answered) {
        contact_.on_own_answer(sent);
    }
}

} // namespace samphiretray::node

#pragma once

#include "samphiretray/control/contact.h"
#include "samphiretray/control/duty.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/key_value.h"

#include <memory>

namespace samphiretray::node {

/// Connects a `control::duty` with the key-value service.
template <ports::key_value_service KeyValue>
class duty_runner {
public:
    duty_runner(net::loop& events, KeyValue& service, control::contact& evidence,
                control::duty_settings settings);

    /// Takes part in the contest, or gives the lease up.
    void set_candidate(bool candidate);
    /// Call several times a second.
    void on_tick();

    [[nodiscard]] bool may_act() const;
    [[nodiscard]] bool is_held() const noexcept { return duty_->is_held(); }
    /// False once a released lease is known to be given up.
    [[nodiscard]] bool is_releasing() const noexcept { return duty_->is_releasing(); }
    [[nodiscard]] std::uint64_t fencing_number() const noexcept { return duty_->fencing_number(); }

private:
    void perform(std::optional<control::duty_action> action);
    /// The holder must learn that the service answers, because its lease then no longer outlasts an outage.
    void note_answer(time_point sent, bool answered);

    net::loop& loop_;
    KeyValue& service_;
    control::contact& evidence_;
    // Shared with the completions, which may run after this object has gone.
    std::shared_ptr<control::duty> duty_;
    bool candidate_ = false;
};

} // namespace samphiretray::node

#include "samphiretray/node/duty_runner-inl.h"

#pragma once

#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/control/duty.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/ports/key_value.h"

#include <memory>

namespace samphiretray::node {

/// Runs a duty: executes its calls on the key-value service and passes it the results.
template <ports::key_value_service KeyValue>
class duty_runner {
public:
    duty_runner(net::loop& events, KeyValue& service, control::contact_tracker& contact,
                control::duty_settings settings);

    /// Starts to contend for the lease, or releases it.
    void set_candidate(bool candidate);
    /// Call several times a second.
    void on_tick();

    [[nodiscard]] bool may_act() const;
    [[nodiscard]] bool is_held() const noexcept { return duty_->is_held(); }
    /// True from a release until the service has confirmed it.
    [[nodiscard]] bool is_releasing() const noexcept { return duty_->is_releasing(); }
    [[nodiscard]] std::uint64_t fencing_number() const noexcept { return duty_->fencing_number(); }

private:
    void perform(std::optional<control::duty_action> action);
    /// Records that the service answered a call sent at `sent`. The holder has to know, because it may act
    /// beyond the term of its lease only during an outage, which an answer ends.
    void record_contact(time_point sent, bool answered);

    net::loop& loop_;
    KeyValue& service_;
    control::contact_tracker& contact_;
    // Shared with the completion handlers, which may run after this object has been destroyed.
    std::shared_ptr<control::duty> duty_;
    bool is_candidate_ = false;
};

} // namespace samphiretray::node

#include "samphiretray/node/duty_runner-inl.h"

#pragma once

#include "samphiretray/config/settings.h"
#include "samphiretray/control/load_permit_issuer.h"
#include "samphiretray/control/membership.h"
#include "samphiretray/node/duty_runner.h"
#include "samphiretray/node/peer_directory.h"

#include <map>
#include <memory>
#include <string>

namespace samphiretray::entry {

/// Grants permits for model loads to the agents of all regions while this entry holds the duty `loads`.
template <ports::key_value_service KeyValue>
class load_controller {
public:
    load_controller(net::loop& events, const config::entry_settings& settings,
                    const node::peer_identity& self, KeyValue& service, const control::membership& members,
                    control::contact_tracker& contact);

    void members_changed();
    /// Handles a permit message of an agent; returns false if `value` is none.
    [[nodiscard]] bool handle(const node::peer_pointer& from, const wire::message& value);
    void on_peer_closed(const node::peer_pointer& closed_peer);
    void on_tick();
    void stop();
    [[nodiscard]] bool is_stopped() const { return stopping_ && !duty_.is_releasing(); }
    [[nodiscard]] bool is_held() const noexcept { return duty_.is_held(); }

private:
    [[nodiscard]] static std::string holder_name(const node::peer_pointer& peer);
    void refresh_term();
    void send_answers();

    net::loop& loop_;
    const config::entry_settings& settings_;
    node::peer_identity self_;
    const control::membership& members_;
    node::duty_runner<KeyValue> duty_;
    std::uint64_t term_ = 0;
    std::unique_ptr<control::load_permit_issuer> permits_;
    std::map<std::string, std::weak_ptr<node::peer>> holders_;
    bool stopping_ = false;
};

} // namespace samphiretray::entry

#include "samphiretray/entry/load_controller-inl.h"

#pragma once

#include "samphiretray/config/replica.h"
#include "samphiretray/config/settings.h"
#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/control/gossip.h"
#include "samphiretray/control/membership.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/config_watcher.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/ports/key_value.h"
#include "samphiretray/ports/vm_list.h"

#include <functional>
#include <memory>
#include <string>

namespace samphiretray::node {

struct control_plane_events {
    /// Another configuration has come into force.
    std::function<void()> on_configuration;
    /// The VM list or the set of leaving VMs has changed.
    std::function<void()> on_members;
};

/// Keeps the configuration, its freshness and the membership list of one process up to date, by gossip with
/// other processes, the VM list and, on entries that watch, the key-value service.
template <ports::key_value_service KeyValue, ports::vm_list List>
class control_plane {
public:
    control_plane(net::loop& events, const config::common_settings& settings, const peer_identity& self,
                  KeyValue& service, List& vms, peer_directory& peers, control_plane_events handlers);
    ~control_plane();
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    void start();
    /// Handles a control message; returns false if `value` is none.
    [[nodiscard]] bool handle(const peer_pointer& from, const wire::message& value);
    void on_peer_closed(const peer_pointer& gone);
    /// Records the incarnation from the hello of a newly authenticated link.
    void on_peer_authenticated(const peer_pointer& seen);
    /// Records that a VM is shutting down; gossip passes this on.
    void on_leaving(const wire::leaving_vm& vm);
    /// Records that this process is shutting down; gossip passes this on.
    void announce_leaving();

    [[nodiscard]] std::shared_ptr<const config::snapshot> configuration() const noexcept {
        return replica_.current();
    }
    [[nodiscard]] const control::contact_tracker& contact() const noexcept { return contact_; }
    [[nodiscard]] control::contact_tracker& contact() noexcept { return contact_; }
    [[nodiscard]] control::contact_state state() const { return contact_.state(loop_.now()); }
    [[nodiscard]] const control::membership& members() const noexcept { return members_; }
    [[nodiscard]] const config::replica& replica() const noexcept { return replica_; }
    [[nodiscard]] bool is_ready() const { return gossip_.is_ready(loop_.now()); }
    [[nodiscard]] bool is_watcher() const noexcept { return watcher_.is_active(); }

private:
    void fetch_vms();
    void on_vms(result<std::vector<ports::vm>> list);
    void members_changed();
    void configuration_changed();
    void on_tick();
    void perform(std::vector<control::gossip_action> actions);
    void send(const std::string& vm, wire::message value);
    void answer_state_pull(const peer_pointer& from, const wire::state_pull& pull);
    void apply_state_reply(const peer_pointer& from, const wire::state_reply& reply);
    [[nodiscard]] bool should_watch() const;

    net::loop& loop_;
    const config::common_settings& settings_;
    peer_identity self_;
    List& vms_;
    peer_directory& peers_;
    control_plane_events handlers_;
    control::contact_tracker contact_;
    config::replica replica_;
    control::membership members_;
    control::gossip gossip_;
    config_watcher<KeyValue> watcher_;
    std::uint64_t revision_in_force_ = 0;
    std::uint64_t members_version_ = 0;
    net::timer_handle tick_timer_;
    net::timer_handle list_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::node

#include "samphiretray/node/control_plane-inl.h"

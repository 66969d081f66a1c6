#pragma once

#include "samphiretray/base/hash.h"
#include "samphiretray/base/log.h"
#include "samphiretray/node/control_plane.h"
#include "samphiretray/node/rendezvous.h"

#include <algorithm>
#include <utility>

namespace samphiretray::node {

inline constexpr duration control_tick_interval = 50ms;
/// Number of entries of a data centre that watch the key-value service; two, so that one may fail.
inline constexpr std::size_t watchers_per_data_centre = 2;
/// Longer than the longest request, so that no link is closed while one is in progress.
inline constexpr duration idle_link_timeout = 10min;

template <ports::key_value_service KeyValue, ports::vm_list List>
control_plane<KeyValue, List>::control_plane(net::loop& events, const config::common_settings& settings,
                                             const peer_identity& self, KeyValue& service, List& vms,
                                             peer_directory& peers, control_plane_events handlers)
    : loop_(events), settings_(settings), self_(self), vms_(vms), peers_(peers),
      handlers_(std::move(handlers)),
      contact_({.region = settings.region, .max_evidence_age = settings.freshness_bound}),
      gossip_({.vm = settings.vm,
               .region = settings.region,
               .data_centre = settings.data_centre,
               .pull_interval = settings.pull_interval},
              hash64(self.incarnation), contact_, replica_),
      watcher_(events, service, contact_, replica_, [this] { configuration_changed(); }) {}

template <ports::key_value_service KeyValue, ports::vm_list List>
control_plane<KeyValue, List>::~control_plane() {
    *alive_ = false;
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::start() {
    fetch_vms();
    list_timer_ = loop_.every(settings_.vm_list_interval, [this] { fetch_vms(); });
    tick_timer_ = loop_.every(control_tick_interval, [this] { on_tick(); });
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::fetch_vms() {
    peers_.close_idle(idle_link_timeout);
    vms_.fetch([this, alive = alive_](result<std::vector<ports::vm>> list) {
        if (*alive) {
            on_vms(std::move(list));
        }
    });
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::on_vms(result<std::vector<ports::vm>> list) {
    if (!list) {
        log_event(log_level::warning, "vm_list_failed",
                  {{"peer", list.error().peer}, {"detail", list.error().detail}});
        return;
    }
    members_.on_list(loop_.now(), std::move(*list));
    members_changed();
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::members_changed() {
    if (members_.version() == members_version_) {
        return;
    }
    members_version_ = members_.version();
    const auto regions = members_.regions();
    contact_.set_regions(regions);
    gossip_.set_members(loop_.now(), members_.live(loop_.now()));
    watcher_.set_active(should_watch());
    handlers_.on_members();
}

template <ports::key_value_service KeyValue, ports::vm_list List>
bool control_plane<KeyValue, List>::should_watch() const {
    if (self_.kind != wire::role::entry) {
        return false;
    }
    auto candidates = members_.live_entries(loop_.now());
    std::erase_if(candidates,
                  [this](const ports::vm* vm) { return vm->data_centre != settings_.data_centre; });
    return is_in_top("watch/" + settings_.data_centre, candidates, settings_.vm, watchers_per_data_centre);
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::configuration_changed() {
    if (replica_.revision() == revision_in_force_) {
        return;
    }
    revision_in_force_ = replica_.revision();
    contact_.on_in_force(revision_in_force_);
    gossip_.on_in_force();
    log_event(log_level::info, "configuration_in_force", {{"revision", revision_in_force_}});
    handlers_.on_configuration();
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::on_tick() {
    const time_point now = loop_.now();
    if (gossip_.next_time() <= now) {
        perform(gossip_.on_time(now));
    }
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::perform(std::vector<control::gossip_action> actions) {
    for (auto& action : actions) {
        std::visit([this](auto& each) { send(each.peer, std::move(each.message)); }, action);
    }
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::send(const std::string& vm, wire::message value) {
    const ports::vm* listed = members_.find(vm);
    if (listed == nullptr) {
        gossip_.on_peer_failed(loop_.now(), vm);
        return;
    }
    peers_.connect(vm, listed->peer_address,
                   [this, vm, alive = alive_, value = std::move(value)](const result<peer_pointer>& link) {
                       if (!*alive) {
                           return;
                       }
                       if (link) {
                           (*link)->send(value);
                       } else {
                           gossip_.on_peer_failed(loop_.now(), vm);
                       }
                   });
}

template <ports::key_value_service KeyValue, ports::vm_list List>
bool control_plane<KeyValue, List>::handle(const peer_pointer& from, const wire::message& value) {
    if (const auto* pull = std::get_if<wire::state_pull>(&value)) {
        answer_state_pull(from, *pull);
    } else if (const auto* reply = std::get_if<wire::state_reply>(&value)) {
        apply_state_reply(from, *reply);
    } else if (const auto* request = std::get_if<wire::config_request>(&value)) {
        from->send(replica_.answer(*request));
    } else if (const auto* chunks = std::get_if<wire::config_reply>(&value)) {
        perform(gossip_.on_config_reply(loop_.now(), from->identity().vm, *chunks));
        configuration_changed();
    } else {
        return false;
    }
    return true;
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::answer_state_pull(const peer_pointer& from,
                                                      const wire::state_pull& pull) {
    const time_point now = loop_.now();
    wire::state_reply reply;
    reply.round = pull.round;
    contact_.fill_reply(now, reply);
    reply.leaving = members_.notices(now);
    from->send(reply);
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::apply_state_reply(const peer_pointer& from,
                                                      const wire::state_reply& reply) {
    const time_point now = loop_.now();
    std::ranges::for_each(reply.leaving, [&](const wire::leaving_vm& vm) { members_.on_leaving(now, vm); });
    perform(gossip_.on_state_reply(now, from->identity().vm, reply));
    configuration_changed();
    members_changed();
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::on_peer_closed(const peer_pointer& gone) {
    gossip_.on_peer_failed(loop_.now(), gone->identity().vm);
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::on_peer_authenticated(const peer_pointer& seen) {
    members_.on_hello(loop_.now(), seen->identity().vm, seen->identity().incarnation);
    members_changed();
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::announce_leaving() {
    on_leaving({self_.vm, self_.incarnation});
}

template <ports::key_value_service KeyValue, ports::vm_list List>
void control_plane<KeyValue, List>::on_leaving(const wire::leaving_vm& vm) {
    members_.on_leaving(loop_.now(), vm);
    members_changed();
}

} // namespace samphiretray::node

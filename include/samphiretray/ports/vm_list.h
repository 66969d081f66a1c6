#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/ports/key_value.h"
#include "samphiretray/wire/messages.h"

#include <concepts>
#include <string>
#include <vector>

namespace samphiretray::ports {

enum class vm_state { live, leaving };

/// An entry of the platform's VM list: a VM and the Samphiretray process on it.
struct vm {
    std::string name;
    wire::role kind = wire::role::entry;
    std::string region;
    std::string data_centre;
    /// Address at which the process accepts connections from peers.
    net::address peer_address;
    vm_state state = vm_state::live;
    /// Agents only: the endpoint on the same VM, its service, and its base model (empty for plain services).
    std::string endpoint;
    std::string service;
    std::string base_model;
    /// Agents of engines only: number of adapter slots, a hint for placement.
    unsigned adapter_slots = 0;
};

/// The platform's list of VMs; it may lag behind the actual state.
template <typename List>
concept vm_list = requires(List& list, completion<std::vector<vm>> on_list) { list.fetch(on_list); };

} // namespace samphiretray::ports

namespace samphiretray {

template <>
inline constexpr auto name_table<ports::vm_state> =
    std::to_array<std::pair<ports::vm_state, std::string_view>>({
        {ports::vm_state::live, "live"},
        {ports::vm_state::leaving, "leaving"},
    });

} // namespace samphiretray

#include "samphiretray/control/membership.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <tuple>

namespace samphiretray::control {

namespace {

auto fields_of(const ports::vm& vm) {
    return std::tie(vm.name, vm.kind, vm.region, vm.data_centre, vm.peer_address, vm.state, vm.endpoint,
                    vm.service, vm.base_model, vm.adapter_slots);
}

} // namespace

membership::membership(membership_settings settings) : settings_(settings) {}

void membership::on_list(time_point now, std::vector<ports::vm> list) {
    // The fleet always contains this process, so an empty list is a fault of its source.
    if (list.empty()) {
        return;
    }
    std::set<std::string, std::less<>> names;
    for (ports::vm& vm : list) {
        names.insert(vm.name);
        add_listed(std::move(vm));
    }
    for (auto& [name, state] : vms_) {
        if (state.is_listed && !names.contains(name)) {
            state.is_listed = false;
            state.was_removed = true;
            ++version_;
        }
    }
    expire_notices(now);
}

void membership::add_listed(ports::vm vm) {
    vm_state& state = vms_[vm.name];
    if (state.is_listed && fields_of(state.listed) == fields_of(vm)) {
        return;
    }
    if (state.was_removed) {
        invalidate_notices(state, {});
        state.was_removed = false;
    }
    state.is_listed = true;
    state.listed = std::move(vm);
    ++version_;
}

void membership::on_leaving(time_point now, const wire::leaving_vm& notice) {
    vm_state& state = vms_[notice.vm];
    const auto [found, is_new] = state.notices.try_emplace(notice.incarnation, notice_state{now, true});
    if (is_new) {
        ++version_;
    }
}

void membership::on_hello(time_point /*now*/, std::string_view vm, std::string_view incarnation) {
    const auto found = vms_.find(vm);
    if (found != vms_.end()) {
        invalidate_notices(found->second, incarnation);
    }
}

void membership::invalidate_notices(vm_state& state, std::string_view except) {
    for (auto& [incarnation, notice] : state.notices) {
        if (notice.is_effective && incarnation != except) {
            notice.is_effective = false;
            ++version_;
        }
    }
}

bool membership::is_leaving(time_point now, const vm_state& state) const {
    const auto is_effective = [&](const auto& entry) {
        return entry.second.is_effective && now - entry.second.received_at < settings_.notice_lifetime;
    };
    return state.listed.state == ports::vm_state::leaving || std::ranges::any_of(state.notices, is_effective);
}

bool membership::is_live(time_point now, const vm_state& state) const {
    return state.is_listed && !is_leaving(now, state);
}

void membership::expire_notices(time_point now) {
    for (auto& [name, state] : vms_) {
        for (auto& [incarnation, notice] : state.notices) {
            if (notice.is_effective && now - notice.received_at >= settings_.notice_lifetime) {
                notice.is_effective = false;
                ++version_;
            }
        }
        std::erase_if(state.notices, [&](const auto& entry) {
            return now - entry.second.received_at >= settings_.notice_retention;
        });
    }
    std::erase_if(vms_,
                  [](const auto& entry) { return !entry.second.is_listed && entry.second.notices.empty(); });
}

const ports::vm* membership::find(std::string_view name) const {
    const auto found = vms_.find(name);
    return found != vms_.end() && found->second.is_listed ? &found->second.listed : nullptr;
}

bool membership::is_live(time_point now, std::string_view name) const {
    const auto found = vms_.find(name);
    return found != vms_.end() && is_live(now, found->second);
}

template <typename Predicate>
std::vector<const ports::vm*> membership::select(time_point now, Predicate matches) const {
    std::vector<const ports::vm*> selected;
    for (const vm_state& state : vms_ | std::views::values) {
        if (is_live(now, state) && matches(state.listed)) {
            selected.push_back(&state.listed);
        }
    }
    return selected;
}

std::vector<const ports::vm*> membership::live_agents(time_point now, std::string_view service) const {
    return select(now, [service](const ports::vm& vm) {
        return vm.kind == wire::role::agent && vm.service == service;
    });
}

std::vector<const ports::vm*> membership::live_entries(time_point now) const {
    return select(now, [](const ports::vm& vm) { return vm.kind == wire::role::entry; });
}

std::vector<const ports::vm*> membership::peers_in(time_point now, std::string_view region) const {
    return select(now, [region](const ports::vm& vm) { return vm.region == region; });
}

std::vector<const ports::vm*> membership::live(time_point now) const {
    return select(now, [](const ports::vm&) { return true; });
}

std::vector<std::string> membership::regions() const {
    std::set<std::string> names;
    for (const vm_state& state : vms_ | std::views::values) {
        if (state.is_listed && state.listed.kind == wire::role::entry) {
            names.insert(state.listed.region);
        }
    }
    return {names.begin(), names.end()};
}

std::vector<wire::leaving_vm> membership::notices(time_point now) const {
    std::vector<wire::leaving_vm> all;
    for (const auto& [name, state] : vms_) {
        for (const auto& [incarnation, notice] : state.notices) {
            if (notice.is_effective && now - notice.received_at < settings_.notice_forwarding_time) {
                all.push_back({name, incarnation});
            }
        }
    }
    return all;
}

} // namespace samphiretray::control

#pragma once

#include "samphiretray/control/contact.h"
#include "samphiretray/node/peer_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::node {

enum class value_kind {
    /// Grows only, until the process ends.
    counter,
    gauge,
};

/// One figure of a process. Names of metrics end in their unit.
struct status_value {
    std::string name;
    value_kind kind = value_kind::counter;
    double value = 0;
};

/// What a process tells on `/status` and `/metrics`.
struct process_status {
    peer_identity self;
    std::uint64_t revision = 0;
    std::string refused_configuration;
    control::contact_state contact = control::contact_state::cut_off;
    std::optional<duration> contact_age;
    bool ready = false;
    bool draining = false;
    bool watcher = false;
    std::size_t links = 0;
    std::vector<status_value> values;
};

/// JSON with "vm", "revision" and all else.
[[nodiscard]] std::string to_json(const process_status& status);

/// Prometheus text format; every name begins with `prefix`.
[[nodiscard]] std::string to_metrics(const process_status& status, std::string_view prefix);

/// The part of a status that entries and agents share.
template <typename ControlPlane>
[[nodiscard]] process_status common_status(const peer_identity& self, const ControlPlane& control,
                                           const peer_directory& peers, time_point now) {
    process_status status;
    status.self = self;
    status.revision = control.replica().revision();
    if (const auto& refused = control.replica().last_refusal()) {
        status.refused_configuration = refused->detail;
    }
    status.contact = control.state();
    status.contact_age = control.evidence().age(now);
    status.watcher = control.is_watcher();
    status.links = peers.open_links();
    return status;
}

} // namespace samphiretray::node

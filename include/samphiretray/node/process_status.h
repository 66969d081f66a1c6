#pragma once

#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/node/peer_directory.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::node {

enum class metric_kind {
    /// Never decreases while the process runs.
    counter,
    gauge,
};

/// A metric of a process. Its name ends in its unit.
struct status_metric {
    std::string name;
    metric_kind kind = metric_kind::counter;
    double value = 0;
};

/// State of a process as served on `/status` and `/metrics`.
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
    std::vector<status_metric> values;
};

/// The whole status as a JSON object.
[[nodiscard]] std::string to_json(const process_status& status);

/// Prometheus text format; every metric name begins with `prefix` and an underscore.
[[nodiscard]] std::string to_metrics(const process_status& status, std::string_view prefix);

/// The fields of a status that entries and agents have in common.
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
    status.contact_age = control.contact().age(now);
    status.watcher = control.is_watcher();
    status.links = peers.open_links();
    return status;
}

} // namespace samphiretray::node

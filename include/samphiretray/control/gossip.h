#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/config/replica.h"
#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/ports/vm_list.h"
#include "samphiretray/wire/messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphiretray::control {

struct gossip_settings {
    /// Name of the own VM.
    std::string vm;
    std::string region;
    std::string data_centre;
    duration pull_interval = 1s;
    /// A pull without a reply after this time has failed.
    duration reply_timeout = 2s;
    /// Number of neighbours in the same data centre, in other data centres of the region, and in other
    /// regions.
    std::size_t data_centre_neighbours = 4;
    std::size_t region_neighbours = 1;
    std::size_t remote_neighbours = 1;
    /// How long a failed neighbour is replaced by the next candidate.
    duration replacement_time = 15s;
};

/// Send `message` to the process on `peer`.
struct send_pull {
    std::string peer;
    wire::state_pull message;
};

struct send_config_request {
    std::string peer;
    wire::config_request message;
};

using gossip_action = std::variant<send_pull, send_config_request>;

/// Pulls state from neighbours and fetches newer configurations from them.
class gossip {
public:
    /// `seed` initialises the random jitter. Replies are passed on to `contact` and `configuration`, which
    /// must outlive the object.
    gossip(gossip_settings settings, std::uint64_t seed, contact_tracker& contact,
           config::replica& configuration);

    /// Sets the live VMs (`membership::live`). Call whenever they have changed.
    void set_members(time_point now, std::span<const ports::vm* const> live);

    /// Call at `next_time` or later.
    [[nodiscard]] std::vector<gossip_action> on_time(time_point now);
    [[nodiscard]] time_point next_time() const noexcept { return next_time_; }

    [[nodiscard]] std::vector<gossip_action> on_state_reply(time_point now, std::string_view peer,
                                                            const wire::state_reply& reply);
    [[nodiscard]] std::vector<gossip_action> on_config_reply(time_point now, std::string_view peer,
                                                             const wire::config_reply& reply);
    /// The link to `peer` failed or could not be opened.
    void on_peer_failed(time_point now, std::string_view peer);
    /// A revision came into force by other means, such as a watcher's read.
    void on_in_force();

    /// Whether the process may serve. A configuration must be in force that is known to be the newest, or
    /// that has the highest revision after a peer of every data centre was asked; data centres that do not
    /// answer are left out.
    [[nodiscard]] bool is_ready(time_point now) const;

    /// Names of the current neighbours.
    [[nodiscard]] std::vector<std::string> neighbours(time_point now) const;
    /// The last configuration that a peer offered and that was refused.
    [[nodiscard]] const std::optional<error>& last_refusal() const noexcept {
        return configuration_.last_refusal();
    }

private:
    struct candidate {
        std::string name;
        std::string data_centre;
        std::string region;
        /// Rendezvous hash; lower scores rank first.
        std::uint64_t score = 0;
    };
    struct pending_pull {
        std::string peer;
        time_point sent;
        bool has_failed = false;
    };
    struct data_centre_state {
        bool has_answered = false;
        int failures = 0;
    };

    [[nodiscard]] std::vector<std::string>
    choose_neighbours(time_point now, const std::vector<candidate>& ranked, std::size_t count) const;
    /// One peer of each data centre that neither answered nor failed often enough since the start.
    [[nodiscard]] std::vector<std::string> untried_data_centre_peers(time_point now) const;
    [[nodiscard]] bool is_replaced(time_point now, std::string_view name) const;
    [[nodiscard]] bool is_tried(std::string_view data_centre) const;
    [[nodiscard]] const candidate* find(std::string_view name) const;
    [[nodiscard]] duration jittered_interval();
    [[nodiscard]] send_pull pull(time_point now, const std::string& peer);
    [[nodiscard]] send_config_request fetch(time_point now, std::string_view peer);
    void expire_pulls(time_point now);
    void record_failure(time_point now, std::string_view peer);
    void update_readiness(time_point now);

    gossip_settings settings_;
    contact_tracker& contact_;
    config::replica& configuration_;
    std::minstd_rand random_;
    /// Candidates in the order of their scores (rendezvous hashing).
    std::vector<candidate> same_data_centre_;
    std::vector<candidate> same_region_;
    std::vector<candidate> other_regions_;
    std::map<std::string, time_point, std::less<>> next_pull_;
    std::map<std::uint64_t, pending_pull> pending_pulls_;
    std::map<std::string, time_point, std::less<>> replaced_until_;
    /// Answers and failures of each data centre since the start.
    std::map<std::string, data_centre_state, std::less<>> data_centres_;
    std::optional<pending_pull> pending_fetch_;
    std::uint64_t next_round_ = 1;
    time_point next_time_{};
    /// Once ready, the process stays ready, so that the arrival of a new revision does not take it out of
    /// service.
    bool has_been_ready_ = false;
};

} // namespace samphiretray::control

#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/config/replica.h"
#include "samphiretray/control/contact.h"
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
    /// A pull without a reply for this long has failed.
    duration reply_timeout = 2s;
    /// Neighbours in the own data centre, in other data centres of the region, and in other regions.
    std::size_t near = 4;
    std::size_t in_region = 1;
    std::size_t far = 1;
    /// How long a neighbour that failed is replaced by the next one.
    duration replacement = 15s;
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
    /// `seed` sets the jitter. `evidence` and `configuration` must outlive the object; it passes replies on
    /// to them.
    gossip(gossip_settings settings, std::uint64_t seed, contact& evidence, config::replica& configuration);

    /// The live VMs (`membership::live`), whenever they have changed.
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
    /// A revision came into force by another way, such as a watcher's read.
    void on_in_force();

    /// Whether the process may serve: a configuration is in force that is known to be the newest, or that is
    /// the highest among one peer of every data centre that answers.
    [[nodiscard]] bool is_ready(time_point now) const;

    /// Names of the present neighbours.
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
        /// Lower scores come first.
        std::uint64_t score = 0;
    };
    struct open_pull {
        std::string peer;
        time_point sent;
        bool has_failed = false;
    };
    struct data_centre_state {
        bool has_answered = false;
        int failures = 0;
    };

    [[nodiscard]] std::vector<std::string> choose(time_point now, const std::vector<candidate>& ranked,
                                                  std::size_t count) const;
    /// One peer of each data centre that has not been tried since the start.
    [[nodiscard]] std::vector<std::string> first_contacts(time_point now) const;
    [[nodiscard]] bool is_replaced(time_point now, std::string_view name) const;
    [[nodiscard]] bool is_tried(std::string_view data_centre) const;
    [[nodiscard]] const candidate* find(std::string_view name) const;
    [[nodiscard]] duration jittered_interval();
    [[nodiscard]] send_pull pull(time_point now, const std::string& peer);
    [[nodiscard]] send_config_request fetch(time_point now, std::string_view peer);
    void expire(time_point now);
    void note_failure(time_point now, std::string_view peer);
    void update_readiness(time_point now);

    gossip_settings settings_;
    contact& evidence_;
    config::replica& configuration_;
    std::minstd_rand random_;
    /// Candidates by rendezvous rank.
    std::vector<candidate> near_;
    std::vector<candidate> in_region_;
    std::vector<candidate> far_;
    std::map<std::string, time_point, std::less<>> next_pull_;
    std::map<std::uint64_t, open_pull> open_pulls_;
    std::map<std::string, time_point, std::less<>> replaced_until_;
    /// What has been tried since the start.
    std::map<std::string, data_centre_state, std::less<>> data_centres_;
    std::optional<open_pull> open_fetch_;
    std::uint64_t next_round_ = 1;
    time_point next_time_{};
    /// Readiness stays, so that the arrival of a new revision does not take the process out of service.
    bool has_been_ready_ = false;
};

} // namespace samphiretray::control

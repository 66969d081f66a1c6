#pragma once

#include "samphiretray/config/settings.h"
#include "samphiretray/config/snapshot.h"
#include "samphiretray/control/membership.h"
#include "samphiretray/node/duty_runner.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/rate/grant_holder.h"
#include "samphiretray/rate/grant_issuer.h"
#include "samphiretray/rate/region_shares.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphiretray::entry {

/// Whether a reservation was granted and, if not, when to try again.
struct reservation_outcome {
    bool granted = false;
    duration retry_after{};
};

/// Enforces the token rate limits of all organisations at one entry. It holds the tokens granted to this
/// entry and, for each rate shard whose duty the entry holds, the token buckets from which it grants to
/// others.
template <ports::key_value_service KeyValue>
class rate_controller {
public:
    rate_controller(net::loop& events, const config::entry_settings& settings,
                    const node::peer_identity& self, KeyValue& service, node::peer_directory& peers,
                    const control::membership& members, control::contact_tracker& contact);
    ~rate_controller();
    rate_controller(const rate_controller&) = delete;
    rate_controller& operator=(const rate_controller&) = delete;

    void set_configuration(std::shared_ptr<const config::snapshot> current);
    void members_changed();

    using reserve_callback = std::function<void(reservation_outcome)>;
    /// Reserves `bound` tokens; `done` may run before this function returns.
    void reserve(std::uint64_t request, const std::string& organisation, std::uint64_t bound,
                 time_point deadline, reserve_callback done);
    /// Ends a granted reservation, of which `used` tokens were spent, or withdraws a waiting one.
    void settle(std::uint64_t request, const std::string& organisation, std::uint64_t used);

    /// Handles a grant message; returns false if `value` is none.
    [[nodiscard]] bool handle(const node::peer_pointer& from, const wire::message& value);
    void on_tick();
    /// Returns unused tokens and releases the duties.
    void stop();
    [[nodiscard]] bool is_stopped() const;
    [[nodiscard]] std::size_t held_shards() const;

private:
    struct share_state {
        explicit share_state(std::string name) : holder(std::move(name)) {}
        rate::grant_holder holder;
        std::unordered_map<std::uint64_t, reserve_callback> waiting;
        /// Position, in the order of preference for the duty, of the entry that is assumed to be the issuer.
        std::size_t issuer_rank = 0;
    };
    struct issuer_state {
        rate::grant_issuer issuer;
        rate::region_shares shares;
    };
    struct shard {
        std::unique_ptr<node::duty_runner<KeyValue>> duty;
        std::uint64_t term = 0;
        std::map<std::string, std::shared_ptr<issuer_state>> organisations;
    };

    [[nodiscard]] std::uint32_t shard_of(const std::string& organisation) const;
    [[nodiscard]] std::string duty_name(std::uint32_t shard_number) const;
    [[nodiscard]] std::vector<const ports::vm*> region_entries() const;
    [[nodiscard]] rate::bucket_limits limits_of(const std::string& organisation) const;
    [[nodiscard]] share_state& share_for(const std::string& organisation);
    void process_share(const std::string& organisation, share_state& state);
    void send(const std::string& organisation, share_state& state, const wire::grant_request& request);
    void on_request_failed(const std::string& organisation, std::uint64_t round);
    void apply_reply(const wire::grant_reply& reply);
    [[nodiscard]] wire::grant_reply answer_request(const std::string& holder,
                                                   const wire::grant_request& request);
    [[nodiscard]] std::shared_ptr<issuer_state> issuer_for(shard& target_shard,
                                                           const std::string& organisation);
    void update_region_shares(const std::string& organisation, const std::shared_ptr<issuer_state>& state);
    void apply_limits(const std::string& organisation, issuer_state& state);

    net::loop& loop_;
    const config::entry_settings& settings_;
    node::peer_identity self_;
    KeyValue& service_;
    node::peer_directory& peers_;
    const control::membership& members_;
    control::contact_tracker& contact_;
    std::shared_ptr<const config::snapshot> configuration_;
    std::map<std::string, share_state> shares_;
    std::vector<shard> shards_;
    bool stopping_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::entry

#include "samphiretray/entry/rate_controller-inl.h"

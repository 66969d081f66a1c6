#pragma once

#include "samphiretray/control/local_load_limit.h"
#include "samphiretray/control/membership.h"
#include "samphiretray/net/loop.h"
#include "samphiretray/node/peer_directory.h"
#include "samphiretray/ports/engine.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace samphiretray::agent {

/// Requests load permits from the entry that holds the duty `loads`. While no holder answers, falls back to a
/// slow local rate of loads.
class permit_client {
public:
    /// `on_granted` is called with an adapter whose load may start now. It returns false if the load was not
    /// started; the permit is then returned.
    permit_client(net::loop& events, std::string endpoint, node::peer_directory& peers,
                  const control::membership& members,
                  std::function<bool(const ports::adapter_version&)> on_granted);
    ~permit_client();
    permit_client(const permit_client&) = delete;
    permit_client& operator=(const permit_client&) = delete;

    struct wanted_load {
        ports::adapter_version adapter;
        bool priority = false;
        /// Weight of the load among the waiting ones, see `fair_queue::load_weight`.
        std::uint32_t waiting = 0;
    };
    /// Takes the loads that are wanted now: requests permits for new ones, repeats requests that are due, and
    /// cancels requests for loads that are no longer wanted.
    void update(const std::vector<wanted_load>& wanted);
    /// Records the end of a load and returns its permit.
    void done(const ports::adapter_version& adapter, bool loaded);

    /// Handles a reply; false if `value` is of another kind.
    [[nodiscard]] bool handle(const node::peer_pointer& from, const wire::message& value);

private:
    struct request {
        std::uint64_t round = 0;
        bool priority = false;
        time_point first_sent;
        time_point last_sent;
        bool permit_in_use = false;
        bool local_permit = false;
        node::peer_pointer issuer;
    };

    void send(const ports::adapter_version& adapter, request& pending, const wanted_load& wanted);
    static void cancel(const request& pending);
    void try_local(const ports::adapter_version& adapter, request& pending);
    void start(const ports::adapter_version& adapter, request& pending, bool local_permit);

    net::loop& loop_;
    std::string endpoint_;
    node::peer_directory& peers_;
    const control::membership& members_;
    std::function<bool(const ports::adapter_version&)> on_granted_;
    std::mt19937_64 random_;
    control::local_load_limit local_limit_;
    std::map<ports::adapter_version, request> requests_;
    /// Each sent request gets a new round number, since a permit's validity counts from the sending of its
    /// round.
    std::uint64_t next_round_ = 1;
    /// Position in the rendezvous order of the entry that is assumed to hold the duty.
    std::size_t issuer_index_ = 0;
    /// Time of the last answer from a holder of the duty.
    time_point issuer_answered_at_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::agent

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

/// Asks the holder of the duty `loads` for permits, and falls back to a slow local rate without one.
class permit_client {
public:
    /// `granted` is called with an adapter whose load may start now; it returns false if the load did not
    /// start, which gives the permit back.
    permit_client(net::loop& events, std::string endpoint, node::peer_directory& peers,
                  const control::membership& members,
                  std::function<bool(const ports::adapter_version&)> granted);
    ~permit_client();
    permit_client(const permit_client&) = delete;
    permit_client& operator=(const permit_client&) = delete;

    struct wanted_load {
        ports::adapter_version adapter;
        bool priority = false;
        std::uint32_t waiting = 0;
    };
    /// The loads that are wanted now. Asks for new ones, repeats requests that are due, cancels the others.
    void update(const std::vector<wanted_load>& wanted);
    /// The load of a granted permit has ended.
    void done(const ports::adapter_version& adapter, bool loaded);

    /// Handles a reply; false if `value` is of another kind.
    [[nodiscard]] bool handle(const node::peer_pointer& from, const wire::message& value);

private:
    struct request {
        std::uint64_t round = 0;
        bool priority = false;
        time_point first_sent;
        time_point last_sent;
        bool in_use = false;
        bool local = false;
        node::peer_pointer issuer;
    };

    void send(const ports::adapter_version& adapter, request& asked, const wanted_load& wanted);
    static void cancel(const request& asked);
    void try_local(const ports::adapter_version& adapter, request& asked);
    void start(const ports::adapter_version& adapter, request& asked, bool local);

    net::loop& loop_;
    std::string endpoint_;
    node::peer_directory& peers_;
    const control::membership& members_;
    std::function<bool(const ports::adapter_version&)> granted_;
    std::mt19937_64 random_;
    control::local_load_limit local_;
    std::map<ports::adapter_version, request> requests_;
    /// Grows with each message, since a permit counts from the sending of its round.
    std::uint64_t next_round_ = 1;
    /// Place in the rank order of the entry that is believed to hold the duty.
    std::size_t issuer_rank_ = 0;
    /// Last time at which a holder of the duty answered.
    time_point issuer_seen_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace samphiretray::agent

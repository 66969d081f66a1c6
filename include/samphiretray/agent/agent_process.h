#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/config/settings.h"
#include "samphiretray/net/loop.h"

#include <memory>

namespace samphiretray::agent {

/// The agent process, which runs beside an endpoint and forwards the requests of the entries to it.
class agent_process {
public:
    /// Starts the agent: listens for peers and on the admin address. Fails like `peer_listener::create`.
    [[nodiscard]] static result<std::unique_ptr<agent_process>> create(net::loop& events,
                                                                       config::agent_settings settings);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    /// Begins a graceful shutdown. The event loop is stopped once the last request has ended, or at the drain
    /// limit.
    void drain();

private:
    struct implementation;
    explicit agent_process(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> implementation_;
};

} // namespace samphiretray::agent

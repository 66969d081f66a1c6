#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/config/settings.h"
#include "samphiretray/net/loop.h"

#include <memory>

namespace samphiretray::agent {

/// The process beside an endpoint.
class agent_process {
public:
    /// Listens for peers and on the admin address. Fails like `peer_listener::create`.
    [[nodiscard]] static result<std::unique_ptr<agent_process>> create(net::loop& events,
                                                                       config::agent_settings settings);
    ~agent_process();
    agent_process(const agent_process&) = delete;
    agent_process& operator=(const agent_process&) = delete;

    /// Begins a planned stop; the loop is stopped when the last request has ended.
    void drain();

private:
    struct implementation;
    explicit agent_process(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> implementation_;
};

} // namespace samphiretray::agent

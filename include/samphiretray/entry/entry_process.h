#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/config/settings.h"
#include "samphiretray/net/loop.h"

#include <memory>

namespace samphiretray::entry {

/// The process on an entry VM.
class entry_process {
public:
    /// Listens for callers, for peers and on the admin address. Fails like `http_server::create` and
    /// `peer_listener::create`.
    [[nodiscard]] static result<std::unique_ptr<entry_process>> create(net::loop& events,
                                                                       config::entry_settings settings);
    ~entry_process();
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Starts a graceful shutdown; the loop is stopped after the last request has ended.
    void drain();
    /// Reloads the certificate files.
    void reload_certificates();

private:
    struct implementation;
    explicit entry_process(std::unique_ptr<implementation> parts);
    std::unique_ptr<implementation> implementation_;
};

} // namespace samphiretray::entry

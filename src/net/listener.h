#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <sys/socket.h>

#include <functional>
#include <memory>

struct st_h2o_socket_t;

namespace samphiretray::net {

struct listener_options {
    /// Connections that the system keeps until they are accepted.
    int backlog = SOMAXCONN;
    /// Time until a connection may be accepted; zero if one may be now.
    std::function<duration()> wait_before_accept = {};
};

/// A listening TCP socket that passes accepted connections to a callback.
class listener {
public:
    /// Port 0 selects a free port. Fails with `errc::connection_failed` (step `connect`) if the address
    /// cannot be bound.
    [[nodiscard]] static result<std::unique_ptr<listener>>
    create(loop& events, const address& listen, std::function<void(st_h2o_socket_t*)> on_accept,
           listener_options options = {});
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] const address& local_address() const noexcept { return local_address_; }
    /// Closes the listening socket.
    void stop();

private:
    listener(loop& events, std::function<void(st_h2o_socket_t*)> on_accept, listener_options options);
    void start(int descriptor);
    void accept_pending();
    void pause_accepting(duration pause);

    loop& events_;
    std::function<void(st_h2o_socket_t*)> on_accept_;
    listener_options options_;
    st_h2o_socket_t* socket_ = nullptr;
    address local_address_;
    timer_handle resume_timer_;
};

} // namespace samphiretray::net

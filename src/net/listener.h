#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/net/address.h"
#include "samphiretray/net/loop.h"

#include <functional>
#include <memory>

struct st_h2o_socket_t;

namespace samphiretray::net {

/// A listening TCP socket on the loop.
class listener {
public:
    /// Port 0 takes a free port. Fails with `errc::connection_failed` (step `connect`).
    [[nodiscard]] static result<std::unique_ptr<listener>>
    create(loop& events, const address& listen, std::function<void(st_h2o_socket_t*)> on_socket);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] const address& local_address() const noexcept { return local_; }
    /// Closes the listening socket.
    void stop();

private:
    listener(loop& events, std::function<void(st_h2o_socket_t*)> on_socket);
    void start(int descriptor);
    void accept_waiting();
    void pause();

    loop& events_;
    std::function<void(st_h2o_socket_t*)> on_socket_;
    st_h2o_socket_t* socket_ = nullptr;
    address local_;
    timer_handle resume_;
};

} // namespace samphiretray::net

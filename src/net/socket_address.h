#pragma once

#include "samphiretray/net/address.h"

#include <sys/socket.h>

#include <optional>

namespace samphiretray::net {

/// An address as the socket system calls take it.
struct socket_address {
    sockaddr_storage bytes{};
    socklen_t length = 0;

    [[nodiscard]] sockaddr* get() noexcept { return reinterpret_cast<sockaddr*>(&bytes); }
    [[nodiscard]] const sockaddr* get() const noexcept { return reinterpret_cast<const sockaddr*>(&bytes); }
};

/// Returns nothing if `value.host` is not a numeric IP address.
[[nodiscard]] std::optional<socket_address> to_socket_address(const address& value);

/// Returns an empty address if the family is neither IPv4 nor IPv6.
[[nodiscard]] address from_socket_address(const sockaddr* value);

} // namespace samphiretray::net

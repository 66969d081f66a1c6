#pragma once

#include "samphiretray/base/error.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace samphiretray::net {

/// An IPv4 or IPv6 address in numeric form and a TCP port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const address&) const = default;
};

/// Parses "10.0.0.1:80" or "[::1]:80". Fails with `errc::invalid_argument` for host names, because processes
/// connect to each other by IP address only.
[[nodiscard]] result<address> parse_address(std::string_view text);

/// Formats an address so that `parse_address` reads it back: "10.0.0.1:80" or "[::1]:80".
[[nodiscard]] std::string to_string(const address& value);

} // namespace samphiretray::net

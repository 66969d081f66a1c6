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

/// Parses "10.0.0.1:80" or "[::1]:80". Fails with `errc::invalid_argument` for host names, since processes
/// reach each other by IP number only.
[[nodiscard]] result<address> parse_address(std::string_view text);

/// The inverse of `parse_address`.
[[nodiscard]] std::string to_string(const address& value);

} // namespace samphiretray::net

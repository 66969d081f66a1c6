#pragma once

#include "samphiretray/base/json_fields.h"
#include "samphiretray/net/address.h"

namespace samphiretray::net {

/// Whether port 0 (any free port) is accepted.
enum class port_rule { any, not_zero };

/// Reads a required JSON field with a numeric IP address and a port into `target`. Any other text is recorded
/// as an error in `fields`.
void read_address(json_fields& fields, std::string_view name, address& target,
                  port_rule rule = port_rule::any);

} // namespace samphiretray::net

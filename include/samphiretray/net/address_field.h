#pragma once

#include "samphiretray/base/json_fields.h"
#include "samphiretray/net/address.h"

namespace samphiretray::net {

enum class port_rule { any, not_zero };

/// Reads a required field with an IP address and a port; refuses any other text.
void read_address(json_fields& fields, std::string_view name, address& target,
                  port_rule rule = port_rule::any);

} // namespace samphiretray::net

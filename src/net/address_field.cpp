#include "samphiretray/net/address_field.h"

#include <utility>

namespace samphiretray::net {

void read_address(json_fields& fields, std::string_view name, address& target, port_rule rule) {
    std::string text;
    fields.read(name, text, json_fields::presence::required);
    if (fields.has_failed()) {
        return;
    }
    auto parsed = parse_address(text);
    if (!parsed || (rule == port_rule::not_zero && parsed->port == 0)) {
        fields.refuse(name, "an IP address and a port, such as \"10.0.0.1:80\"");
        return;
    }
    target = *std::move(parsed);
}

} // namespace samphiretray::net

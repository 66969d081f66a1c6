#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/platform/pending_calls.h"
#include "samphiretray/platform/vm_list.h"

#include <string_view>
#include <vector>

namespace samphiretray::platform {

/// Parses the body of `GET /v1/vms`. Fails with `errc::protocol_error` (step `configure`) naming VM and
/// field.
[[nodiscard]] result<std::vector<vm>> parse_vm_list(std::string_view text);

/// The platform's VM list over HTTP; see docs/protocols.md.
class http_vm_list {
public:
    http_vm_list(net::http_client& client, net::address service);

    void fetch(completion<std::vector<vm>> done);

private:
    net::address service_;
    pending_calls calls_;
};

static_assert(vm_list<http_vm_list>);

} // namespace samphiretray::platform

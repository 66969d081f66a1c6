#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/vm_list.h"

#include <string_view>

namespace samphiretray::ports {

/// Parses the response body of the VM list. An entry that is malformed or of an unknown kind is logged and
/// skipped, so that the other entries stay usable. Fails with `errc::protocol_error` if the body has no list.
[[nodiscard]] result<std::vector<vm>> parse_vm_list(std::string_view body);

/// HTTP client of the platform's VM list. Errors: those of `net::http_client`, and `unavailable` for a status
/// other than 200. Destroying it cancels its calls; their completions do not run.
class http_vm_list {
public:
    http_vm_list(net::http_client& client, net::address service, duration timeout = 2s);

    void fetch(completion<std::vector<vm>> done);

private:
    net::http_client& client_;
    net::address service_;
    duration timeout_;
    call_set calls_;
};

} // namespace samphiretray::ports

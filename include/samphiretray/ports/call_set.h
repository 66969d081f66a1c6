#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/ports/key_value.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>

namespace samphiretray::ports {

/// Owns the HTTP calls in flight. Destroying it cancels them; their completions do not run.
class call_set {
public:
    void fetch(net::http_client& client, net::http_call call, std::size_t max_bytes,
               completion<net::fetched_response> done);

private:
    std::map<std::uint64_t, std::unique_ptr<net::http_exchange>> calls_;
    std::uint64_t next_id_ = 0;
};

} // namespace samphiretray::ports

#pragma once

#include "samphiretray/net/address.h"
#include "samphiretray/net/http_client.h"
#include "samphiretray/platform/engine.h"
#include "samphiretray/platform/pending_calls.h"

#include <memory>
#include <string>

namespace samphiretray::platform {

/// An engine over HTTP; see docs/protocols.md. Plain services use `call` only.
class http_engine {
public:
    http_engine(net::http_client& client, net::address endpoint);

    void state(completion<engine_state> done);
    void load(const engine_order& order, completion<std::string> done);
    void unload(const engine_order& order, completion<std::string> done);
    [[nodiscard]] std::unique_ptr<engine_exchange> call(engine_call call, engine_call_events events);

private:
    void command(const std::string& target, const engine_order& order, completion<std::string> done);

    net::http_client& client_;
    net::address endpoint_;
    std::string peer_;
    pending_calls calls_;
};

static_assert(engine<http_engine>);

} // namespace samphiretray::platform

#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/engine.h"

#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::ports {

/// "<adapter>@<version>".
[[nodiscard]] std::string to_string(const adapter_version& value);

/// The inverse of `to_string`. Nothing if either part is empty; the last "@" separates them.
[[nodiscard]] std::optional<adapter_version> parse_adapter_version(std::string_view text);

struct http_engine_options {
    net::address endpoint;
    duration state_timeout = 2s;
    /// A load takes 0.25 s, and longer in proportion to the loads in flight fleet-wide.
    duration order_timeout = 30s;
};

/// A model engine over HTTP; `call` also serves plain services. Errors of `state`, `load` and `unload`: those
/// of `net::http_client`, and
/// - `fenced`: 409, the engine has seen a higher fencing number;
/// - `overloaded`: 507, no slot is free;
/// - `load_failed`: 502;
/// - `not_found`: 404, the adapter version is not loaded;
/// - `unavailable`: any other status than 200;
/// - `protocol_error`: a malformed state, or no incarnation in the response.
///
/// Destroying it cancels its orders without completions; calls are cancelled by their own handles.
class http_engine {
public:
    http_engine(net::http_client& client, http_engine_options options);

    void state(completion<engine_state> done);
    void load(const engine_order& order, completion<std::string> done);
    void unload(const engine_order& order, completion<std::string> done);
    [[nodiscard]] std::unique_ptr<engine_exchange> call(engine_call request, engine_call_events events);

private:
    void send_order(std::string target, const engine_order& order, completion<std::string> done);

    net::http_client& client_;
    http_engine_options options_;
    call_set calls_;
};

} // namespace samphiretray::ports

#pragma once

#include "samphiretray/net/http_client.h"
#include "samphiretray/ports/call_set.h"
#include "samphiretray/ports/engine.h"

#include <optional>
#include <string>
#include <string_view>

namespace samphiretray::ports {

/// Returns "<adapter>@<version>".
[[nodiscard]] std::string to_string(const adapter_version& value);

/// Parses "<adapter>@<version>", split at the last "@". Returns nothing if either part is empty.
[[nodiscard]] std::optional<adapter_version> parse_adapter_version(std::string_view text);

struct http_engine_options {
    net::address endpoint;
    duration state_timeout = 2s;
    /// A single load takes 0.25 s; the time grows in proportion to the loads in flight across the fleet.
    duration order_timeout = 30s;
};

/// HTTP client of a model engine; `call` also works with plain services. `state`, `load` and `unload` fail
/// with the errors of `net::http_client`, and with
/// - `fenced`: 409, the engine has seen a higher fencing number;
/// - `overloaded`: 507, no slot is free;
/// - `load_failed`: 502;
/// - `not_found`: 404, the adapter version is not loaded;
/// - `unavailable`: any other status than 200;
/// - `protocol_error`: malformed engine state, or no incarnation in the response.
///
/// Destroying it cancels its state requests and orders; their completions do not run. A call is cancelled by
/// destroying its `engine_exchange`.
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

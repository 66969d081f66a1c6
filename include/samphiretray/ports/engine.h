#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/ports/engine_memory.h"
#include "samphiretray/ports/key_value.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::ports {

/// The state that an engine reports; it may lag behind the actual state.
struct engine_state {
    /// Changes with every start of the engine.
    std::string incarnation;
    std::string base_model;
    /// Number of adapters that the engine can hold at once.
    std::uint32_t adapter_slots = 0;
    /// Maximum number of requests in one batch.
    std::uint32_t max_batch_size = 0;
    std::vector<adapter_version> loaded_adapters;
    /// Number of requests in the current batch.
    std::uint32_t running_requests = 0;
};

/// An order to load or unload an adapter version.
struct engine_order {
    adapter_version target;
    /// Engines that check fencing numbers refuse an order with a lower number than they have seen.
    std::uint64_t fencing_number = 0;
    /// What the engine may hold; null if that is not limited. A load that does not fit is refused.
    std::shared_ptr<const engine_memory> memory = {};
    /// Id of the engine incarnation that the order is for; any other one refuses it. Empty if not known.
    std::string engine_id = {};
};

/// A request to an engine or plain service.
struct engine_call {
    std::string path;
    std::string content_type;
    std::string body;
    /// Covers the whole call, up to the last byte of the response.
    duration timeout = 60s;
    /// HTTP method. Engines expect POST; plain services accept any method.
    std::string method = "POST";
    /// Sent as the X-Request-Id header unless empty.
    std::string request_id = {};
};

/// Handlers for the response of a call.
struct engine_call_events {
    std::function<void(int status, std::string content_type, std::string incarnation)> on_head;
    std::function<void(std::string_view bytes)> on_data;
    /// `failure` is empty if the response is complete.
    std::function<void(std::optional<error> failure)> on_end;
};

/// Handle of a call in flight. Destroying it cancels the call, and the engine drops the request from its
/// batch.
class engine_exchange {
public:
    virtual ~engine_exchange() = default;
    /// False only if certainly no byte of the request has been sent to the engine.
    [[nodiscard]] virtual bool may_have_been_sent() const noexcept = 0;
};

/// A model engine or plain service next to an agent. Completions run on the event loop.
template <typename Engine>
concept engine = requires(Engine& back_end, engine_order order, engine_call call, engine_call_events events,
                          completion<engine_state> on_state, completion<std::string> on_incarnation) {
    back_end.state(on_state);
    /// Passes on the incarnation of the engine that executed the order. Errors: `fenced`, `load_failed`,
    /// `timeout` and others.
    back_end.load(order, on_incarnation);
    back_end.unload(order, on_incarnation);
    { back_end.call(call, events) } -> std::same_as<std::unique_ptr<engine_exchange>>;
};

} // namespace samphiretray::ports

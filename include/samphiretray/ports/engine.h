#pragma once

#include "samphiretray/base/error.h"
#include "samphiretray/base/time.h"
#include "samphiretray/ports/key_value.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphiretray::ports {

/// The name of an adapter version as engines know it.
struct adapter_version {
    std::string adapter;
    std::string version;

    auto operator<=>(const adapter_version&) const = default;
};

/// What an engine reports about itself, with a lag.
struct engine_state {
    /// Changes with every start of the engine.
    std::string incarnation;
    std::string base_model;
    std::uint32_t slots = 0;
    /// Requests that the engine batches at once.
    std::uint32_t batch = 0;
    std::vector<adapter_version> loaded;
    std::uint32_t running = 0;
};

/// An order to load or unload an adapter version.
struct engine_order {
    adapter_version target;
    /// Engines that check fencing numbers refuse an order with a lower number than they have seen.
    std::uint64_t fencing_number = 0;
    /// A load is refused while the engine holds or loads this many adapters already.
    std::size_t adapter_slots = std::numeric_limits<std::size_t>::max();
};

struct engine_call {
    std::string path;
    std::string content_type;
    std::string body;
    /// From the call to the last byte of the answer.
    duration timeout = 60s;
    /// Plain services take any method.
    std::string method = "POST";
    /// Sent as X-Request-Id unless empty.
    std::string request_id = {};
};

struct engine_call_events {
    std::function<void(int status, std::string content_type, std::string incarnation)> on_head;
    std::function<void(std::string_view bytes)> on_data;
    /// Empty `failure` after a whole answer.
    std::function<void(std::optional<error> failure)> on_end;
};

/// Destroying it cancels the call; the engine frees its place in the batch.
class engine_exchange {
public:
    virtual ~engine_exchange() = default;
    /// False only while it is certain that no byte of the call was written to the engine.
    [[nodiscard]] virtual bool may_have_been_sent() const noexcept = 0;
};

/// A model engine or plain service beside an agent. Completions run from the loop.
template <typename Engine>
concept engine = requires(Engine& back_end, engine_order order, engine_call call, engine_call_events events,
                          completion<engine_state> on_state, completion<std::string> on_order) {
    back_end.state(on_state);
    /// Gives the incarnation that carried out the order. Errors: `fenced`, `load_failed`, `timeout` and
    /// others.
    back_end.load(order, on_order);
    back_end.unload(order, on_order);
    { back_end.call(call, events) } -> std::same_as<std::unique_ptr<engine_exchange>>;
};

} // namespace samphiretray::ports

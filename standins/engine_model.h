#pragma once

#include "samphiretray/base/time.h"

#include "standins/adapter_slots.h"
#include "standins/batch_scheduler.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphiretray::standins {

struct engine_options {
    /// Prefix of the incarnation; must differ between starts of the process.
    std::string name = "engine";
    std::string base_model = "base";
    std::uint32_t slots = 8;
    bool checks_fencing = false;
    /// Delay after which a change shows in the reported state.
    duration state_lag = 300ms;
    batch_options batch{};
};

/// The engine stand-in without I/O: adapter slots, batching, incarnation, delayed state reports, injected
/// faults and counters.
class engine_model {
public:
    explicit engine_model(const engine_options& options);

    /// Returns the id of the request, or nothing if the adapter version is not loaded.
    [[nodiscard]] std::optional<std::uint64_t> submit(batch_request request, time_point now);
    void cancel(std::uint64_t request) { batch_.cancel(request); }

    [[nodiscard]] begin_load_result begin_load(const std::string& name, std::uint64_t fencing);
    /// `incarnation` is the one in which the load began; the load is discarded if the engine has restarted
    /// since. Returns whether the load succeeded.
    bool finish_load(const std::string& name, bool succeeded, const std::string& incarnation);
    /// Aborts the requests for the adapter that are still running or waiting. An unload that aborts requests
    /// is counted as `unloads_in_use`.
    [[nodiscard]] unload_result unload(const std::string& name, std::uint64_t fencing);

    [[nodiscard]] std::vector<batch_event> advance(time_point now);
    [[nodiscard]] std::optional<time_point> next_event() const { return batch_.next_event(); }

    /// Drops all loaded adapters, requests and cached prefixes, and changes the incarnation.
    void restart();
    void pause() { batch_.pause(); }
    void resume(time_point now) { batch_.resume(now); }
    /// Makes the next `count` loads fail.
    void fail_next_loads(std::uint32_t count) { failing_loads_ = count; }

    [[nodiscard]] const std::string& incarnation() const noexcept { return incarnation_; }
    /// The state as it was `state_lag` before `now`.
    [[nodiscard]] nlohmann::json state(time_point now);
    [[nodiscard]] nlohmann::json counters() const;

private:
    struct snapshot {
        time_point taken;
        nlohmann::json state;
    };

    [[nodiscard]] nlohmann::json present_state() const;
    void take_snapshot(time_point now);

    engine_options options_;
    adapter_slots slots_;
    batch_scheduler batch_;
    std::string incarnation_;
    std::uint32_t starts_ = 1;
    std::uint32_t failing_loads_ = 0;
    std::deque<snapshot> snapshots_;
    std::map<std::string, std::uint64_t> requests_by_adapter_;
    std::map<std::string, std::uint64_t> counters_;
};

} // namespace samphiretray::standins

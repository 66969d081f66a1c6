#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/ports/engine.h"

#include <cstddef>
#include <list>
#include <span>

namespace samphiretray::agent {

/// Time to load an adapter from the weight store when the store is not busy; from the deployments' data
/// sheets.
inline constexpr duration nominal_store_load_time = 250ms;

struct load_pacing_settings {
    /// Maximum number of concurrent loads of this engine; the engine accepts four.
    std::size_t max_loads = 3;
    /// Maximum number of these that load from the weight store. All engines share the store: each load takes
    /// longer the more run concurrently, and occupies an adapter slot meanwhile.
    std::size_t max_store_loads = 1;
    duration nominal_load_time = nominal_store_load_time;
    /// Mean pause after a load from the store, as a multiple of the time that it took beyond
    /// `nominal_load_time`. The actual pause is between 0 and twice the mean and depends on the adapter: with
    /// equal pauses, engines that start together would load in lockstep and leave the store idle in between.
    double pause_factor = 1.0;
    /// Number of adapters that an engine caches in its memory besides those in its slots; from the data
    /// sheets.
    std::size_t cached_adapters = 48;
};

/// Limits the concurrent loads of one engine, so that a burst of requests for adapters that no engine holds
/// does not fill the slots of all engines with loads that slow each other down. Adapters that the engine has
/// loaded recently come from its own memory cache and are exempt from the limits on loads from the store.
class load_pacing {
public:
    explicit load_pacing(load_pacing_settings settings) : settings_(settings) {}

    /// `in_flight` are the adapters whose loads have begun.
    [[nodiscard]] bool may_begin(const ports::adapter_version& adapter,
                                 std::span<const ports::adapter_version> in_flight, time_point now) const;
    /// Records a successful load that took `took`.
    void on_loaded(const ports::adapter_version& adapter, duration took, time_point now);
    /// Records a restart of the engine, which empties its memory cache.
    void on_engine_restart();

private:
    [[nodiscard]] bool is_cached(const ports::adapter_version& adapter) const;

    load_pacing_settings settings_;
    /// Adapters assumed to be in the engine's memory cache, most recently loaded first.
    std::list<ports::adapter_version> cached_;
    time_point next_store_load_at_;
};

} // namespace samphiretray::agent

#pragma once

#include "samphiretray/base/time.h"
#include "samphiretray/ports/engine.h"

#include <cstddef>
#include <list>
#include <span>

namespace samphiretray::agent {

/// Load of an adapter from the weight store when it is not busy; the figure on the deployments' data sheets.
inline constexpr duration usual_store_load = 250ms;

struct load_pacing_settings {
    /// Loads of this engine in progress at once; the engine takes four.
    std::size_t most_loads = 3;
    /// Of these, loads from the weight store. All engines share the store, which works on each load more
    /// slowly the more there are, while each of them holds a slot.
    std::size_t store_loads = 1;
    duration usual_time = usual_store_load;
    /// Mean pause after a load from the store, as a part of the time that it took beyond the usual one. Each
    /// adapter has a pause of its own up to twice that, or engines that start together would load in step and
    /// leave the store idle between.
    double pause_part = 1.0;
    /// Adapters that an engine keeps in its memory besides those in its slots; the figure on the data sheets.
    std::size_t remembered = 48;
};

/// Decides when the loads of one engine begin, so that a rush for adapters that no engine holds does not fill
/// the slots of all engines with loads that slow each other down. Adapters that the engine held lately come
/// from its own memory and do not wait for the store.
class load_pacing {
public:
    explicit load_pacing(load_pacing_settings settings) : settings_(settings) {}

    /// `under_way` are the adapters whose loads have begun.
    [[nodiscard]] bool may_begin(const ports::adapter_version& adapter,
                                 std::span<const ports::adapter_version> under_way, time_point now) const;
    /// A load has ended well after `took`.
    void loaded(const ports::adapter_version& adapter, duration took, time_point now);
    /// The engine has restarted and its memory is empty.
    void restarted();

private:
    [[nodiscard]] bool remembers(const ports::adapter_version& adapter) const;

    load_pacing_settings settings_;
    /// The latest first.
    std::list<ports::adapter_version> remembered_;
    time_point store_not_before_;
};

} // namespace samphiretray::agent

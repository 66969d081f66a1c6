#pragma once

#include "samphiretray/base/name_table.h"
#include "samphiretray/base/time.h"
#include "samphiretray/ports/engine.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Decision logic of the agent beside an endpoint. It performs no I/O and gets the time as an argument.
namespace samphiretray::agent {

using ports::adapter_version;

struct slot_settings {
    std::size_t slots = 8;
    /// An adapter loaded less than this time ago is evicted only for a priority request.
    duration minimum_residence = 3s;
    /// Number of slots that requests without priority may not pin, so that a priority load can always evict
    /// one.
    std::size_t reserved_slots = 1;
    /// Half-life of an adapter's use count. The slot with the lowest count is evicted first. Zero selects
    /// plain LRU eviction.
    duration popularity_half_life = 120s;
    /// Wait after a failed load; doubles with each consecutive failure of the adapter, up to
    /// `max_load_backoff`.
    duration load_backoff = 200ms;
    duration max_load_backoff = 10s;
    /// Wait before a failed unload is retried.
    duration unload_backoff = 200ms;
    /// When requests have waited this long for an adapter and no slot can be evicted for it, one pinned slot
    /// is drained: it takes no new requests until it can be evicted.
    duration drain_after = 2s;
    /// Aging of waiting loads. Loads are ordered by their number of waiting requests, plus this many for each
    /// second that the adapter has been waited for.
    double rank_per_second = 0.05;
    /// Initial and lowest estimate of the time of a load. Higher estimates from observed loads decay towards
    /// it with `load_delay_half_life`.
    duration load_time = 250ms;
    duration load_delay_half_life = 10s;

    /// For callers that wait for one or two seconds at most: evicts by popularity only, since a minimum
    /// residence time would delay loads.
    [[nodiscard]] static slot_settings for_short_waits(std::size_t slots);
};

enum class slot_state { empty, loading, resident, unloading };

enum class slot_command_kind { load, unload, cancel_load };

/// A command for the engine. The caller reports its completion with `load_finished` or `unload_finished`.
struct slot_command {
    slot_command_kind kind = slot_command_kind::load;
    /// Identifies the command when its completion is reported; unique within the table.
    std::uint64_t id = 0;
    ports::engine_order order;
};

enum class load_outcome {
    loaded,
    /// It is certain that the adapter is not loaded.
    failed,
    /// The engine may or may not have loaded the adapter; the adapter is unloaded before the slot is reused.
    unknown,
};

/// Keeps an adapter from being evicted while a request uses it.
struct slot_pin {
    std::size_t slot = 0;
    /// Distinguishes this load of the slot from earlier and later ones.
    std::uint64_t generation = 0;
};

/// Effect of a restart of the engine.
struct restart_effect {
    /// Adapters with waiting requests; they must be loaded again.
    std::vector<adapter_version> reload;
    /// Adapters that had running requests; these requests are lost.
    std::vector<adapter_version> lost;
};

/// The adapter slots of one engine.
///
/// Life cycle of an adapter: the caller calls `wait_started` for each queued request, whether the adapter is
/// resident or not, asks for load permits for the adapters that `loads_wanted` returns, calls `begin_load`
/// once it has a permit, executes the returned commands and reports their completion with `load_finished` or
/// `unload_finished`. It calls `pin` for each request that starts to run, and `wait_ended` when a request
/// leaves the queue for any reason.
class slot_table {
public:
    explicit slot_table(slot_settings settings);

    using weight_function = std::function<double(const adapter_version&)>;

    /// Reports the incarnation that an answer of the engine carried. The first incarnation and repeated ones
    /// have no effect. A different one means that the engine has restarted: it empties the table and removes
    /// all pins, and completions of earlier commands are ignored from then on.
    [[nodiscard]] std::optional<restart_effect> on_incarnation(std::string_view incarnation, time_point now);

    /// Registers adapters that the engine holds but this table did not load, for example when a new agent
    /// finds a running engine. Adapters beyond the number of slots are ignored.
    void adopt(const std::vector<adapter_version>& loaded, time_point now);

    /// Compares the table with the adapters that the engine reports as loaded. A difference takes effect once
    /// two consecutive comparisons show it: a resident adapter that the engine does not hold is removed from
    /// the table unless requests run on it, and an adapter that only the engine holds takes an empty slot.
    /// Returns the adapters for which there is no empty slot; the caller must unload them.
    [[nodiscard]] std::vector<adapter_version> reconcile(const std::vector<adapter_version>& loaded,
                                                         time_point now);
    /// Removes an adapter from the table after the engine refused a request because it does not hold it. No
    /// effect while requests run on it.
    void on_not_loaded(const adapter_version& adapter);

    /// Records that a request began to wait for `adapter`.
    void wait_started(const adapter_version& adapter, bool priority, time_point now);
    /// Records that a request stopped waiting. A load that no request waits for any more is cancelled.
    [[nodiscard]] std::vector<slot_command> wait_ended(const adapter_version& adapter, bool priority,
                                                       time_point now);

    /// Adapters with waiting requests for which a load can begin now, at most as many as there are slots for.
    /// Those with priority requests come first, then the order is by the number of waiting requests and the
    /// age of the wait, see `slot_settings`. `weight` replaces the number of waiting requests unless it is
    /// empty. Also begins and ends the draining of a slot, so it has to be called after other events and
    /// periodically.
    [[nodiscard]] std::vector<adapter_version> loads_wanted(time_point now,
                                                            const weight_function& weight = {});
    /// Begins a load. Returns no commands if the load cannot begin: no request waits for the adapter any
    /// more, a slot already has it, the wait after a failed load is not over, or no slot is available.
    [[nodiscard]] std::vector<slot_command> begin_load(const adapter_version& adapter,
                                                       std::uint64_t fencing_number, time_point now);

    /// Reports the completion of a load. Completions that the table does not expect are ignored and counted.
    [[nodiscard]] std::vector<slot_command> load_finished(std::uint64_t id, load_outcome outcome,
                                                          time_point now);
    /// Reports the completion of an unload. `unloaded` is also true if the engine did not hold the adapter.
    [[nodiscard]] std::vector<slot_command> unload_finished(std::uint64_t id, bool unloaded, time_point now);
    /// Retries failed unloads that are due, and unloads adapters above the capacity. Has to be called
    /// periodically.
    [[nodiscard]] std::vector<slot_command> poll(time_point now);

    /// True if `pin` would succeed.
    [[nodiscard]] bool can_run(const adapter_version& adapter, bool priority) const;
    /// Pins the slot of a resident adapter for one request; empty if the request must wait.
    [[nodiscard]] std::optional<slot_pin> pin(const adapter_version& adapter, bool priority, time_point now);
    /// Releases a pin. No effect for a pin from before a restart of the engine.
    void unpin(const slot_pin& pin, time_point now);

    [[nodiscard]] bool resident(const adapter_version& adapter) const;
    /// The adapters of all resident slots.
    [[nodiscard]] std::vector<adapter_version> resident_adapters() const;
    [[nodiscard]] std::uint32_t pins(const adapter_version& adapter) const;
    /// Changes the number of adapters that may be held. Those above it are unloaded by `poll`, the least used
    /// first, as soon as no request runs on them.
    void set_capacity(std::size_t adapters);
    [[nodiscard]] std::size_t capacity() const noexcept { return capacity_; }
    [[nodiscard]] std::size_t count(slot_state state) const;
    [[nodiscard]] std::size_t pinned_count() const;
    /// Number of slots that a load could take now, if necessary by an eviction.
    [[nodiscard]] std::size_t free_slots() const;
    /// Adapters whose loads have begun, including those whose slot is still being unloaded.
    [[nodiscard]] std::vector<adapter_version> loads_in_flight() const;
    /// Number of adapters that requests wait for and that no slot holds or is about to hold.
    [[nodiscard]] std::size_t wanted_count() const;
    /// Estimated time from the first wait for an adapter to the end of its load, based on recent loads.
    [[nodiscard]] duration load_delay(time_point now) const;
    /// Consecutive failed loads of the adapter. After a few, the caller refuses the waiting requests.
    [[nodiscard]] std::uint32_t failures(const adapter_version& adapter) const;
    [[nodiscard]] std::uint64_t evictions() const noexcept { return evictions_; }
    [[nodiscard]] std::uint64_t ignored_reports() const noexcept { return ignored_reports_; }

private:
    struct slot {
        slot_state state = slot_state::empty;
        adapter_version adapter;
        std::uint32_t pins = 0;
        /// Id of the last command; for a resident adapter the one that loaded it.
        std::uint64_t command_id = 0;
        std::uint64_t fencing_number = 0;
        time_point loaded_at;
        time_point used_at;
        bool draining = false;
        bool cancelling = false;
        /// Loaded for waiting requests and not used yet; only a priority load may evict it before its first
        /// use.
        bool held_for_waiter = false;
        /// The last `reconcile` did not find the adapter at the engine.
        bool missing_at_engine = false;
        /// The adapter to load after an unload.
        std::optional<adapter_version> next_adapter;
        /// Set while a failed unload waits to be retried.
        std::optional<time_point> retry_unload_at;
    };

    /// How much an adapter is used; kept also while it is not resident.
    struct adapter_usage {
        /// Number of uses, decayed with `popularity_half_life`, as of `at`.
        double popularity = 0.0;
        time_point at;
    };

    struct demand {
        std::uint32_t waiting = 0;
        std::uint32_t waiting_priority = 0;
        time_point waiting_since;
        std::uint32_t failures = 0;
        time_point backoff_until;
    };

    [[nodiscard]] slot* find(const adapter_version& adapter);
    [[nodiscard]] const slot* find(const adapter_version& adapter) const;
    [[nodiscard]] slot* find_command(slot_state state, std::uint64_t id);
    [[nodiscard]] bool assigned(const adapter_version& adapter) const;
    [[nodiscard]] bool waited_for(const adapter_version& adapter) const;
    [[nodiscard]] std::size_t evictable_count() const;
    [[nodiscard]] std::size_t occupied_count() const;
    /// An unused slot within the capacity; null if there is none.
    [[nodiscard]] slot* find_empty();
    void unload_excess(std::vector<slot_command>& commands, time_point now);
    [[nodiscard]] bool any_draining() const;
    [[nodiscard]] bool is_victim(const slot& candidate, const demand& wanted, time_point now) const;
    [[nodiscard]] slot* choose_slot(const demand& wanted, time_point now);
    [[nodiscard]] double popularity_of(const adapter_usage& usage, time_point now) const;
    void count_use(const adapter_version& adapter, time_point now);
    [[nodiscard]] double retention_value(const slot& candidate, time_point now) const;
    [[nodiscard]] bool may_begin(const adapter_version& adapter, const demand& wanted, time_point now) const;
    [[nodiscard]] std::vector<const std::pair<const adapter_version, demand>*>
    demands_in_order(time_point now, const weight_function& weight) const;
    void update_draining(bool needed, time_point now);
    [[nodiscard]] slot_command start_load(slot& target, const adapter_version& adapter);
    [[nodiscard]] slot_command start_unload(slot& target);
    void record_failure(const adapter_version& adapter, time_point now);
    void observe_load_delay(duration waited, time_point now);
    void forget_idle_demands(time_point now);

    slot_settings settings_;
    std::size_t reserved_ = 0;
    std::size_t capacity_;
    /// At least as many as the capacity; more after it has been lowered.
    std::vector<slot> slots_;
    std::map<adapter_version, demand> demands_;
    std::vector<adapter_version> unexpected_adapters_;
    std::map<adapter_version, adapter_usage> usage_;
    time_point usage_pruned_at_;
    std::string incarnation_;
    std::uint64_t next_command_ = 1;
    duration load_delay_;
    time_point load_delay_at_;
    std::uint64_t evictions_ = 0;
    std::uint64_t ignored_reports_ = 0;
};

} // namespace samphiretray::agent

namespace samphiretray {

template <>
inline constexpr auto name_table<agent::slot_state> =
    std::to_array<std::pair<agent::slot_state, std::string_view>>({
        {agent::slot_state::empty, "empty"},
        {agent::slot_state::loading, "loading"},
        {agent::slot_state::resident, "resident"},
        {agent::slot_state::unloading, "unloading"},
    });

} // namespace samphiretray

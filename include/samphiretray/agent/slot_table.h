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

/// Decisions of the agent beside an endpoint. No I/O; the time is an argument.
namespace samphiretray::agent {

using ports::adapter_version;

struct slot_settings {
    std::size_t slots = 8;
    /// A slot loaded less than this time ago is evicted only for a priority customer.
    duration minimum_residence = 3s;
    /// Slots kept free of pins by requests without priority, so that a priority load can always evict one.
    std::size_t reserved = 1;
    /// A use of an adapter counts half after this time when slots are compared for eviction. Zero: least
    /// recently used, without popularity.
    duration popularity_half_life = 120s;
    /// Wait after a failed load; doubles with each further failure of the adapter.
    duration load_backoff = 200ms;
    duration max_load_backoff = 10s;
    /// Wait before a failed unload is repeated.
    duration unload_backoff = 200ms;
    /// When an adapter has waited this long and all slots are pinned, one slot takes no new requests until
    /// it can be evicted.
    duration drain_after = 2s;
    /// Loads are wanted in the order of the number of waiting requests, with this many added for each second
    /// of the longest wait.
    double rank_per_second = 0.05;
    /// Estimated time of a load until others are seen; observed ones lose half of their weight in
    /// `load_delay_half_life`.
    duration load_time = 250ms;
    duration load_delay_half_life = 10s;
};

enum class slot_state { empty, loading, resident, unloading };

enum class slot_command_kind { load, unload, cancel_load };

/// A command for the engine. The process reports its end with `load_finished` or `unload_finished`.
struct slot_command {
    slot_command_kind kind = slot_command_kind::load;
    /// Names the command in the report of its end; unique for the life of the table.
    std::uint64_t id = 0;
    ports::engine_order order;
};

enum class load_outcome {
    loaded,
    /// The engine said that the adapter is not loaded.
    failed,
    /// The engine may or may not have loaded the adapter; the slot is unloaded before its next use.
    unknown,
};

/// Keeps an adapter resident for one request.
struct slot_pin {
    std::size_t slot = 0;
    /// Distinguishes successive contents of the slot.
    std::uint64_t generation = 0;
};

/// Effect of a change of the engine's incarnation.
struct restart_effect {
    /// Adapters with waiting requests; they must be loaded again.
    std::vector<adapter_version> reload;
    /// Adapters with running requests; these requests are lost.
    std::vector<adapter_version> lost;
};

/// The adapter slots of one engine.
///
/// Cycle of an adapter: `wait_started` for each queued request, resident or not; `loads_wanted` names the
/// adapters for which a permit is worth asking; `begin_load` with the permit; commands; `load_finished`;
/// `pin` for each request that runs, and `wait_ended` when a request leaves the queue for any reason.
class slot_table {
public:
    explicit slot_table(slot_settings settings);

    using weight_function = std::function<double(const adapter_version&)>;

    /// Reports the incarnation in an answer of the engine. The first one and equal ones have no effect.
    /// Another one empties the table and removes all pins; ends of earlier commands are then ignored.
    [[nodiscard]] std::optional<restart_effect> incarnation_seen(std::string_view incarnation,
                                                                 time_point now);

    /// Registers that adapters are loaded that this table did not load (an engine found running by a new
    /// agent). Adapters beyond the number of slots are ignored.
    void adopt(const std::vector<adapter_version>& loaded, time_point now);

    /// Compares the table with what the engine says that it holds. What two comparisons in a row show counts:
    /// a resident adapter that the engine does not hold is forgotten unless requests run on it, and one that
    /// the engine holds besides takes a free slot. Returns those for which there is no slot; they are to be
    /// unloaded.
    [[nodiscard]] std::vector<adapter_version> reconcile(const std::vector<adapter_version>& loaded,
                                                         time_point now);
    /// The engine has refused a request because it does not hold the adapter.
    void forget(const adapter_version& adapter);

    /// A request began to wait for `adapter`.
    void wait_started(const adapter_version& adapter, bool priority, time_point now);
    /// A request stopped waiting. A load that nobody waits for any more is cancelled.
    [[nodiscard]] std::vector<slot_command> wait_ended(const adapter_version& adapter, bool priority,
                                                       time_point now);

    /// Adapters with waiting requests for which a load can begin now, priority first, then by
    /// `rank_per_second`.
    /// At most as many as there are slots for. Also begins and ends draining; called after other events and
    /// from time to time.
    /// `weight` replaces the number of waiting requests in the order, unless it is empty.
    [[nodiscard]] std::vector<adapter_version> loads_wanted(time_point now,
                                                            const weight_function& weight = {});
    /// Begins a load. No commands if it cannot begin (any more): nobody waits, backoff, no slot.
    [[nodiscard]] std::vector<slot_command> begin_load(const adapter_version& adapter,
                                                       std::uint64_t fencing_number, time_point now);

    /// Ends of commands that the table does not expect are ignored and counted.
    [[nodiscard]] std::vector<slot_command> load_finished(std::uint64_t id, load_outcome outcome,
                                                          time_point now);
    /// `unloaded` is also true if the engine said that the adapter was not there.
    [[nodiscard]] std::vector<slot_command> unload_finished(std::uint64_t id, bool unloaded, time_point now);
    /// Repeats failed unloads that are due. Called from time to time.
    [[nodiscard]] std::vector<slot_command> poll(time_point now);

    /// True if `pin` would succeed.
    [[nodiscard]] bool can_run(const adapter_version& adapter, bool priority) const;
    /// Pins the slot of a resident adapter for one request; nothing if the request must wait.
    [[nodiscard]] std::optional<slot_pin> pin(const adapter_version& adapter, bool priority, time_point now);
    /// Ends a pin. A pin from before a restart of the engine has no effect.
    void unpin(const slot_pin& pin, time_point now);

    [[nodiscard]] bool resident(const adapter_version& adapter) const;
    /// The adapters of all resident slots.
    [[nodiscard]] std::vector<adapter_version> residents() const;
    [[nodiscard]] std::uint32_t pins(const adapter_version& adapter) const;
    [[nodiscard]] std::size_t size() const noexcept { return slots_.size(); }
    [[nodiscard]] std::size_t count(slot_state state) const;
    [[nodiscard]] std::size_t pinned() const;
    /// Slots that a load could take now.
    [[nodiscard]] std::size_t free_slots() const;
    /// Adapters whose loads have begun, those among them whose slot is still being emptied.
    [[nodiscard]] std::vector<adapter_version> loads_under_way() const;
    /// Adapters that requests wait for and that no slot has.
    [[nodiscard]] std::size_t wanted() const;
    /// Estimated time from the first wait for an adapter to the end of its load, from the loads of late.
    [[nodiscard]] duration load_delay(time_point now) const;
    /// Failed loads in a row; the process refuses waiting requests after a few.
    [[nodiscard]] std::uint32_t failures(const adapter_version& adapter) const;
    [[nodiscard]] std::uint64_t evictions() const noexcept { return evictions_; }
    [[nodiscard]] std::uint64_t ignored_reports() const noexcept { return ignored_reports_; }

private:
    struct slot {
        slot_state state = slot_state::empty;
        adapter_version holds;
        std::uint32_t pins = 0;
        /// The last command; for a resident adapter the one that loaded it.
        std::uint64_t command = 0;
        std::uint64_t fencing_number = 0;
        time_point loaded_at;
        time_point used_at;
        bool draining = false;
        bool cancelling = false;
        /// Loaded for waiting requests and not used yet; it may not be evicted without use.
        bool promised = false;
        /// The last comparison did not find the adapter at the engine.
        bool missing = false;
        /// The adapter to load after an unload.
        std::optional<adapter_version> next;
        /// Set while a failed unload waits to be repeated.
        std::optional<time_point> repeat_at;
    };

    /// Use of an adapter, also while it is not resident.
    struct use {
        /// Uses, each halved after every `popularity_half_life`, as of `at`.
        double popularity = 0.0;
        time_point at;
    };

    struct demand {
        std::uint32_t waiting = 0;
        std::uint32_t waiting_priority = 0;
        time_point since;
        std::uint32_t failures = 0;
        time_point not_before;
    };

    [[nodiscard]] slot* find(const adapter_version& adapter);
    [[nodiscard]] const slot* find(const adapter_version& adapter) const;
    [[nodiscard]] slot* find_command(slot_state state, std::uint64_t id);
    [[nodiscard]] bool assigned(const adapter_version& adapter) const;
    [[nodiscard]] bool waited_for(const adapter_version& adapter) const;
    [[nodiscard]] std::size_t evictable() const;
    [[nodiscard]] bool any_draining() const;
    [[nodiscard]] bool is_victim(const slot& of, const demand& wanted, time_point now) const;
    [[nodiscard]] slot* choose_slot(const demand& wanted, time_point now);
    [[nodiscard]] double popularity_of(const use& of, time_point now) const;
    void count_use(const adapter_version& adapter, time_point now);
    [[nodiscard]] double value_of(const slot& of, time_point now) const;
    [[nodiscard]] bool may_begin(const adapter_version& adapter, const demand& wanted, time_point now) const;
    [[nodiscard]] std::vector<const std::pair<const adapter_version, demand>*>
    demands_in_order(time_point now, const weight_function& weight) const;
    void update_draining(bool needed, time_point now);
    [[nodiscard]] slot_command start_load(slot& into, const adapter_version& adapter);
    [[nodiscard]] slot_command start_unload(slot& of);
    void record_failure(const adapter_version& adapter, time_point now);
    void observe_load_delay(duration waited, time_point now);
    void forget_idle_demands(time_point now);

    slot_settings settings_;
    std::size_t reserved_;
    std::vector<slot> slots_;
    std::map<adapter_version, demand> demands_;
    std::vector<adapter_version> unexpected_;
    std::map<adapter_version, use> uses_;
    time_point uses_pruned_at_;
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

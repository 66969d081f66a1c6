#include "samphiretray/agent/slot_table.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace samphiretray::agent {

namespace {

/// A new load delay counts one part in this many of the moving average.
constexpr int load_delay_weight = 4;

/// Adapters used less than this are forgotten; it bounds the table to those used in a few half lives.
constexpr double least_popularity = 0.1;

} // namespace

slot_table::slot_table(slot_settings settings)
    : settings_(settings),
      reserved_(std::min(settings.reserved, std::max<std::size_t>(settings.slots, 1) - 1)),
      slots_(settings.slots), load_delay_(settings.load_time) {}

slot_table::slot* slot_table::find(const adapter_version& adapter) {
    const auto found = std::ranges::find_if(
        slots_, [&](const slot& of) { return of.state == slot_state::resident && of.holds == adapter; });
    return found == slots_.end() ? nullptr : &*found;
}

const slot_table::slot* slot_table::find(const adapter_version& adapter) const {
    const auto found = std::ranges::find_if(
        slots_, [&](const slot& of) { return of.state == slot_state::resident && of.holds == adapter; });
    return found == slots_.end() ? nullptr : &*found;
}

slot_table::slot* slot_table::find_command(slot_state state, std::uint64_t id) {
    const auto found =
        std::ranges::find_if(slots_, [&](const slot& of) { return of.state == state && of.command == id; });
    return found == slots_.end() ? nullptr : &*found;
}

/// True if a slot holds the adapter or is on its way to hold it. While the adapter is being unloaded, the
/// engine still knows its name, so it cannot be loaded into another slot.
bool slot_table::assigned(const adapter_version& adapter) const {
    return std::ranges::any_of(slots_, [&](const slot& of) {
        return (of.state != slot_state::empty && of.holds == adapter) || of.next == adapter;
    });
}

bool slot_table::waited_for(const adapter_version& adapter) const {
    const auto found = demands_.find(adapter);
    return found != demands_.end() && found->second.waiting > 0;
}

/// Slots that a priority load could take at once.
std::size_t slot_table::evictable() const {
    return static_cast<std::size_t>(std::ranges::count_if(slots_, [](const slot& of) {
        return of.state == slot_state::empty ||
               (of.state == slot_state::resident && of.pins == 0 && !of.promised);
    }));
}

bool slot_table::any_draining() const {
    return std::ranges::any_of(slots_, &slot::draining);
}

std::optional<restart_effect> slot_table::incarnation_seen(std::string_view incarnation, time_point now) {
    if (incarnation_ == incarnation) {
        return std::nullopt;
    }
    const bool first = incarnation_.empty();
    incarnation_ = incarnation;
    if (first) {
        return std::nullopt;
    }
    restart_effect effect;
    for (slot& of : slots_) {
        if (of.pins > 0) {
            effect.lost.push_back(of.holds);
        }
        of = slot{};
    }
    for (auto& [adapter, wanted] : demands_) {
        wanted.failures = 0;
        wanted.not_before = now;
        if (wanted.waiting > 0) {
            effect.reload.push_back(adapter);
        }
    }
    return effect;
}

void slot_table::adopt(const std::vector<adapter_version>& loaded, time_point now) {
    for (const adapter_version& adapter : loaded) {
        const auto free = std::ranges::find(slots_, slot_state::empty, &slot::state);
        if (free == slots_.end() || assigned(adapter)) {
            continue;
        }
        free->state = slot_state::resident;
        free->holds = adapter;
        free->command = next_command_++;
        free->loaded_at = now;
        free->used_at = now;
    }
}

std::vector<adapter_version> slot_table::reconcile(const std::vector<adapter_version>& loaded,
                                                   time_point now) {
    const auto holds = [&loaded](const adapter_version& adapter) {
        return std::ranges::find(loaded, adapter) != loaded.end();
    };
    for (slot& of : slots_) {
        const bool missing = of.state == slot_state::resident && of.pins == 0 && !holds(of.holds);
        if (missing && of.missing) {
            of = slot{};
            continue;
        }
        of.missing = missing;
    }
    std::vector<adapter_version> unexpected;
    std::ranges::copy_if(loaded, std::back_inserter(unexpected),
                         [this](const adapter_version& adapter) { return !assigned(adapter); });
    std::vector<adapter_version> confirmed;
    std::ranges::copy_if(unexpected, std::back_inserter(confirmed), [this](const adapter_version& adapter) {
        return std::ranges::find(unexpected_, adapter) != unexpected_.end();
    });
    unexpected_ = std::move(unexpected);
    adopt(confirmed, now);
    std::erase_if(confirmed, [this](const adapter_version& adapter) { return assigned(adapter); });
    return confirmed;
}

void slot_table::forget(const adapter_version& adapter) {
    slot* of = find(adapter);
    if (of != nullptr && of->pins == 0) {
        *of = slot{};
    }
}

void slot_table::wait_started(const adapter_version& adapter, bool priority, time_point now) {
    demand& wanted = demands_[adapter];
    if (wanted.waiting == 0) {
        wanted.since = now;
    }
    ++wanted.waiting;
    wanted.waiting_priority += priority ? 1 : 0;
}

std::vector<slot_command> slot_table::wait_ended(const adapter_version& adapter, bool priority,
                                                 time_point now) {
    const auto found = demands_.find(adapter);
    if (found == demands_.end() || found->second.waiting == 0) {
        return {};
    }
    demand& wanted = found->second;
    --wanted.waiting;
    wanted.waiting_priority -= priority && wanted.waiting_priority > 0 ? 1 : 0;
    if (wanted.waiting > 0) {
        return {};
    }
    forget_idle_demands(now);
    std::vector<slot_command> commands;
    for (slot& of : slots_) {
        if (of.next == adapter) {
            of.next.reset();
        }
        if (of.holds != adapter) {
            continue;
        }
        of.promised = false;
        if (of.state == slot_state::loading && !of.cancelling) {
            of.cancelling = true;
            commands.push_back({slot_command_kind::cancel_load, of.command, {adapter, of.fencing_number}});
        }
    }
    return commands;
}

void slot_table::forget_idle_demands(time_point now) {
    std::erase_if(demands_, [now](const auto& entry) {
        const demand& wanted = entry.second;
        return wanted.waiting == 0 && (wanted.failures == 0 || now >= wanted.not_before);
    });
}

bool slot_table::may_begin(const adapter_version& adapter, const demand& wanted, time_point now) const {
    return wanted.waiting > 0 && now >= wanted.not_before && !assigned(adapter);
}

double slot_table::popularity_of(const use& of, time_point now) const {
    const std::chrono::duration<double> age = now - of.at;
    return of.popularity * std::exp2(-age / std::chrono::duration<double>{settings_.popularity_half_life});
}

/// Popularity; without it the time of the last use.
double slot_table::value_of(const slot& of, time_point now) const {
    if (settings_.popularity_half_life == duration::zero()) {
        return std::chrono::duration<double>{of.used_at.time_since_epoch()}.count();
    }
    const auto found = uses_.find(of.holds);
    return found == uses_.end() ? 0.0 : popularity_of(found->second, now);
}

void slot_table::count_use(const adapter_version& adapter, time_point now) {
    if (settings_.popularity_half_life == duration::zero()) {
        return;
    }
    if (now - uses_pruned_at_ >= settings_.popularity_half_life) {
        std::erase_if(uses_,
                      [&](const auto& each) { return popularity_of(each.second, now) < least_popularity; });
        uses_pruned_at_ = now;
    }
    use& of = uses_[adapter];
    of = {popularity_of(of, now) + 1.0, now};
}

bool slot_table::is_victim(const slot& of, const demand& wanted, time_point now) const {
    if (of.state != slot_state::resident || of.pins > 0) {
        return false;
    }
    if (wanted.waiting_priority > 0 || of.draining) {
        return true;
    }
    const bool starving = now - wanted.since >= settings_.drain_after;
    return !of.promised && now - of.loaded_at >= settings_.minimum_residence &&
           (starving || !waited_for(of.holds));
}

/// An empty slot, else the best victim: a drained one, then one that nobody waits for, then the least
/// valuable.
slot_table::slot* slot_table::choose_slot(const demand& wanted, time_point now) {
    const bool priority = wanted.waiting_priority > 0;
    if (!priority && evictable() <= reserved_) {
        return nullptr;
    }
    const auto empty = std::ranges::find(slots_, slot_state::empty, &slot::state);
    if (empty != slots_.end()) {
        return &*empty;
    }
    const auto rank = [&](const slot& of) {
        return std::tuple{of.promised, !of.draining, waited_for(of.holds), value_of(of, now)};
    };
    slot* best = nullptr;
    for (slot& of : slots_) {
        if (is_victim(of, wanted, now) && (best == nullptr || rank(of) < rank(*best))) {
            best = &of;
        }
    }
    return best;
}

std::vector<const std::pair<const adapter_version, slot_table::demand>*>
slot_table::demands_in_order(time_point now, const weight_function& weight) const {
    std::vector<const std::pair<const adapter_version, demand>*> order;
    for (const auto& entry : demands_) {
        if (may_begin(entry.first, entry.second, now)) {
            order.push_back(&entry);
        }
    }
    const auto rank = [&](const auto* entry) {
        const std::chrono::duration<double> age = now - entry->second.since;
        const double count = weight ? weight(entry->first) : entry->second.waiting;
        return std::tuple{entry->second.waiting_priority > 0,
                          count + settings_.rank_per_second * age.count()};
    };
    std::ranges::stable_sort(order, std::ranges::greater{}, rank);
    return order;
}

std::vector<adapter_version> slot_table::loads_wanted(time_point now, const weight_function& weight) {
    const auto order = demands_in_order(now, weight);
    const std::size_t free = evictable();
    std::vector<adapter_version> wanted;
    bool starving = false;
    for (const auto* entry : order) {
        const bool priority = entry->second.waiting_priority > 0;
        const bool room = wanted.size() + (priority ? 0 : reserved_) < free;
        if (room && choose_slot(entry->second, now) != nullptr) {
            wanted.push_back(entry->first);
        } else if (wanted.empty() && (priority || now - entry->second.since >= settings_.drain_after)) {
            starving = true;
        }
    }
    update_draining(starving, now);
    return wanted;
}

void slot_table::update_draining(bool needed, time_point now) {
    if (!needed) {
        std::ranges::for_each(slots_, [](slot& of) { of.draining = false; });
        return;
    }
    if (any_draining()) {
        return;
    }
    slot* least = nullptr;
    for (slot& of : slots_) {
        const bool eligible = of.state == slot_state::resident && of.pins > 0;
        if (eligible && (least == nullptr || value_of(of, now) < value_of(*least, now))) {
            least = &of;
        }
    }
    if (least != nullptr) {
        least->draining = true;
    }
}

slot_command slot_table::start_load(slot& into, const adapter_version& adapter) {
    const std::uint64_t fencing = into.fencing_number;
    into = slot{};
    into.state = slot_state::loading;
    into.holds = adapter;
    into.fencing_number = fencing;
    into.command = next_command_++;
    return {slot_command_kind::load, into.command, {adapter, fencing}};
}

slot_command slot_table::start_unload(slot& of) {
    of.state = slot_state::unloading;
    of.draining = false;
    of.promised = false;
    of.cancelling = false;
    of.repeat_at.reset();
    of.command = next_command_++;
    return {slot_command_kind::unload, of.command, {of.holds, of.fencing_number}};
}

std::vector<slot_command> slot_table::begin_load(const adapter_version& adapter, std::uint64_t fencing_number,
                                                 time_point now) {
    const auto wanted = demands_.find(adapter);
    if (wanted == demands_.end() || !may_begin(adapter, wanted->second, now)) {
        return {};
    }
    slot* chosen = choose_slot(wanted->second, now);
    if (chosen == nullptr) {
        return {};
    }
    chosen->fencing_number = fencing_number;
    if (chosen->state == slot_state::empty) {
        return {start_load(*chosen, adapter)};
    }
    ++evictions_;
    chosen->next = adapter;
    return {start_unload(*chosen)};
}

void slot_table::record_failure(const adapter_version& adapter, time_point now) {
    demand& wanted = demands_[adapter];
    const double factor = std::exp2(std::min(wanted.failures, 20U));
    const std::chrono::duration<double, std::micro> wait = settings_.load_backoff * factor;
    ++wanted.failures;
    wanted.not_before =
        now + std::min(settings_.max_load_backoff, std::chrono::duration_cast<duration>(wait));
}

std::vector<slot_command> slot_table::load_finished(std::uint64_t id, load_outcome outcome, time_point now) {
    slot* of = find_command(slot_state::loading, id);
    if (of == nullptr) {
        ++ignored_reports_;
        return {};
    }
    if (outcome == load_outcome::loaded) {
        of->state = slot_state::resident;
        of->loaded_at = now;
        of->used_at = now;
        of->cancelling = false;
        of->promised = waited_for(of->holds);
        if (const auto wanted = demands_.find(of->holds); wanted != demands_.end()) {
            wanted->second.failures = 0;
            observe_load_delay(now - wanted->second.since, now);
        }
        return {};
    }
    if (!of->cancelling) {
        record_failure(of->holds, now);
    }
    if (outcome == load_outcome::unknown) {
        return {start_unload(*of)};
    }
    *of = slot{};
    return {};
}

std::vector<slot_command> slot_table::unload_finished(std::uint64_t id, bool unloaded, time_point now) {
    slot* of = find_command(slot_state::unloading, id);
    if (of == nullptr || of->repeat_at) {
        ++ignored_reports_;
        return {};
    }
    if (!unloaded) {
        of->repeat_at = now + settings_.unload_backoff;
        return {};
    }
    const std::optional<adapter_version> next = of->next;
    if (next) {
        return {start_load(*of, *next)};
    }
    *of = slot{};
    return {};
}

std::vector<slot_command> slot_table::poll(time_point now) {
    std::vector<slot_command> commands;
    for (slot& of : slots_) {
        if (of.state == slot_state::unloading && of.repeat_at && now >= *of.repeat_at) {
            commands.push_back(start_unload(of));
        }
    }
    forget_idle_demands(now);
    return commands;
}

bool slot_table::can_run(const adapter_version& adapter, bool priority) const {
    const slot* of = find(adapter);
    if (of == nullptr) {
        return false;
    }
    if (priority || of->promised) {
        return true;
    }
    if (of->draining) {
        return false;
    }
    // A drained slot is meant for an adapter that waits, so another one stays evictable besides it.
    const std::size_t kept = reserved_ + (any_draining() ? 1 : 0);
    return of->pins > 0 || evictable() > kept;
}

std::optional<slot_pin> slot_table::pin(const adapter_version& adapter, bool priority, time_point now) {
    if (!can_run(adapter, priority)) {
        return std::nullopt;
    }
    slot& of = *find(adapter);
    count_use(adapter, now);
    of.used_at = now;
    of.promised = false;
    ++of.pins;
    return slot_pin{static_cast<std::size_t>(&of - slots_.data()), of.command};
}

void slot_table::unpin(const slot_pin& pin, time_point now) {
    if (pin.slot >= slots_.size()) {
        return;
    }
    slot& of = slots_[pin.slot];
    if (of.state != slot_state::resident || of.command != pin.generation || of.pins == 0) {
        return;
    }
    of.used_at = now;
    --of.pins;
}

bool slot_table::resident(const adapter_version& adapter) const {
    return find(adapter) != nullptr;
}

std::vector<adapter_version> slot_table::residents() const {
    std::vector<adapter_version> held;
    for (const slot& of : slots_) {
        if (of.state == slot_state::resident) {
            held.push_back(of.holds);
        }
    }
    return held;
}

std::uint32_t slot_table::pins(const adapter_version& adapter) const {
    const slot* of = find(adapter);
    return of == nullptr ? 0 : of->pins;
}

std::size_t slot_table::count(slot_state state) const {
    return static_cast<std::size_t>(std::ranges::count(slots_, state, &slot::state));
}

std::size_t slot_table::pinned() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](const slot& of) { return of.pins > 0; }));
}

std::size_t slot_table::free_slots() const {
    return static_cast<std::size_t>(std::ranges::count_if(slots_, [](const slot& of) {
        return of.state == slot_state::empty ||
               (of.state == slot_state::resident && of.pins == 0 && !of.promised);
    }));
}

std::vector<adapter_version> slot_table::loads_under_way() const {
    std::vector<adapter_version> adapters;
    for (const slot& of : slots_) {
        if (of.state == slot_state::loading) {
            adapters.push_back(of.holds);
        } else if (of.next) {
            adapters.push_back(*of.next);
        }
    }
    return adapters;
}

std::size_t slot_table::wanted() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        demands_, [this](const auto& each) { return each.second.waiting > 0 && !assigned(each.first); }));
}

/// Without new loads the estimate returns to the configured time, so that refusals because of a past queue
/// for the store end by themselves.
duration slot_table::load_delay(time_point now) const {
    const std::chrono::duration<double> age = now - load_delay_at_;
    const double trust = std::exp2(-age / std::chrono::duration<double>{settings_.load_delay_half_life});
    const std::chrono::duration<double, std::micro> above = load_delay_ - settings_.load_time;
    return settings_.load_time + std::chrono::duration_cast<duration>(above * trust);
}

void slot_table::observe_load_delay(duration waited, time_point now) {
    const duration old = load_delay(now);
    load_delay_ = std::max(settings_.load_time, old + (waited - old) / load_delay_weight);
    load_delay_at_ = now;
}

std::uint32_t slot_table::failures(const adapter_version& adapter) const {
    const auto found = demands_.find(adapter);
    return found == demands_.end() ? 0 : found->second.failures;
}

} // namespace samphiretray::agent

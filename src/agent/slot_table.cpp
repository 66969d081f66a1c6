#include "samphiretray/agent/slot_table.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <tuple>

namespace samphiretray::agent {

namespace {

/// Divisor of the moving average of load delays: a new observation has a weight of one in this many.
constexpr int load_delay_smoothing = 4;

/// Usage records with a lower popularity are dropped, which bounds them to the adapters used within the last
/// few half-lives.
constexpr double min_popularity = 0.1;

} // namespace

slot_settings slot_settings::for_short_waits(std::size_t slots) {
    slot_settings values;
    values.slots = slots;
    values.minimum_residence = 0ms;
    values.reserved_slots = 0;
    values.drain_after = 300ms;
    return values;
}

slot_table::slot_table(slot_settings settings)
    : settings_(settings), capacity_(0), load_delay_(settings.load_time) {
    set_capacity(settings.slots);
}

void slot_table::set_capacity(std::size_t adapters) {
    capacity_ = adapters;
    reserved_ = std::min(settings_.reserved_slots, std::max<std::size_t>(adapters, 1) - 1);
    slots_.resize(std::max(slots_.size(), adapters));
}

slot_table::slot* slot_table::find(const adapter_version& adapter) {
    const auto found = std::ranges::find_if(slots_, [&](const slot& each) {
        return each.state == slot_state::resident && each.adapter == adapter;
    });
    return found == slots_.end() ? nullptr : &*found;
}

const slot_table::slot* slot_table::find(const adapter_version& adapter) const {
    const auto found = std::ranges::find_if(slots_, [&](const slot& each) {
        return each.state == slot_state::resident && each.adapter == adapter;
    });
    return found == slots_.end() ? nullptr : &*found;
}

slot_table::slot* slot_table::find_command(slot_state state, std::uint64_t id) {
    const auto found = std::ranges::find_if(
        slots_, [&](const slot& each) { return each.state == state && each.command_id == id; });
    return found == slots_.end() ? nullptr : &*found;
}

/// True if a slot holds the adapter, is loading or unloading it, or will load it next. While an adapter is
/// being unloaded, the engine still knows its name, so it cannot be loaded into another slot.
bool slot_table::assigned(const adapter_version& adapter) const {
    return std::ranges::any_of(slots_, [&](const slot& each) {
        return (each.state != slot_state::empty && each.adapter == adapter) || each.next_adapter == adapter;
    });
}

bool slot_table::waited_for(const adapter_version& adapter) const {
    const auto found = demands_.find(adapter);
    return found != demands_.end() && found->second.waiting > 0;
}

/// Number of slots that a priority load could take at once.
std::size_t slot_table::evictable_count() const {
    const auto replaceable = static_cast<std::size_t>(std::ranges::count_if(slots_, [](const slot& each) {
        return each.state == slot_state::resident && each.pins == 0 && !each.held_for_waiter;
    }));
    const std::size_t occupied = occupied_count();
    return capacity_ + replaceable - std::min(capacity_ + replaceable, occupied);
}

std::size_t slot_table::occupied_count() const {
    return slots_.size() - count(slot_state::empty);
}

slot_table::slot* slot_table::find_empty() {
    const auto empty = std::ranges::find(slots_, slot_state::empty, &slot::state);
    return empty == slots_.end() || occupied_count() >= capacity_ ? nullptr : &*empty;
}

bool slot_table::any_draining() const {
    return std::ranges::any_of(slots_, &slot::draining);
}

std::optional<restart_effect> slot_table::on_incarnation(std::string_view incarnation, time_point now) {
    if (incarnation_ == incarnation) {
        return std::nullopt;
    }
    const bool first = incarnation_.empty();
    incarnation_ = incarnation;
    if (first) {
        return std::nullopt;
    }
    restart_effect effect;
    for (slot& each : slots_) {
        if (each.pins > 0) {
            effect.lost.push_back(each.adapter);
        }
        each = slot{};
    }
    for (auto& [adapter, wanted] : demands_) {
        wanted.failures = 0;
        wanted.backoff_until = now;
        if (wanted.waiting > 0) {
            effect.reload.push_back(adapter);
        }
    }
    return effect;
}

void slot_table::adopt(const std::vector<adapter_version>& loaded, time_point now) {
    for (const adapter_version& adapter : loaded) {
        const auto available = std::ranges::find(slots_, slot_state::empty, &slot::state);
        if (available == slots_.end() || assigned(adapter)) {
            continue;
        }
        available->state = slot_state::resident;
        available->adapter = adapter;
        available->command_id = next_command_++;
        available->loaded_at = now;
        available->used_at = now;
    }
}

std::vector<adapter_version> slot_table::reconcile(const std::vector<adapter_version>& loaded,
                                                   time_point now) {
    const auto engine_holds = [&loaded](const adapter_version& adapter) {
        return std::ranges::find(loaded, adapter) != loaded.end();
    };
    for (slot& each : slots_) {
        const bool missing_at_engine =
            each.state == slot_state::resident && each.pins == 0 && !engine_holds(each.adapter);
        if (missing_at_engine && each.missing_at_engine) {
            each = slot{};
            continue;
        }
        each.missing_at_engine = missing_at_engine;
    }
    std::vector<adapter_version> unexpected;
    std::ranges::copy_if(loaded, std::back_inserter(unexpected),
                         [this](const adapter_version& adapter) { return !assigned(adapter); });
    std::vector<adapter_version> confirmed;
    std::ranges::copy_if(unexpected, std::back_inserter(confirmed), [this](const adapter_version& adapter) {
        return std::ranges::find(unexpected_adapters_, adapter) != unexpected_adapters_.end();
    });
    unexpected_adapters_ = std::move(unexpected);
    adopt(confirmed, now);
    std::erase_if(confirmed, [this](const adapter_version& adapter) { return assigned(adapter); });
    return confirmed;
}

void slot_table::on_not_loaded(const adapter_version& adapter) {
    slot* found = find(adapter);
    if (found != nullptr && found->pins == 0) {
        *found = slot{};
    }
}

void slot_table::wait_started(const adapter_version& adapter, bool priority, time_point now) {
    demand& wanted = demands_[adapter];
    if (wanted.waiting == 0) {
        wanted.waiting_since = now;
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
    for (slot& each : slots_) {
        if (each.next_adapter == adapter) {
            each.next_adapter.reset();
        }
        if (each.adapter != adapter) {
            continue;
        }
        each.held_for_waiter = false;
        if (each.state == slot_state::loading && !each.cancelling) {
            each.cancelling = true;
            commands.push_back(
                {slot_command_kind::cancel_load, each.command_id, {adapter, each.fencing_number}});
        }
    }
    return commands;
}

void slot_table::forget_idle_demands(time_point now) {
    std::erase_if(demands_, [now](const auto& entry) {
        const demand& wanted = entry.second;
        return wanted.waiting == 0 && (wanted.failures == 0 || now >= wanted.backoff_until);
    });
}

bool slot_table::may_begin(const adapter_version& adapter, const demand& wanted, time_point now) const {
    return wanted.waiting > 0 && now >= wanted.backoff_until && !assigned(adapter);
}

double slot_table::popularity_of(const adapter_usage& usage, time_point now) const {
    const std::chrono::duration<double> age = now - usage.at;
    return usage.popularity * std::exp2(-age / std::chrono::duration<double>{settings_.popularity_half_life});
}

/// Value of keeping the slot's adapter loaded: its popularity, or the time of its last use if popularity is
/// not tracked.
double slot_table::retention_value(const slot& candidate, time_point now) const {
    if (settings_.popularity_half_life == duration::zero()) {
        return std::chrono::duration<double>{candidate.used_at.time_since_epoch()}.count();
    }
    const auto found = usage_.find(candidate.adapter);
    return found == usage_.end() ? 0.0 : popularity_of(found->second, now);
}

void slot_table::count_use(const adapter_version& adapter, time_point now) {
    if (settings_.popularity_half_life == duration::zero()) {
        return;
    }
    if (now - usage_pruned_at_ >= settings_.popularity_half_life) {
        std::erase_if(usage_,
                      [&](const auto& each) { return popularity_of(each.second, now) < min_popularity; });
        usage_pruned_at_ = now;
    }
    adapter_usage& usage = usage_[adapter];
    usage = {popularity_of(usage, now) + 1.0, now};
}

bool slot_table::is_victim(const slot& candidate, const demand& wanted, time_point now) const {
    if (candidate.state != slot_state::resident || candidate.pins > 0) {
        return false;
    }
    if (wanted.waiting_priority > 0 || candidate.draining) {
        return true;
    }
    const bool starving = now - wanted.waiting_since >= settings_.drain_after;
    return !candidate.held_for_waiter && now - candidate.loaded_at >= settings_.minimum_residence &&
           (starving || !waited_for(candidate.adapter));
}

/// An empty slot, else the best victim: a draining slot first, then one whose adapter no request waits for,
/// then the one with the lowest retention value.
slot_table::slot* slot_table::choose_slot(const demand& wanted, time_point now) {
    const bool priority = wanted.waiting_priority > 0;
    if (!priority && evictable_count() <= reserved_) {
        return nullptr;
    }
    if (slot* empty = find_empty()) {
        return empty;
    }
    if (occupied_count() > capacity_) {
        return nullptr;
    }
    const auto rank = [&](const slot& candidate) {
        return std::tuple{candidate.held_for_waiter, !candidate.draining, waited_for(candidate.adapter),
                          retention_value(candidate, now)};
    };
    slot* best = nullptr;
    for (slot& candidate : slots_) {
        if (is_victim(candidate, wanted, now) && (best == nullptr || rank(candidate) < rank(*best))) {
            best = &candidate;
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
        const std::chrono::duration<double> age = now - entry->second.waiting_since;
        const double count = weight ? weight(entry->first) : entry->second.waiting;
        return std::tuple{entry->second.waiting_priority > 0,
                          count + settings_.rank_per_second * age.count()};
    };
    std::ranges::stable_sort(order, std::ranges::greater{}, rank);
    return order;
}

std::vector<adapter_version> slot_table::loads_wanted(time_point now, const weight_function& weight) {
    const auto order = demands_in_order(now, weight);
    const std::size_t available = evictable_count();
    std::vector<adapter_version> wanted;
    bool starving = false;
    for (const auto* entry : order) {
        const bool priority = entry->second.waiting_priority > 0;
        const bool has_slot = wanted.size() + (priority ? 0 : reserved_) < available;
        if (has_slot && choose_slot(entry->second, now) != nullptr) {
            wanted.push_back(entry->first);
        } else if (wanted.empty() &&
                   (priority || now - entry->second.waiting_since >= settings_.drain_after)) {
            starving = true;
        }
    }
    update_draining(starving, now);
    return wanted;
}

void slot_table::update_draining(bool needed, time_point now) {
    if (!needed) {
        std::ranges::for_each(slots_, [](slot& each) { each.draining = false; });
        return;
    }
    if (any_draining()) {
        return;
    }
    slot* least_valuable = nullptr;
    for (slot& each : slots_) {
        const bool eligible = each.state == slot_state::resident && each.pins > 0;
        if (eligible && (least_valuable == nullptr ||
                         retention_value(each, now) < retention_value(*least_valuable, now))) {
            least_valuable = &each;
        }
    }
    if (least_valuable != nullptr) {
        least_valuable->draining = true;
    }
}

slot_command slot_table::start_load(slot& target, const adapter_version& adapter) {
    const std::uint64_t fencing_number = target.fencing_number;
    target = slot{};
    target.state = slot_state::loading;
    target.adapter = adapter;
    target.fencing_number = fencing_number;
    target.command_id = next_command_++;
    return {slot_command_kind::load, target.command_id, {adapter, fencing_number}};
}

slot_command slot_table::start_unload(slot& target) {
    target.state = slot_state::unloading;
    target.draining = false;
    target.held_for_waiter = false;
    target.cancelling = false;
    target.retry_unload_at.reset();
    target.command_id = next_command_++;
    return {slot_command_kind::unload, target.command_id, {target.adapter, target.fencing_number}};
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
    chosen->next_adapter = adapter;
    return {start_unload(*chosen)};
}

void slot_table::record_failure(const adapter_version& adapter, time_point now) {
    demand& wanted = demands_[adapter];
    const double factor = std::exp2(std::min(wanted.failures, 20U));
    const std::chrono::duration<double, std::micro> wait = settings_.load_backoff * factor;
    ++wanted.failures;
    wanted.backoff_until =
        now + std::min(settings_.max_load_backoff, std::chrono::duration_cast<duration>(wait));
}

std::vector<slot_command> slot_table::load_finished(std::uint64_t id, load_outcome outcome, time_point now) {
    slot* finished = find_command(slot_state::loading, id);
    if (finished == nullptr) {
        ++ignored_reports_;
        return {};
    }
    if (outcome == load_outcome::loaded) {
        finished->state = slot_state::resident;
        finished->loaded_at = now;
        finished->used_at = now;
        finished->cancelling = false;
        finished->held_for_waiter = waited_for(finished->adapter);
        if (const auto wanted = demands_.find(finished->adapter); wanted != demands_.end()) {
            wanted->second.failures = 0;
            observe_load_delay(now - wanted->second.waiting_since, now);
        }
        return {};
    }
    if (!finished->cancelling) {
        record_failure(finished->adapter, now);
    }
    if (outcome == load_outcome::unknown) {
        return {start_unload(*finished)};
    }
    *finished = slot{};
    return {};
}

std::vector<slot_command> slot_table::unload_finished(std::uint64_t id, bool unloaded, time_point now) {
    slot* finished = find_command(slot_state::unloading, id);
    if (finished == nullptr || finished->retry_unload_at) {
        ++ignored_reports_;
        return {};
    }
    if (!unloaded) {
        finished->retry_unload_at = now + settings_.unload_backoff;
        return {};
    }
    const std::optional<adapter_version> next_adapter = finished->next_adapter;
    if (next_adapter) {
        return {start_load(*finished, *next_adapter)};
    }
    *finished = slot{};
    return {};
}

std::vector<slot_command> slot_table::poll(time_point now) {
    std::vector<slot_command> commands;
    for (slot& each : slots_) {
        if (each.state == slot_state::unloading && each.retry_unload_at && now >= *each.retry_unload_at) {
            commands.push_back(start_unload(each));
        }
    }
    unload_excess(commands, now);
    forget_idle_demands(now);
    return commands;
}

void slot_table::unload_excess(std::vector<slot_command>& commands, time_point now) {
    const auto leaving = static_cast<std::size_t>(std::ranges::count_if(
        slots_, [](const slot& each) { return each.state == slot_state::unloading && !each.next_adapter; }));
    std::vector<slot*> unused;
    for (slot& each : slots_) {
        if (each.state == slot_state::resident && each.pins == 0) {
            unused.push_back(&each);
        }
    }
    std::ranges::sort(unused, {}, [&](const slot* each) { return retention_value(*each, now); });
    const std::size_t kept = leaving + capacity_;
    const std::size_t excess = occupied_count() - std::min(occupied_count(), kept);
    for (slot* each : unused | std::views::take(excess)) {
        commands.push_back(start_unload(*each));
    }
}

bool slot_table::can_run(const adapter_version& adapter, bool priority) const {
    const slot* found = find(adapter);
    if (found == nullptr) {
        return false;
    }
    if (priority || found->held_for_waiter) {
        return true;
    }
    if (found->draining) {
        return false;
    }
    // A draining slot is intended for a waiting adapter, so one more slot has to stay evictable besides it.
    const std::size_t min_evictable = reserved_ + (any_draining() ? 1 : 0);
    return found->pins > 0 || evictable_count() > min_evictable;
}

std::optional<slot_pin> slot_table::pin(const adapter_version& adapter, bool priority, time_point now) {
    if (!can_run(adapter, priority)) {
        return std::nullopt;
    }
    slot& target = *find(adapter);
    count_use(adapter, now);
    target.used_at = now;
    target.held_for_waiter = false;
    ++target.pins;
    return slot_pin{static_cast<std::size_t>(&target - slots_.data()), target.command_id};
}

void slot_table::unpin(const slot_pin& pin, time_point now) {
    if (pin.slot >= slots_.size()) {
        return;
    }
    slot& target = slots_[pin.slot];
    if (target.state != slot_state::resident || target.command_id != pin.generation || target.pins == 0) {
        return;
    }
    target.used_at = now;
    --target.pins;
}

bool slot_table::resident(const adapter_version& adapter) const {
    return find(adapter) != nullptr;
}

std::vector<adapter_version> slot_table::resident_adapters() const {
    std::vector<adapter_version> adapters;
    for (const slot& each : slots_) {
        if (each.state == slot_state::resident) {
            adapters.push_back(each.adapter);
        }
    }
    return adapters;
}

std::uint32_t slot_table::pins(const adapter_version& adapter) const {
    const slot* found = find(adapter);
    return found == nullptr ? 0 : found->pins;
}

std::size_t slot_table::count(slot_state state) const {
    return static_cast<std::size_t>(std::ranges::count(slots_, state, &slot::state));
}

std::size_t slot_table::pinned_count() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [](const slot& each) { return each.pins > 0; }));
}

std::size_t slot_table::free_slots() const {
    return evictable_count();
}

std::vector<adapter_version> slot_table::loads_in_flight() const {
    std::vector<adapter_version> adapters;
    for (const slot& each : slots_) {
        if (each.state == slot_state::loading) {
            adapters.push_back(each.adapter);
        } else if (each.next_adapter) {
            adapters.push_back(*each.next_adapter);
        }
    }
    return adapters;
}

std::size_t slot_table::wanted_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        demands_, [this](const auto& each) { return each.second.waiting > 0 && !assigned(each.first); }));
}

/// Without new loads the estimate decays to the configured time, so that refusals caused by past congestion
/// of the weight store end by themselves.
duration slot_table::load_delay(time_point now) const {
    const std::chrono::duration<double> age = now - load_delay_at_;
    const double decay = std::exp2(-age / std::chrono::duration<double>{settings_.load_delay_half_life});
    const std::chrono::duration<double, std::micro> excess = load_delay_ - settings_.load_time;
    return settings_.load_time + std::chrono::duration_cast<duration>(excess * decay);
}

void slot_table::observe_load_delay(duration waited, time_point now) {
    const duration old = load_delay(now);
    load_delay_ = std::max(settings_.load_time, old + (waited - old) / load_delay_smoothing);
    load_delay_at_ = now;
}

std::uint32_t slot_table::failures(const adapter_version& adapter) const {
    const auto found = demands_.find(adapter);
    return found == demands_.end() ? 0 : found->second.failures;
}

} // namespace samphiretray::agent

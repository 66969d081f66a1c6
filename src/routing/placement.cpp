#include "samphiretray/routing/placement.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <list>
#include <optional>
#include <utility>

namespace samphiretray::routing {

namespace {

using microseconds = std::chrono::duration<double, std::micro>;

struct string_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const noexcept { return hash64(text); }
};

template <typename Value>
using string_map = std::unordered_map<std::string, Value, string_hash, std::equal_to<>>;

/// Weight of the newest value in moving averages.
constexpr double moving_average_weight = 0.1;

/// Half-life with which the estimated load delay returns to the configured one without new cold starts.
constexpr duration load_delay_half_life = 20s;

std::uint64_t hash_of(const ports::adapter_version& adapter) {
    return hash64(adapter.version, hash64(adapter.adapter));
}

/// Combines two hashes with the finalizer of SplitMix64.
std::uint64_t combine_hashes(std::uint64_t left, std::uint64_t right) {
    std::uint64_t value = left ^ (right * 0x9E3779B97F4A7C15U);
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9U;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBU;
    return value ^ (value >> 31U);
}

/// Score of weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1).
double rendezvous_score(std::uint64_t hash, double weight) {
    constexpr double scale = 0x1p-53;
    const double uniform = (static_cast<double>(hash >> 11U) + 0.5) * scale;
    return -weight / std::log(uniform);
}

double decay_factor(duration age, duration half_life) {
    return std::exp2(-microseconds{age} / microseconds{half_life});
}

double moving_average(double old, double value) {
    return old + moving_average_weight * (value - old);
}

struct node {
    endpoint info;
    std::uint64_t hash = 0;
    microseconds round_trip{};
    bool remote = false;
    wire::load_report report;
    std::optional<time_point> reported_at;
    /// Unfinished attempts of this entry, now and when the last report came.
    std::uint32_t outstanding = 0;
    std::uint32_t outstanding_at_report = 0;
    /// Moving average of the time for which a request occupies a place in the batch.
    microseconds service_time{};
};

/// An endpoint that has answered with the adapter.
struct hint {
    std::uint64_t endpoint_hash = 0;
    time_point last_seen;
};

struct adapter_record {
    std::vector<hint> hints;
    std::size_t homes = 1;
    time_point home_added_at;
    /// Since when the homes have been loaded little enough to remove one.
    std::optional<time_point> low_load_since;
    /// Position in `state::recency_`.
    std::list<std::uint64_t>::iterator recency;
};

struct scored_node {
    std::uint32_t node = 0;
    bool tried = false;
    bool over_load_bound = false;
    bool resident = false;
    /// In microseconds.
    double cost = 0.0;
    double rendezvous = 0.0;
};

/// True if `left` is a worse choice than `right`: the comparison of a heap with the best choice on top.
bool worse(const scored_node& left, const scored_node& right) {
    if (left.tried != right.tried) {
        return left.tried;
    }
    if (left.over_load_bound != right.over_load_bound) {
        return left.over_load_bound;
    }
    if (left.cost != right.cost) {
        return left.cost > right.cost;
    }
    return left.rendezvous < right.rendezvous;
}

} // namespace

class placement::state {
public:
    state(placement_settings settings, location here)
        : settings_(settings), here_(std::move(here)), load_delay_(settings.default_load_time) {}

    void replace_endpoints(const std::vector<endpoint>& live);
    std::vector<candidate> candidates(const placement_request& request, time_point now,
                                      const usable_predicate& usable);
    node* find(std::string_view endpoint);
    void observe_load(std::string_view endpoint, const wire::load_report& load, time_point now);
    void observe_cold_start(duration time_to_head, time_point now);
    void add_hint(std::string_view endpoint, const ports::adapter_version& adapter, time_point now);
    void remove_hint(std::string_view endpoint, const ports::adapter_version& adapter);
    void forget_residency(std::string_view endpoint);
    void observe_service_time(node& target, duration occupied) const;
    [[nodiscard]] std::size_t home_count(const ports::adapter_version& adapter) const;
    [[nodiscard]] duration load_delay() const { return std::chrono::duration_cast<duration>(load_delay_); }

private:
    struct load_estimate {
        double load = 0.0;
        double capacity = 1.0;
        microseconds wait{};
    };

    [[nodiscard]] node make_node(const endpoint& info) const;
    [[nodiscard]] load_estimate estimate_load(const node& target, time_point now) const;
    [[nodiscard]] microseconds network_cost(const node& target, std::size_t bytes) const;
    [[nodiscard]] microseconds cold_start_cost(const node& target, bool is_home) const;
    void estimate_pool(const std::vector<std::uint32_t>& pool, time_point now);
    void score_pool(const std::vector<std::uint32_t>& pool, const placement_request& request);
    void score_adapter(std::uint64_t adapter, bool priority, time_point now);
    void select_homes(std::size_t count);
    void estimate_residency(const adapter_record& record, time_point now);
    void adjust_homes(adapter_record& record, time_point now) const;
    void decay_load_delay(time_point now);
    adapter_record& record_of(std::uint64_t adapter);
    void drop_oldest_records();
    [[nodiscard]] std::vector<candidate> take_best(const usable_predicate& usable);

    placement_settings settings_;
    location here_;
    std::vector<node> nodes_;
    string_map<std::uint32_t> by_name_;
    std::unordered_map<std::uint64_t, std::uint32_t> by_hash_;
    string_map<std::vector<std::uint32_t>> pools_;
    std::unordered_map<std::uint64_t, adapter_record> adapters_;
    /// Adapters with records, the most recently used one first.
    std::list<std::uint64_t> recency_;
    /// Sum of the hints of all records.
    std::size_t hint_count_ = 0;
    microseconds load_delay_;
    time_point load_delay_updated_at_;

    // Scratch buffers of `candidates`, kept to avoid allocations. A position is an index into the pool.
    std::vector<load_estimate> estimates_;
    std::vector<scored_node> scored_;
    std::vector<std::uint32_t> home_positions_;
    /// Estimated probability that the adapter is resident, by position in `scored_`.
    std::vector<double> residency_;
    std::vector<std::uint32_t> position_of_node_;
    double mean_load_ = 0.0;
};

node placement::state::make_node(const endpoint& info) const {
    node created;
    created.info = info;
    created.hash = hash64(info.name);
    created.remote = info.at.region != here_.region;
    created.service_time = settings_.default_service_time;
    if (created.remote) {
        created.round_trip = settings_.round_trip_remote;
    } else if (info.at.data_centre == here_.data_centre) {
        created.round_trip = settings_.round_trip_data_centre;
    } else {
        created.round_trip = settings_.round_trip_region;
    }
    return created;
}

void placement::state::replace_endpoints(const std::vector<endpoint>& live) {
    std::vector<node> next;
    next.reserve(live.size());
    for (const endpoint& info : live) {
        node created = make_node(info);
        if (const node* known = find(info.name)) {
            created.report = known->report;
            created.reported_at = known->reported_at;
            created.outstanding = known->outstanding;
            created.outstanding_at_report = known->outstanding_at_report;
            created.service_time = known->service_time;
        }
        next.push_back(std::move(created));
    }
    nodes_ = std::move(next);
    by_name_.clear();
    by_hash_.clear();
    pools_.clear();
    for (std::uint32_t index = 0; index < nodes_.size(); ++index) {
        by_name_.emplace(nodes_[index].info.name, index);
        by_hash_.emplace(nodes_[index].hash, index);
        pools_[nodes_[index].info.pool].push_back(index);
    }
    position_of_node_.assign(nodes_.size(), 0);
}

node* placement::state::find(std::string_view endpoint) {
    const auto found = by_name_.find(endpoint);
    return found == by_name_.end() ? nullptr : &nodes_[found->second];
}

placement::state::load_estimate placement::state::estimate_load(const node& target, time_point now) const {
    load_estimate result;
    result.capacity =
        std::max(1U, target.report.capacity != 0 ? target.report.capacity : settings_.default_capacity);
    result.load = target.outstanding;
    if (target.reported_at) {
        // Attempts of this entry that wait for an adapter load are outstanding but not in the report.
        const double reported = static_cast<double>(target.report.running) + target.report.queued;
        const std::uint32_t sent_since_report =
            target.outstanding - std::min(target.outstanding, target.outstanding_at_report);
        const double weight = decay_factor(now - *target.reported_at, settings_.report_half_life);
        result.load = weight * (reported + sent_since_report) + (1.0 - weight) * target.outstanding;
        if (target.report.queued > 0) {
            result.wait = microseconds{target.report.wait_ms * 1000.0 * weight};
        }
    }
    const double excess = std::max(0.0, result.load - result.capacity + 1.0);
    result.wait = std::max(result.wait, target.service_time * (excess / result.capacity));
    return result;
}

void placement::state::estimate_pool(const std::vector<std::uint32_t>& pool, time_point now) {
    estimates_.clear();
    double load = 0.0;
    for (const std::uint32_t index : pool) {
        estimates_.push_back(estimate_load(nodes_[index], now));
        load += estimates_.back().load;
    }
    mean_load_ = load / static_cast<double>(pool.size());
}

microseconds placement::state::network_cost(const node& target, std::size_t bytes) const {
    if (!target.remote) {
        return target.round_trip;
    }
    return target.round_trip +
           microseconds{static_cast<double>(bytes) * settings_.remote_byte_cost_ns / 1000.0};
}

microseconds placement::state::cold_start_cost(const node& target, bool is_home) const {
    microseconds cost = load_delay_;
    if (!is_home) {
        cost += settings_.non_home_load_cost;
    }
    // One slot is reserved for priority customers: with no other one free, a load waits for a request to end.
    if (target.report.slots > 0 && target.report.slots_pinned + 1 >= target.report.slots) {
        cost += target.service_time;
    }
    return cost;
}

void placement::state::score_pool(const std::vector<std::uint32_t>& pool, const placement_request& request) {
    scored_.clear();
    for (std::uint32_t position = 0; position < pool.size(); ++position) {
        const node& target = nodes_[pool[position]];
        const load_estimate& expected = estimates_[position];
        scored_node scored;
        scored.node = pool[position];
        scored.resident = true;
        scored.tried = std::ranges::find(request.tried, target.info.name) != request.tried.end();
        const microseconds utilisation_cost =
            microseconds{settings_.busy_cost} * (expected.load / expected.capacity);
        scored.cost = (network_cost(target, request.bytes) + expected.wait + utilisation_cost).count();
        position_of_node_[scored.node] = position;
        scored_.push_back(scored);
    }
}

void placement::state::select_homes(std::size_t count) {
    home_positions_.resize(scored_.size());
    for (std::uint32_t position = 0; position < scored_.size(); ++position) {
        home_positions_[position] = position;
    }
    const std::size_t homes = std::min(count, home_positions_.size());
    const auto end = home_positions_.begin() + static_cast<std::ptrdiff_t>(homes);
    std::partial_sort(home_positions_.begin(), end, home_positions_.end(),
                      [this](std::uint32_t left, std::uint32_t right) {
                          return scored_[left].rendezvous > scored_[right].rendezvous;
                      });
    home_positions_.resize(homes);
}

void placement::state::estimate_residency(const adapter_record& record, time_point now) {
    residency_.assign(scored_.size(), 0.0);
    for (const hint& known : record.hints) {
        const auto index = by_hash_.find(known.endpoint_hash);
        if (index == by_hash_.end()) {
            continue;
        }
        const std::uint32_t position = position_of_node_[index->second];
        if (position < scored_.size() && scored_[position].node == index->second) {
            residency_[position] = decay_factor(now - known.last_seen, settings_.hint_half_life);
        }
    }
}

void placement::state::adjust_homes(adapter_record& record, time_point now) const {
    if (home_positions_.empty()) {
        return;
    }
    microseconds shortest_wait = microseconds::max();
    double load = 0.0;
    double capacity = 0.0;
    double largest_capacity = 0.0;
    for (const std::uint32_t position : home_positions_) {
        const load_estimate& expected = estimates_[position];
        shortest_wait = std::min(shortest_wait, expected.wait);
        load += expected.load;
        capacity += expected.capacity;
        largest_capacity = std::max(largest_capacity, expected.capacity);
    }
    const std::size_t limit = std::min(settings_.max_homes, scored_.size());
    if (shortest_wait > settings_.add_home_wait) {
        record.low_load_since.reset();
        if (record.homes < limit && now - record.home_added_at >= load_delay_) {
            ++record.homes;
            record.home_added_at = now;
        }
        return;
    }
    const bool low_load =
        record.homes > 1 && load < settings_.remove_home_load_ratio * (capacity - largest_capacity);
    if (!low_load) {
        record.low_load_since.reset();
    } else if (!record.low_load_since) {
        record.low_load_since = now;
    } else if (now - *record.low_load_since >= settings_.remove_home_delay) {
        --record.homes;
        record.low_load_since = now;
    }
}

void placement::state::score_adapter(std::uint64_t adapter, bool priority, time_point now) {
    const bool any_local = std::ranges::any_of(
        scored_, [this](const scored_node& scored) { return !nodes_[scored.node].remote; });
    for (scored_node& scored : scored_) {
        const node& target = nodes_[scored.node];
        const double locality = target.remote && any_local ? settings_.remote_weight : 1.0;
        scored.rendezvous =
            rendezvous_score(combine_hashes(adapter, target.hash), target.info.weight * locality);
    }
    adapter_record& record = record_of(adapter);
    select_homes(record.homes);
    adjust_homes(record, now);
    estimate_residency(record, now);
    for (std::uint32_t position = 0; position < scored_.size(); ++position) {
        scored_node& scored = scored_[position];
        const node& target = nodes_[scored.node];
        const bool is_home =
            priority || std::ranges::find(home_positions_, position) != home_positions_.end();
        const double probability = residency_[position];
        const load_estimate& expected = estimates_[position];
        scored.resident = probability >= 0.5;
        scored.cost += cold_start_cost(target, is_home).count() * (1.0 - probability);
        scored.cost += is_home ? 0.0 : microseconds{settings_.non_home_copy_cost}.count() * probability;
        scored.over_load_bound = !scored.resident && expected.load >= expected.capacity &&
                                 expected.load > settings_.load_bound * mean_load_;
    }
    drop_oldest_records();
}

std::vector<candidate> placement::state::take_best(const usable_predicate& usable) {
    std::vector<candidate> best;
    std::ranges::make_heap(scored_, worse);
    while (!scored_.empty() && best.size() < settings_.max_candidates) {
        std::ranges::pop_heap(scored_, worse);
        const scored_node chosen = scored_.back();
        scored_.pop_back();
        const std::string_view name = nodes_[chosen.node].info.name;
        if (!usable || usable(name)) {
            const auto cost = std::chrono::duration_cast<duration>(microseconds{chosen.cost});
            best.push_back({name, cost, chosen.resident});
        }
    }
    return best;
}

std::vector<candidate> placement::state::candidates(const placement_request& request, time_point now,
                                                    const usable_predicate& usable) {
    const auto pool = pools_.find(request.pool);
    if (pool == pools_.end()) {
        return {};
    }
    decay_load_delay(now);
    estimate_pool(pool->second, now);
    score_pool(pool->second, request);
    if (!request.adapter.adapter.empty()) {
        score_adapter(hash_of(request.adapter), request.priority, now);
    }
    return take_best(usable);
}

void placement::state::observe_load(std::string_view endpoint, const wire::load_report& load,
                                    time_point now) {
    if (node* target = find(endpoint)) {
        target->report = load;
        target->reported_at = now;
        target->outstanding_at_report = target->outstanding;
    }
}

void placement::state::observe_service_time(node& target, duration occupied) const {
    target.service_time =
        microseconds{moving_average(target.service_time.count(), microseconds{occupied}.count())};
}

void placement::state::decay_load_delay(time_point now) {
    if (now <= load_delay_updated_at_) {
        return;
    }
    const microseconds configured{settings_.default_load_time};
    const double weight = decay_factor(now - load_delay_updated_at_, load_delay_half_life);
    load_delay_ = configured + (load_delay_ - configured) * weight;
    load_delay_updated_at_ = now;
}

void placement::state::observe_cold_start(duration time_to_head, time_point now) {
    decay_load_delay(now);
    const double observed =
        std::max(microseconds{time_to_head}.count(), microseconds{settings_.default_load_time}.count());
    load_delay_ = microseconds{moving_average(load_delay_.count(), observed)};
}

adapter_record& placement::state::record_of(std::uint64_t adapter) {
    const auto [found, added] = adapters_.try_emplace(adapter);
    if (added) {
        recency_.push_front(adapter);
        found->second.recency = recency_.begin();
    } else {
        recency_.splice(recency_.begin(), recency_, found->second.recency);
    }
    return found->second;
}

/// A record counts as one hint in addition to its own, so that the number of records is bounded too.
void placement::state::drop_oldest_records() {
    while (hint_count_ + adapters_.size() > settings_.max_hints && recency_.size() > 1) {
        const auto oldest = adapters_.find(recency_.back());
        hint_count_ -= oldest->second.hints.size();
        adapters_.erase(oldest);
        recency_.pop_back();
    }
}

void placement::state::add_hint(std::string_view endpoint, const ports::adapter_version& adapter,
                                time_point now) {
    const std::uint64_t endpoint_hash = hash64(endpoint);
    std::vector<hint>& hints = record_of(hash_of(adapter)).hints;
    const auto known = std::ranges::find(hints, endpoint_hash, &hint::endpoint_hash);
    if (known != hints.end()) {
        known->last_seen = now;
        return;
    }
    hints.push_back({endpoint_hash, now});
    ++hint_count_;
    drop_oldest_records();
}

void placement::state::remove_hint(std::string_view endpoint, const ports::adapter_version& adapter) {
    const auto record = adapters_.find(hash_of(adapter));
    if (record != adapters_.end()) {
        hint_count_ -=
            std::erase_if(record->second.hints, [endpoint_hash = hash64(endpoint)](const hint& known) {
                return known.endpoint_hash == endpoint_hash;
            });
    }
}

void placement::state::forget_residency(std::string_view endpoint) {
    const std::uint64_t endpoint_hash = hash64(endpoint);
    for (auto& [adapter, record] : adapters_) {
        hint_count_ -= std::erase_if(record.hints, [endpoint_hash](const hint& known) {
            return known.endpoint_hash == endpoint_hash;
        });
    }
}

std::size_t placement::state::home_count(const ports::adapter_version& adapter) const {
    const auto record = adapters_.find(hash_of(adapter));
    return record == adapters_.end() ? 1 : record->second.homes;
}

placement::placement(placement_settings settings, location here)
    : state_(std::make_unique<state>(settings, std::move(here))) {}

placement::~placement() = default;
placement::placement(placement&&) noexcept = default;
placement& placement::operator=(placement&&) noexcept = default;

void placement::replace_endpoints(const std::vector<endpoint>& live) {
    state_->replace_endpoints(live);
}

std::vector<candidate> placement::candidates(const placement_request& request, time_point now,
                                             const usable_predicate& usable) {
    return state_->candidates(request, now, usable);
}

void placement::sent(std::string_view endpoint) {
    if (node* target = state_->find(endpoint)) {
        ++target->outstanding;
    }
}

void placement::finished(std::string_view endpoint, std::optional<duration> occupied) {
    node* target = state_->find(endpoint);
    if (target == nullptr) {
        return;
    }
    target->outstanding -= std::min(target->outstanding, 1U);
    if (occupied) {
        state_->observe_service_time(*target, *occupied);
    }
}

void placement::observe_load(std::string_view endpoint, const wire::load_report& load, time_point now) {
    state_->observe_load(endpoint, load, now);
}

void placement::observe_answer(const answer_report& report, time_point now) {
    state_->observe_load(report.endpoint, report.load, now);
    if (report.adapter.adapter.empty()) {
        return;
    }
    state_->add_hint(report.endpoint, report.adapter, now);
    if (report.cold) {
        state_->observe_cold_start(report.time_to_head, now);
    }
}

void placement::observe_refusal(std::string_view endpoint, const ports::adapter_version& adapter,
                                wire::refusal reason, const wire::load_report& load, time_point now) {
    state_->observe_load(endpoint, load, now);
    if (reason == wire::refusal::load_failed) {
        state_->remove_hint(endpoint, adapter);
    }
}

void placement::forget_residency(std::string_view endpoint) {
    state_->forget_residency(endpoint);
}

std::size_t placement::home_count(const ports::adapter_version& adapter) const {
    return state_->home_count(adapter);
}

duration placement::load_delay() const noexcept {
    return state_->load_delay();
}

} // namespace samphiretray::routing

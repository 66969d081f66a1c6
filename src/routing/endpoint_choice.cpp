#include "samphiretray/routing/endpoint_choice.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace samphiretray::routing {

namespace {

std::string versioned_name(const choice_request& request) {
    return std::string{request.adapter} + "@" + std::string{request.version};
}

} // namespace

void endpoint_choice::add(const choice_endpoint& value) {
    endpoint_state added;
    added.endpoint = value;
    added.prefixes.set_capacity(value.kv_tokens);
    added.plain_service_time = settings_.plain_service_time;
    if (const auto found = states_.find(value.id); found != states_.end()) {
        added.pending_prefill = std::move(found->second.pending_prefill);
        added.in_flight = found->second.in_flight;
    }
    states_.insert_or_assign(value.id, std::move(added));
}

void endpoint_choice::remove(const std::string& id) {
    states_.erase(id);
}

duration endpoint_choice::round_trip(const std::string& id) const {
    const auto found = states_.find(id);
    return found == states_.end() ? duration::zero() : found->second.endpoint.round_trip;
}

double endpoint_choice::relative_work_time(const endpoint_state& state) const {
    return state.load.work_time_percent == 0 || median_work_time_ == 0
               ? 1.0
               : static_cast<double>(state.load.work_time_percent) / median_work_time_;
}

double endpoint_choice::home_weight(const endpoint_state& state) const {
    const double speed = 1.0 / relative_work_time(state);
    const double rounded = std::round(speed / settings_.home_weight_step) * settings_.home_weight_step;
    return std::clamp(rounded, settings_.min_home_weight, settings_.max_home_weight);
}

void endpoint_choice::update_median_work_time(time_point now) {
    constexpr duration interval = 1s;
    if (now - median_updated_at_ < interval) {
        return;
    }
    median_updated_at_ = now;
    std::vector<std::uint32_t> known;
    for (const endpoint_state& each : states_ | std::views::values) {
        if (each.load.work_time_percent > 0) {
            known.push_back(each.load.work_time_percent);
        }
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::ranges::nth_element(known, middle);
    median_work_time_ = known.empty() ? 0 : *middle;
}

double endpoint_choice::prefill_rate(const endpoint_state& state) const {
    if (state.load.work_time_percent > 0) {
        return settings_.nominal_prefill_rate / std::clamp(relative_work_time(state), 0.25, 4.0);
    }
    const double ratio = state.load.prefill_rate / settings_.typical_measured_rate;
    const bool is_slow = state.load.prefill_rate > 0 && ratio < settings_.slow_rate_ratio;
    return is_slow ? settings_.nominal_prefill_rate * ratio : settings_.nominal_prefill_rate;
}

duration endpoint_choice::prefill_time(const endpoint_state& state, std::uint64_t tokens) const {
    const std::chrono::duration<double> time{static_cast<double>(tokens) / prefill_rate(state)};
    return std::chrono::duration_cast<duration>(time);
}

std::uint64_t endpoint_choice::backlog(const endpoint_state& state, time_point now) const {
    const auto tokens = state.pending_prefill | std::views::values;
    const std::uint64_t own = std::accumulate(tokens.begin(), tokens.end(), std::uint64_t{0});
    if (!state.reported_at) {
        return own;
    }
    const std::chrono::duration<double> age = now - *state.reported_at;
    const auto prefilled = static_cast<std::uint64_t>(age.count() * prefill_rate(state));
    const std::uint64_t remaining =
        state.load.backlog_tokens > prefilled ? state.load.backlog_tokens - prefilled : 0;
    return std::max(own, remaining);
}

bool endpoint_choice::is_resident(const endpoint_state& state, const choice_request& request) {
    if (request.adapter.empty()) {
        return true;
    }
    return std::ranges::find(state.load.resident, versioned_name(request)) != state.load.resident.end();
}

duration endpoint_choice::estimate_plain(const endpoint_state& state, bool is_recent) const {
    const std::uint32_t reported = is_recent ? state.running + state.waiting : 0;
    const std::uint32_t requests = std::max(state.in_flight, reported);
    const std::uint32_t slots = std::max(state.endpoint.slots, 1U);
    const double ahead = requests < slots ? 0.0 : static_cast<double>(requests - slots + 1) / slots;
    return state.plain_service_time + scaled(state.plain_service_time, ahead) +
           settings_.running_request_cost * requests;
}

choice_candidate endpoint_choice::estimate(const endpoint_state& state, const choice_request& request,
                                           std::size_t home_rank, time_point now) const {
    choice_candidate candidate;
    candidate.id = state.endpoint.id;
    candidate.estimate = state.endpoint.round_trip;
    const bool is_recent = state.reported_at && now - *state.reported_at <= settings_.max_report_age;
    if (state.reported_at) {
        candidate.report_age = now - *state.reported_at;
    }
    if (!state.endpoint.is_engine) {
        candidate.resident = true;
        candidate.estimate += estimate_plain(state, is_recent);
        return candidate;
    }
    candidate.resident = is_resident(state, request);
    if (!candidate.resident) {
        candidate.estimate += settings_.load_time;
        candidate.estimate +=
            home_rank == 0 ? 0ms : settings_.secondary_home_cost + settings_.home_rank_cost * home_rank;
        const std::uint32_t waiting = state.load.waiting_adapters + 1;
        const bool lacks_slots = is_recent && waiting > state.load.free_slots;
        candidate.estimate += lacks_slots ? settings_.slot_wait * (waiting - state.load.free_slots) : 0ms;
    }
    candidate.cached_tokens =
        candidate.resident
            ? std::min(state.prefixes.cached_tokens(request.adapter, request.prompt), request.prompt_tokens)
            : 0;
    const std::uint64_t prefill = backlog(state, now) + request.prompt_tokens - candidate.cached_tokens;
    candidate.estimate += prefill_time(state, prefill);
    const std::uint32_t running = std::max(state.in_flight, is_recent ? state.load.running : 0);
    candidate.estimate += scaled(settings_.running_request_cost * running, relative_work_time(state));
    const std::uint64_t reserved = is_recent ? state.load.kv_reserved : 0;
    const std::uint64_t needed = reserved + request.prompt_tokens + request.output_tokens;
    if (state.endpoint.kv_tokens > 0 && needed > state.endpoint.kv_tokens) {
        candidate.estimate += settings_.kv_full_cost;
    }
    return candidate;
}

std::vector<choice_candidate> endpoint_choice::order(const choice_request& request,
                                                     std::span<const std::string> ids, time_point now) const {
    // Weighted rendezvous hashing: with equal weights, this is the order of the hashes.
    std::vector<std::pair<double, const endpoint_state*>> homes;
    for (const std::string& id : ids) {
        if (const auto found = states_.find(id); found != states_.end()) {
            const std::uint64_t hash = hash64(found->second.endpoint.address, hash64(request.adapter));
            const double fraction = (static_cast<double>(hash) + 0.5) / std::exp2(64.0);
            homes.emplace_back(-home_weight(found->second) / std::log(fraction), &found->second);
        }
    }
    std::ranges::sort(homes, std::ranges::greater{}, &decltype(homes)::value_type::first);
    std::vector<choice_candidate> candidates;
    for (std::size_t rank = 0; rank < homes.size(); ++rank) {
        candidates.push_back(estimate(*homes[rank].second, request, rank, now));
    }
    std::ranges::stable_sort(candidates, {}, &choice_candidate::estimate);
    return candidates;
}

void endpoint_choice::sent(const std::string& id, std::uint64_t token, const choice_request& request) {
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return;
    }
    endpoint_state& state = found->second;
    ++state.in_flight;
    const std::uint32_t cached =
        std::min(state.prefixes.cached_tokens(request.adapter, request.prompt), request.prompt_tokens);
    state.pending_prefill[token] = request.prompt_tokens - cached;
    state.prefixes.insert(request.adapter, request.prompt);
    if (!request.adapter.empty() && !is_resident(state, request)) {
        // The request makes the engine load the adapter.
        state.load.resident.push_back(versioned_name(request));
        ++state.load.waiting_adapters;
    }
}

void endpoint_choice::first_byte_received(const std::string& id, std::uint64_t token) {
    if (const auto found = states_.find(id); found != states_.end()) {
        found->second.pending_prefill.erase(token);
    }
}

void endpoint_choice::ended(const std::string& id, std::uint64_t token, std::optional<duration> took) {
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return;
    }
    endpoint_state& state = found->second;
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    state.pending_prefill.erase(token);
    if (took && !state.endpoint.is_engine) {
        const duration service_time = std::max<duration>(*took - state.endpoint.round_trip, 0s);
        state.plain_service_time +=
            scaled(service_time - state.plain_service_time, settings_.plain_service_time_weight);
    }
}

void endpoint_choice::observe_engine(const std::string& id, const engine_load& load, time_point now) {
    if (const auto found = states_.find(id); found != states_.end()) {
        const std::uint32_t work_time_before = found->second.load.work_time_percent;
        found->second.load = load;
        if (load.work_time_percent == 0) {
            found->second.load.work_time_percent = work_time_before;
        }
        found->second.reported_at = now;
        update_median_work_time(now);
    }
}

void endpoint_choice::observe_plain(const std::string& id, std::uint32_t running, std::uint32_t waiting,
                                    time_point now) {
    if (const auto found = states_.find(id); found != states_.end()) {
        found->second.running = running;
        found->second.waiting = waiting;
        found->second.reported_at = now;
    }
}

void endpoint_choice::forget_adapter(const std::string& id, std::string_view adapter) {
    if (const auto found = states_.find(id); found != states_.end()) {
        std::erase_if(found->second.load.resident, [adapter](const std::string& name) {
            return name.size() > adapter.size() && name.starts_with(adapter) && name[adapter.size()] == '@';
        });
    }
}

} // namespace samphiretray::routing

#include "samphiretray/routing/endpoint_choice.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <numeric>
#include <ranges>

namespace samphiretray::routing {

namespace {

std::string full_name(const choice_request& request) {
    return std::string{request.adapter} + "@" + std::string{request.version};
}

} // namespace

void endpoint_choice::add(const choice_endpoint& value) {
    state fresh;
    fresh.endpoint = value;
    fresh.prefixes.set_capacity(value.kv_tokens);
    fresh.plain_time = settings_.plain_time;
    if (const auto found = states_.find(value.id); found != states_.end()) {
        fresh.unread = std::move(found->second.unread);
        fresh.in_flight = found->second.in_flight;
    }
    states_.insert_or_assign(value.id, std::move(fresh));
}

void endpoint_choice::remove(const std::string& id) {
    states_.erase(id);
}

duration endpoint_choice::round_trip(const std::string& id) const {
    const auto found = states_.find(id);
    return found == states_.end() ? duration::zero() : found->second.endpoint.round_trip;
}

double endpoint_choice::reading_rate(const state& of) const {
    const double part = of.load.reading_rate / settings_.usual_measured_rate;
    const bool is_slow = of.load.reading_rate > 0 && part < settings_.slow_part;
    return is_slow ? settings_.reading_rate * part : settings_.reading_rate;
}

duration endpoint_choice::reading_time(const state& of, std::uint64_t tokens) const {
    const std::chrono::duration<double> time{static_cast<double>(tokens) / reading_rate(of)};
    return std::chrono::duration_cast<duration>(time);
}

std::uint64_t endpoint_choice::backlog(const state& of, time_point now) const {
    const auto amounts = of.unread | std::views::values;
    const std::uint64_t own = std::accumulate(amounts.begin(), amounts.end(), std::uint64_t{0});
    if (!of.reported_at) {
        return own;
    }
    const std::chrono::duration<double> age = now - *of.reported_at;
    const auto read = static_cast<std::uint64_t>(age.count() * reading_rate(of));
    const std::uint64_t left = of.load.backlog_tokens > read ? of.load.backlog_tokens - read : 0;
    return std::max(own, left);
}

bool endpoint_choice::holds(const state& of, const choice_request& request) {
    if (request.adapter.empty()) {
        return true;
    }
    return std::ranges::find(of.load.resident, full_name(request)) != of.load.resident.end();
}

duration endpoint_choice::estimate_plain(const state& of, bool is_recent) const {
    const std::uint32_t reported = is_recent ? of.running + of.waiting : 0;
    const std::uint32_t present = std::max(of.in_flight, reported);
    const std::uint32_t slots = std::max(of.endpoint.slots, 1U);
    const double ahead = present < slots ? 0.0 : static_cast<double>(present - slots + 1) / slots;
    return of.plain_time + scaled(of.plain_time, ahead) + settings_.running_cost * present;
}

choice_candidate endpoint_choice::estimate(const state& of, const choice_request& request, std::size_t home,
                                           time_point now) const {
    choice_candidate chosen;
    chosen.id = of.endpoint.id;
    chosen.estimate = of.endpoint.round_trip;
    const bool is_recent = of.reported_at && now - *of.reported_at <= settings_.report_life;
    if (of.reported_at) {
        chosen.report_age = now - *of.reported_at;
    }
    if (!of.endpoint.is_engine) {
        chosen.resident = true;
        chosen.estimate += estimate_plain(of, is_recent);
        return chosen;
    }
    chosen.resident = holds(of, request);
    if (!chosen.resident) {
        chosen.estimate += settings_.load_time;
        chosen.estimate += home == 0 ? 0ms : settings_.second_home + settings_.home_step * home;
        const std::uint32_t wanted = of.load.wanted_adapters + 1;
        const bool lacks_slots = is_recent && wanted > of.load.free_slots;
        chosen.estimate += lacks_slots ? settings_.slot_wait * (wanted - of.load.free_slots) : 0ms;
    }
    chosen.kept_tokens =
        chosen.resident ? std::min(of.prefixes.kept(request.adapter, request.prompt), request.prompt_tokens)
                        : 0;
    const std::uint64_t unread = backlog(of, now) + request.prompt_tokens - chosen.kept_tokens;
    chosen.estimate += reading_time(of, unread);
    const std::uint32_t running = std::max(of.in_flight, is_recent ? of.load.running : 0);
    chosen.estimate += settings_.running_cost * running;
    const std::uint64_t reserved = is_recent ? of.load.kv_reserved : 0;
    const std::uint64_t needed = reserved + request.prompt_tokens + request.output_tokens;
    if (of.endpoint.kv_tokens > 0 && needed > of.endpoint.kv_tokens) {
        chosen.estimate += settings_.full_cost;
    }
    return chosen;
}

std::vector<choice_candidate> endpoint_choice::order(const choice_request& request,
                                                     std::span<const std::string> ids, time_point now) const {
    std::vector<std::pair<std::uint64_t, const state*>> homes;
    for (const std::string& id : ids) {
        if (const auto found = states_.find(id); found != states_.end()) {
            homes.emplace_back(hash64(found->second.endpoint.place, hash64(request.adapter)), &found->second);
        }
    }
    std::ranges::sort(homes, std::ranges::greater{}, &decltype(homes)::value_type::first);
    std::vector<choice_candidate> candidates;
    for (std::size_t home = 0; home < homes.size(); ++home) {
        candidates.push_back(estimate(*homes[home].second, request, home, now));
    }
    std::ranges::stable_sort(candidates, {}, &choice_candidate::estimate);
    return candidates;
}

void endpoint_choice::sent(const std::string& id, std::uint64_t token, const choice_request& request) {
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return;
    }
    state& to = found->second;
    ++to.in_flight;
    const std::uint32_t kept =
        std::min(to.prefixes.kept(request.adapter, request.prompt), request.prompt_tokens);
    to.unread[token] = request.prompt_tokens - kept;
    to.prefixes.remember(request.adapter, request.prompt);
    if (!request.adapter.empty() && !holds(to, request)) {
        // The request itself has the adapter loaded.
        to.load.resident.push_back(full_name(request));
        ++to.load.wanted_adapters;
    }
}

void endpoint_choice::answered(const std::string& id, std::uint64_t token) {
    if (const auto found = states_.find(id); found != states_.end()) {
        found->second.unread.erase(token);
    }
}

void endpoint_choice::ended(const std::string& id, std::uint64_t token, std::optional<duration> took) {
    const auto found = states_.find(id);
    if (found == states_.end()) {
        return;
    }
    state& of = found->second;
    of.in_flight -= of.in_flight > 0 ? 1 : 0;
    of.unread.erase(token);
    if (took && !of.endpoint.is_engine) {
        const duration net = std::max<duration>(*took - of.endpoint.round_trip, 0s);
        of.plain_time += scaled(net - of.plain_time, settings_.plain_time_step);
    }
}

void endpoint_choice::observe_engine(const std::string& id, const engine_load& load, time_point now) {
    if (const auto found = states_.find(id); found != states_.end()) {
        found->second.load = load;
        found->second.reported_at = now;
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

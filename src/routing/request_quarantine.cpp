#include "samphiretray/routing/request_quarantine.h"

#include "samphiretray/base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <utility>

namespace samphiretray::routing {

namespace {

/// Cuts of a request that more than one process has to know of.
constexpr std::size_t repeated = 2;

} // namespace

void request_quarantine::set_members(std::string own_name, std::vector<std::string> all_names) {
    own_name_ = std::move(own_name);
    members_ = std::move(all_names);
}

bool request_quarantine::counts(const known_request& known, const known_cut& cut) const {
    return !known.answered_at || *known.answered_at + settings_.harmless_before < cut.at;
}

request_quarantine::cut_list request_quarantine::counted_cuts(const known_request& known) const {
    cut_list counted;
    std::ranges::copy_if(known.cuts, std::back_inserter(counted),
                         [&](const known_cut& each) { return counts(known, each); });
    return counted;
}

request_quarantine::suspicion request_quarantine::suspicion_of(const known_request& known) const {
    suspicion found;
    for (const known_cut& each : known.cuts) {
        if (counts(known, each)) {
            found = {found.cuts + 1, each.at};
        }
    }
    return found;
}

void request_quarantine::update_index(request_key request, known_request& known) {
    const suspicion current = suspicion_of(known);
    if (current != known.indexed) {
        by_suspicion_.erase({known.indexed, request});
        known.indexed = current;
        by_suspicion_.insert({current, request});
    }
}

bool request_quarantine::is_suspected_often(const known_request& known) const {
    return suspicion_of(known).cuts >= repeated;
}

void request_quarantine::clear(known_request& known, time_point at) {
    const bool was_suspected = suspicion_of(known).cuts > 0;
    known.answered_at = std::max(known.answered_at.value_or(at), at);
    if (was_suspected && (known.revision > 0 || known.cuts.size() >= repeated)) {
        known.revision = ++revision_;
    }
}

bool request_quarantine::add_cut(known_request& known, const known_cut& cut) const {
    const bool is_known = std::ranges::any_of(known.cuts, [&](const known_cut& each) {
        return each.server == cut.server && each.at - cut.at < settings_.same_crash_time &&
               cut.at - each.at < settings_.same_crash_time;
    });
    const bool is_full = known.cuts.size() >= settings_.max_cuts_per_request;
    if (is_known || (is_full && cut.at <= known.cuts.front().at)) {
        return false;
    }
    if (is_full) {
        known.cuts.erase(known.cuts.begin());
    }
    known.cuts.insert(std::ranges::upper_bound(known.cuts, cut.at, {}, &known_cut::at), cut);
    known.probed_slot.reset();
    return true;
}

request_quarantine::known_request& request_quarantine::find_or_add(request_key request) {
    if (const auto found = requests_.find(request); found != requests_.end()) {
        return found->second;
    }
    if (requests_.size() >= settings_.max_requests) {
        drop_least_suspected();
    }
    known_request& added = requests_[request];
    added.answered_at = answers_.last(request);
    by_suspicion_.insert({added.indexed, request});
    return added;
}

/// Requests that callers make up are lost with one server each, so they never displace one that has lost
/// more.
void request_quarantine::drop_least_suspected() {
    const auto least = by_suspicion_.begin();
    requests_.erase(least->second);
    by_suspicion_.erase(least);
}

void request_quarantine::on_cut(request_key request, const cut_run& cut, time_point now) {
    known_request& known = find_or_add(request);
    if (!add_cut(known, {cut.server, cut.attempt, now - cut.age})) {
        return;
    }
    update_index(request, known);
    known.revision = ++revision_;
    ++observed_cuts_;
    has_repeated_cut_ = has_repeated_cut_ || is_suspected_often(known);
}

void request_quarantine::on_answered(request_key request, time_point now) {
    answers_.note(request, now, now);
    if (const auto found = requests_.find(request); found != requests_.end()) {
        clear(found->second, now);
        update_index(request, found->second);
    }
}

bool request_quarantine::release(request_key request, time_point now) {
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return false;
    }
    // Unlike an answer, the release does not excuse cuts that follow it.
    found->second.revision = ++revision_;
    clear(found->second, now - settings_.harmless_before);
    update_index(request, found->second);
    return true;
}

void request_quarantine::merge(const request_evidence& evidence, time_point now) {
    for (const suspected_request& each : evidence.requests) {
        known_request& known = find_or_add(each.request);
        bool is_changed = false;
        for (const cut_run& cut : each.cuts) {
            is_changed = add_cut(known, {cut.server, cut.attempt, now - cut.age}) || is_changed;
        }
        if (each.answered) {
            clear(known, now - *each.answered);
        }
        update_index(each.request, known);
        // Others may not know of an answer that this process has seen.
        const bool is_worth_telling = is_suspected_often(known) || known.answered_at;
        if (is_changed && known.cuts.size() >= repeated && is_worth_telling) {
            known.revision = ++revision_;
        }
    }
}

void request_quarantine::expire(time_point now) {
    std::erase_if(requests_, [&](const auto& each) {
        const known_request& known = each.second;
        const bool is_old = known.cuts.empty() || now - known.cuts.back().at > settings_.memory;
        const bool is_cleared = known.answered_at && now - *known.answered_at > settings_.answered_memory &&
                                suspicion_of(known).cuts == 0;
        if (is_old || is_cleared) {
            by_suspicion_.erase({known.indexed, each.first});
        }
        return is_old || is_cleared;
    });
}

std::optional<request_quarantine::verdict> request_quarantine::judge(const known_request& known,
                                                                     time_point now) const {
    if (known.cuts.size() < settings_.min_cuts) {
        return std::nullopt;
    }
    const cut_list counted = counted_cuts(known);
    std::set<std::uint64_t> attempts;
    std::size_t settled = 0;
    for (const known_cut& each : counted) {
        if (each.at + settings_.settle_time <= now) {
            attempts.insert(each.attempt);
            ++settled;
        }
    }
    if (settled < settings_.min_cuts || attempts.size() < settings_.min_attempts) {
        return std::nullopt;
    }
    // A relapse counts at once, so that no further probe is sent while it settles.
    std::uint32_t relapses = 0;
    for (std::size_t i = settings_.min_cuts; i < counted.size(); ++i) {
        relapses += counted[i].at - counted[i - 1].at >= settings_.shared_quarantine_time ? 1 : 0;
    }
    const bool is_ambiguous = relapses == 0 && known.shares_servers;
    return verdict{counted.size(), counted.back().at,
                   is_ambiguous
                       ? settings_.shared_quarantine_time
                       : settings_.quarantine_time * (1U << std::min(relapses, settings_.max_doublings))};
}

void request_quarantine::find_shared_servers(time_point now) {
    std::unordered_map<std::uint64_t, std::size_t> suspects_of_server;
    const auto is_judged = [&](const auto& each) { return judge(each.second, now).has_value(); };
    for (const auto& [request, known] : requests_ | std::views::filter(is_judged)) {
        for (const known_cut& each : counted_cuts(known)) {
            ++suspects_of_server[each.server];
        }
    }
    for (known_request& known : requests_ | std::views::values) {
        known.shares_servers = std::ranges::any_of(known.cuts, [&](const known_cut& each) {
            const auto found = suspects_of_server.find(each.server);
            return found != suspects_of_server.end() && found->second > 1;
        });
    }
}

std::vector<request_change> request_quarantine::poll(time_point now) {
    if (requests_.empty() && reported_phases_.empty() && lifted_.empty()) {
        return {};
    }
    expire(now);
    find_shared_servers(now);
    std::vector<request_change> changes;
    std::map<request_key, request_phase> phases;
    for (const auto& [request, known] : requests_) {
        const auto value = judge(known, now);
        if (!value) {
            continue;
        }
        const request_phase current = phases[request] = phase(*value, now);
        const auto reported = reported_phases_.find(request);
        if (reported == reported_phases_.end() || reported->second != current) {
            changes.push_back({request, current, value->cuts});
        }
    }
    for (const request_key request : reported_phases_ | std::views::keys) {
        if (!phases.contains(request)) {
            changes.push_back({request, std::nullopt, 0});
            lifted_[request] = now;
        }
    }
    std::erase_if(lifted_, [&](const auto& each) {
        return phases.contains(each.first) || now - each.second > settings_.lift_announcement;
    });
    reported_phases_ = std::move(phases);
    return changes;
}

request_phase request_quarantine::phase(const verdict& value, time_point now) const {
    return now - value.last_cut < value.quarantine_time ? request_phase::quarantined : request_phase::probing;
}

std::uint64_t request_quarantine::slot_at(const verdict& value, time_point now) const {
    return static_cast<std::uint64_t>((now - value.last_cut - value.quarantine_time) / settings_.probe_slot);
}

/// All processes agree on who may probe as far as they agree on the members.
bool request_quarantine::may_probe(request_key request, std::uint64_t slot) const {
    constexpr std::uint64_t max_slot = 32;
    const std::size_t rank = members_.empty() ? settings_.assumed_members - 1
                                              : rendezvous_rank(own_name_, members_, request + slot);
    return slot >= max_slot || rank < (std::uint64_t{1} << slot);
}

std::optional<duration> request_quarantine::check(request_key request, std::uint64_t attempt,
                                                  time_point now) {
    const auto found = requests_.find(request);
    if (found == requests_.end()) {
        return std::nullopt;
    }
    known_request& known = found->second;
    const auto value = judge(known, now);
    if (!value) {
        return std::nullopt;
    }
    const duration age = now - value->last_cut;
    if (age < value->quarantine_time) {
        return value->quarantine_time - age;
    }
    const std::uint64_t slot = slot_at(*value, now);
    const bool is_probed = known.probed_slot == slot;
    // A probe may look for a server more than once, but not after one has closed its connection.
    const bool is_cut = std::ranges::find(known.cuts, attempt, &known_cut::attempt) != known.cuts.end();
    if (is_cut || (is_probed && known.probe_attempt != attempt) ||
        (!is_probed && !may_probe(request, slot))) {
        return value->quarantine_time + settings_.probe_slot * (slot + 1) - age;
    }
    known.probed_slot = slot;
    known.probe_attempt = attempt;
    return std::nullopt;
}

bool request_quarantine::may_repeat(request_key request) const {
    const auto found = requests_.find(request);
    return found == requests_.end() || suspicion_of(found->second).cuts < settings_.min_cuts;
}

suspected_request request_quarantine::evidence_of(request_key request, const known_request& known,
                                                  time_point now) const {
    suspected_request evidence{request, {}, std::nullopt};
    std::ranges::transform(known.cuts, std::back_inserter(evidence.cuts), [now](const known_cut& each) {
        return cut_run{each.server, each.attempt, now - each.at};
    });
    if (known.answered_at) {
        evidence.answered = now - *known.answered_at;
    }
    return evidence;
}

request_evidence request_quarantine::evidence_after(std::uint64_t revision, time_point now) const {
    request_evidence evidence{revision_, {}};
    if (revision == revision_) {
        return evidence;
    }
    for (const request_key request : by_suspicion_ | std::views::reverse | std::views::values) {
        const known_request& known = requests_.at(request);
        if (known.revision > revision) {
            evidence.requests.push_back(evidence_of(request, known, now));
        }
        if (evidence.requests.size() == settings_.max_told) {
            break;
        }
    }
    return evidence;
}

bool request_quarantine::take_repeated_cut() {
    return std::exchange(has_repeated_cut_, false);
}

std::vector<held_part> request_quarantine::announcement(time_point now) const {
    std::vector<held_part> held;
    for (const quarantined_request& each : quarantined(now)) {
        if (each.phase == request_phase::quarantined) {
            held.push_back({each.request, {}, each.time_left});
        }
    }
    std::ranges::transform(lifted_ | std::views::keys, std::back_inserter(held), [](request_key request) {
        return held_part{request, {}, duration::zero()};
    });
    return held;
}

std::vector<quarantined_request> request_quarantine::quarantined(time_point now) const {
    std::vector<quarantined_request> all;
    for (const auto& [request, known] : requests_) {
        if (const auto value = judge(known, now)) {
            const duration age = now - value->last_cut;
            all.push_back({request, phase(*value, now), value->cuts, age,
                           std::max<duration>(value->quarantine_time - age, 0ms)});
        }
    }
    std::ranges::sort(all, {}, &quarantined_request::last_cut_age);
    return all;
}

bool request_quarantine::is_quarantined(request_key request, time_point now) const {
    const auto found = requests_.find(request);
    const auto value = found == requests_.end() ? std::nullopt : judge(found->second, now);
    return value && phase(*value, now) == request_phase::quarantined;
}

} // namespace samphiretray::routing

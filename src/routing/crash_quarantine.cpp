#include "samphiretray/routing/crash_quarantine.h"

#include "samphiretray/base/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace samphiretray::routing {

namespace {

bool contains(std::span<const part_key> parts, part_key part) {
    return std::ranges::find(parts, part) != parts.end();
}

bool holds(const std::vector<prompt_request>& requests, part_key part) {
    return std::ranges::any_of(requests,
                               [part](const prompt_request& each) { return contains(each.parts, part); });
}

std::set<part_key> parts_of(const std::vector<prompt_request>& requests) {
    std::set<part_key> all;
    for (const prompt_request& each : requests) {
        all.insert(each.parts.begin(), each.parts.end());
    }
    return all;
}

/// The crashes in which one request held both parts.
template <typename Crashes, typename List>
Crashes crashes_with_both(const Crashes& crashes, const List& list, part_key one, part_key other) {
    Crashes shared;
    std::ranges::copy_if(crashes, std::inserter(shared, shared.end()), [&](std::size_t index) {
        return std::ranges::any_of(list[index]->requests, [&](const prompt_request& each) {
            return contains(each.parts, one) && contains(each.parts, other);
        });
    });
    return shared;
}

} // namespace

bool is_held_back(std::span<const part_key> parts, std::span<const part_key> companions) {
    return companions.empty() ||
           std::ranges::any_of(companions, [parts](part_key other) { return contains(parts, other); });
}

void crash_quarantine::set_members(std::string own_name, std::vector<std::string> all_names) {
    own_name_ = std::move(own_name);
    members_ = std::move(all_names);
}

/// Other processes are told only of parts that more than one crash has in common.
void crash_quarantine::note_harmless(part_key part, suspect& known, time_point at) {
    const bool was_suspected =
        std::ranges::any_of(crashes_ | std::views::values, [this, part](const known_crash& each) {
            return holds(each.requests, part) && is_suspected(part, each);
        });
    known.harmless_at = std::max(known.harmless_at.value_or(at), at);
    if (was_suspected && known.crashes > 1) {
        known.revision = ++revision_;
        changed_ = true;
    }
}

void crash_quarantine::on_answered(std::span<const part_key> parts, time_point began_at, time_point now) {
    for (const part_key part : parts) {
        answers_.note(part, began_at, now);
        if (const auto found = suspects_.find(part); found != suspects_.end()) {
            note_harmless(part, found->second, began_at);
        }
    }
}

bool crash_quarantine::is_suspected(part_key part, const known_crash& crash) const {
    const auto found = suspects_.find(part);
    if (found == suspects_.end()) {
        return false;
    }
    const auto& harmless_at = found->second.harmless_at;
    return !harmless_at || *harmless_at + settings_.harmless_before < crash.at;
}

void crash_quarantine::add_suspects(const std::set<part_key>& parts) {
    for (const part_key part : parts) {
        suspect& known = suspects_[part];
        ++known.crashes;
        if (const auto answered = answers_.last(part)) {
            known.harmless_at = std::max(known.harmless_at.value_or(*answered), *answered);
        }
        if (known.crashes > 1 && known.harmless_at) {
            known.revision = ++revision_;
        }
    }
}

void crash_quarantine::on_crash(const engine_crash& crash, time_point now) {
    known_crash& known = crashes_[crash.engine];
    const bool is_new = known.revision == 0;
    known.at = is_new ? now - crash.age : known.at;
    const std::set<part_key> parts_before = parts_of(known.requests);
    const std::size_t requests_before = known.requests.size();
    for (const prompt_request& each : crash.requests) {
        const bool is_known =
            std::ranges::find(known.requests, each.id, &prompt_request::id) != known.requests.end();
        if (is_known || known.requests.size() >= settings_.max_requests_per_crash) {
            continue;
        }
        prompt_request kept = each;
        kept.parts.resize(std::min(kept.parts.size(), settings_.max_parts_per_request));
        known.requests.push_back(std::move(kept));
    }
    if (!is_new && known.requests.size() == requests_before) {
        return;
    }
    known.revision = ++revision_;
    changed_ = true;
    std::set<part_key> added = parts_of(known.requests);
    std::ranges::for_each(parts_before, [&added](part_key part) { added.erase(part); });
    add_suspects(added);
    if (crashes_.size() > settings_.max_crashes) {
        drop_oldest();
    }
}

void crash_quarantine::merge(const crash_evidence& evidence, time_point now) {
    std::ranges::for_each(evidence.crashes, [&](const engine_crash& each) { on_crash(each, now); });
    for (const harmless_part& each : evidence.harmless) {
        if (const auto found = suspects_.find(each.part); found != suspects_.end()) {
            note_harmless(each.part, found->second, now - each.age);
        }
    }
}

void crash_quarantine::drop_oldest() {
    const auto oldest =
        std::ranges::min_element(crashes_, {}, [](const auto& each) { return each.second.at; });
    for (const part_key part : parts_of(oldest->second.requests)) {
        const auto known = suspects_.find(part);
        if (known != suspects_.end() && --known->second.crashes == 0) {
            suspects_.erase(known);
        }
    }
    crashes_.erase(oldest);
    changed_ = true;
}

void crash_quarantine::expire(time_point now) {
    const auto is_old = [&](const auto& each) { return now - each.second.at > settings_.memory; };
    while (std::ranges::any_of(crashes_, is_old)) {
        drop_oldest();
    }
}

std::vector<quarantine_change> crash_quarantine::poll(time_point now) {
    expire(now);
    if (std::exchange(changed_, false) || (settles_at_ && now >= *settles_at_)) {
        update_rules(now);
    }
    std::vector<quarantine_change> changes;
    std::map<part_key, quarantine_phase> phases;
    for (const auto& [part, value] : rules_) {
        phases.emplace(part, phase(value, now));
        const auto reported = reported_phases_.find(part);
        if (reported == reported_phases_.end() || reported->second != phases.at(part)) {
            changes.push_back(
                {part, phases.at(part), value.crashes, now - value.last_crash, value.companions.size()});
        }
    }
    for (const part_key part : reported_phases_ | std::views::keys) {
        if (!phases.contains(part)) {
            changes.push_back({part, std::nullopt, 0, duration::zero(), 0});
            lifted_[part] = now;
        }
    }
    std::erase_if(lifted_, [&](const auto& each) {
        return phases.contains(each.first) || now - each.second > settings_.lift_announcement;
    });
    reported_phases_ = std::move(phases);
    return changes;
}

crash_quarantine::crash_list crash_quarantine::take_settled_crashes(time_point now) {
    crash_list settled;
    settles_at_.reset();
    for (const known_crash& each : crashes_ | std::views::values) {
        const time_point settles_at = each.at + settings_.settle_time;
        if (settles_at <= now) {
            settled.push_back(&each);
        } else {
            settles_at_ = std::min(settles_at_.value_or(settles_at), settles_at);
        }
    }
    return settled;
}

crash_quarantine::suspicions crash_quarantine::suspicions_of(const crash_list& counted) const {
    suspicions all;
    for (std::size_t index = 0; index < counted.size(); ++index) {
        for (std::size_t rank = 0; rank < counted[index]->requests.size(); ++rank) {
            for (const part_key part : counted[index]->requests[rank].parts) {
                const bool is_new =
                    is_suspected(part, *counted[index]) && all[part].crashes.insert(index).second;
                if (is_new) {
                    all[part].likelihood += 1.0 / static_cast<double>(rank + 1);
                }
            }
        }
    }
    return all;
}

bool crash_quarantine::is_established(part_key part, const suspicion& value,
                                      const crash_list& counted) const {
    std::set<std::uint64_t> requests;
    for (const std::size_t index : value.crashes) {
        for (const prompt_request& each : counted[index]->requests) {
            if (contains(each.parts, part)) {
                requests.insert(each.id);
            }
        }
    }
    return value.crashes.size() >= settings_.min_crashes && requests.size() >= settings_.min_requests;
}

void crash_quarantine::update_rules(time_point now) {
    const crash_list counted = take_settled_crashes(now);
    suspicions established = suspicions_of(counted);
    std::erase_if(established,
                  [&](const auto& each) { return !is_established(each.first, each.second, counted); });
    std::unordered_map<part_key, rule> previous = std::exchange(rules_, {});
    for (const part_key part : established | std::views::keys) {
        rule made = make_rule(part, established, counted);
        if (const auto before = previous.find(part);
            before != previous.end() && before->second.last_crash == made.last_crash) {
            made.probed_slot = before->second.probed_slot;
            made.probe_request = before->second.probe_request;
        }
        rules_.emplace(part, std::move(made));
    }
    drop_explained(established, counted);
}

crash_quarantine::rule crash_quarantine::make_rule(part_key part, const suspicions& all,
                                                   const crash_list& counted) const {
    std::vector<time_point> times;
    std::ranges::transform(all.at(part).crashes, std::back_inserter(times),
                           [&](std::size_t index) { return counted[index]->at; });
    std::ranges::sort(times);
    rule made;
    made.crashes = static_cast<std::uint32_t>(times.size());
    made.last_crash = times.back();
    for (std::size_t index = 1; index < times.size(); ++index) {
        made.relapses += times[index] - times[index - 1] >= settings_.quarantine_time ? 1 : 0;
    }
    made.companions = companions_of(part, all, counted);
    return made;
}

/// A few other parts that explain all crashes of this part as well, since they go with it in the same
/// requests. Then it is open which of them is to blame, and a request with only one of them can show it.
std::vector<part_key> crash_quarantine::companions_of(part_key part, const suspicions& all,
                                                      const crash_list& counted) const {
    const crash_set& crashes = all.at(part).crashes;
    std::map<part_key, crash_set> together;
    for (const auto& [other, value] : all) {
        if (other != part) {
            together.emplace(other, crashes_with_both(crashes, counted, part, other));
        }
    }
    std::vector<part_key> chosen;
    crash_set unexplained = crashes;
    const auto explained_by = [&](const auto& each) {
        const auto count = std::ranges::count_if(
            each.second, [&](std::size_t index) { return unexplained.contains(index); });
        return std::pair{count, all.at(each.first).likelihood};
    };
    while (!unexplained.empty() && chosen.size() < settings_.max_companions) {
        const auto best = std::ranges::max_element(together, {}, explained_by);
        if (best == together.end() || explained_by(*best).first == 0) {
            return {};
        }
        chosen.push_back(best->first);
        std::ranges::for_each(best->second, [&](std::size_t index) { unexplained.erase(index); });
    }
    return unexplained.empty() ? chosen : std::vector<part_key>{};
}

bool crash_quarantine::explains(const suspicion& other, const suspicion& value) const {
    crash_set unexplained;
    std::ranges::set_difference(value.crashes, other.crashes, std::inserter(unexplained, unexplained.end()));
    const bool is_likelier =
        std::pair{other.crashes.size(), other.likelihood} > std::pair{value.crashes.size(), value.likelihood};
    return is_likelier && unexplained.size() < settings_.min_crashes;
}

/// Drops the rules of parts that were at the crashed engines by chance: in other requests than the part that
/// explains the crashes, or in a few of its requests. The companions of a part stay, since they may be to
/// blame instead of it.
void crash_quarantine::drop_explained(const suspicions& all, const crash_list& counted) {
    std::set<part_key> companions;
    std::set<part_key> unambiguous;
    for (const auto& [part, value] : rules_) {
        companions.insert(value.companions.begin(), value.companions.end());
        if (value.companions.empty()) {
            unambiguous.insert(part);
        }
    }
    std::erase_if(rules_, [&](const auto& each) {
        const suspicion& value = all.at(each.first);
        return !companions.contains(each.first) && std::ranges::any_of(all, [&](const auto& other) {
            const auto together = crashes_with_both(value.crashes, counted, each.first, other.first);
            const bool is_separate = together.size() < settings_.min_crashes;
            const bool is_dominant =
                unambiguous.contains(other.first) && other.second.crashes.size() >= 2 * value.crashes.size();
            return (is_separate || is_dominant) && explains(other.second, value);
        });
    });
}

duration crash_quarantine::quarantine_time(const rule& value) const {
    return settings_.quarantine_time * (1U << std::min(value.relapses, settings_.max_doublings));
}

quarantine_phase crash_quarantine::phase(const rule& value, time_point now) const {
    const duration age = now - value.last_crash;
    const duration held = quarantine_time(value);
    if (age < held) {
        return quarantine_phase::quarantined;
    }
    return age < held + settings_.probe_slot * settings_.probe_slots ? quarantine_phase::probing
                                                                     : quarantine_phase::released;
}

/// One process at a time may probe. All agree on it as far as they agree on the members.
bool crash_quarantine::may_probe(part_key part, std::uint32_t slot) const {
    return !members_.empty() && rendezvous_rank(own_name_, members_, part + slot) == 0;
}

std::optional<quarantine_match> crash_quarantine::check(const prompt_request& request, time_point now) {
    for (const part_key part : request.parts) {
        const auto found = rules_.find(part);
        if (found == rules_.end()) {
            continue;
        }
        rule& value = found->second;
        const quarantine_phase current = phase(value, now);
        if (current == quarantine_phase::released || !is_held_back(request.parts, value.companions)) {
            continue;
        }
        const duration held = quarantine_time(value);
        const duration age = now - value.last_crash;
        if (current == quarantine_phase::quarantined) {
            return quarantine_match{part, held - age};
        }
        const auto slot = static_cast<std::uint32_t>((age - held) / settings_.probe_slot);
        if (value.probed_slot == slot && value.probe_request == request.id) {
            continue;
        }
        if (value.probed_slot == slot || !may_probe(part, slot)) {
            return quarantine_match{part, settings_.probe_slot * (slot + 1) - (age - held)};
        }
        value.probed_slot = slot;
        value.probe_request = request.id;
    }
    return std::nullopt;
}

crash_evidence crash_quarantine::evidence_after(std::uint64_t revision, time_point now) const {
    crash_evidence evidence;
    evidence.revision = revision_;
    for (const auto& [engine, crash] : crashes_) {
        if (crash.revision > revision) {
            evidence.crashes.push_back({engine, now - crash.at, crash.requests});
        }
    }
    for (const auto& [part, known] : suspects_) {
        if (known.revision > revision && known.harmless_at) {
            evidence.harmless.push_back({part, now - *known.harmless_at});
        }
    }
    return evidence;
}

crash_evidence crash_quarantine::supporting_evidence(time_point now) const {
    crash_evidence evidence;
    evidence.revision = revision_;
    std::vector<std::pair<std::string, const known_crash*>> newest_first;
    std::ranges::transform(crashes_, std::back_inserter(newest_first), [](const auto& each) {
        return std::pair{each.first, &each.second};
    });
    std::ranges::sort(newest_first, std::greater{}, [](const auto& each) { return each.second->at; });
    std::map<part_key, std::uint32_t> needed;
    for (const part_key part : rules_ | std::views::keys) {
        needed.emplace(part, settings_.min_crashes);
    }
    for (const auto& [engine, crash] : newest_first) {
        bool is_needed = false;
        for (auto& [part, missing] : needed) {
            if (missing > 0 && holds(crash->requests, part) && is_suspected(part, *crash)) {
                --missing;
                is_needed = true;
            }
        }
        if (is_needed) {
            evidence.crashes.push_back({engine, now - crash->at, crash->requests});
        }
    }
    return evidence;
}

std::vector<held_part> crash_quarantine::announcement(time_point now) const {
    std::vector<held_part> parts;
    for (const auto& [part, value] : rules_) {
        if (phase(value, now) == quarantine_phase::quarantined) {
            parts.push_back({part, value.companions, quarantine_time(value) - (now - value.last_crash)});
        }
    }
    std::ranges::transform(lifted_ | std::views::keys, std::back_inserter(parts), [](part_key part) {
        return held_part{part, {}, duration::zero()};
    });
    return parts;
}

std::size_t crash_quarantine::quarantined_count(time_point now) const {
    return static_cast<std::size_t>(std::ranges::count_if(rules_ | std::views::values, [&](const rule& each) {
        return phase(each, now) != quarantine_phase::released;
    }));
}

} // namespace samphiretray::routing

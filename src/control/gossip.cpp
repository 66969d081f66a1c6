#include "samphiretray/control/gossip.h"

#include "samphiretray/base/hash.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace samphiretray::control {

namespace {

// Failures of peers in a data centre after which a starting process considers the data centre unreachable.
constexpr int data_centre_failure_limit = 3;
// A pull is kept for this many timeouts, since a late reply still brings valid evidence.
constexpr int pull_retention_timeouts = 5;
// Pull intervals vary by a tenth in both directions, so that processes that started together do not stay
// synchronised.
constexpr int jitter_divisor = 10;

} // namespace

gossip::gossip(gossip_settings settings, std::uint64_t seed, contact_tracker& contact,
               config::replica& configuration)
    : settings_(std::move(settings)), contact_(contact), configuration_(configuration),
      random_(static_cast<std::minstd_rand::result_type>(seed)) {}

void gossip::set_members(time_point now, std::span<const ports::vm* const> live) {
    same_data_centre_.clear();
    same_region_.clear();
    other_regions_.clear();
    for (const ports::vm* vm : live) {
        if (vm->name == settings_.vm) {
            continue;
        }
        const candidate added{vm->name, vm->data_centre, vm->region, hash64(settings_.vm + "/" + vm->name)};
        if (vm->region != settings_.region) {
            other_regions_.push_back(added);
        } else if (vm->data_centre != settings_.data_centre) {
            same_region_.push_back(added);
        } else {
            same_data_centre_.push_back(added);
        }
    }
    for (auto* list : {&same_data_centre_, &same_region_, &other_regions_}) {
        std::ranges::sort(*list, {}, &candidate::score);
    }
    next_time_ = now;
}

std::vector<std::string> gossip::choose_neighbours(time_point now, const std::vector<candidate>& ranked,
                                                   std::size_t count) const {
    std::vector<std::string> chosen;
    std::vector<std::string> replaced;
    for (const candidate& each : ranked) {
        if (chosen.size() == count) {
            break;
        }
        (is_replaced(now, each.name) ? replaced : chosen).push_back(each.name);
    }
    // If too few candidates are left, the best failed ones are tried again.
    const std::size_t lacking = std::min(count - chosen.size(), replaced.size());
    std::ranges::copy_n(replaced.begin(), static_cast<std::ptrdiff_t>(lacking), std::back_inserter(chosen));
    return chosen;
}

bool gossip::is_replaced(time_point now, std::string_view name) const {
    const auto found = replaced_until_.find(name);
    return found != replaced_until_.end() && found->second > now;
}

std::vector<std::string> gossip::untried_data_centre_peers(time_point now) const {
    std::map<std::string_view, std::string> by_data_centre;
    for (const auto* list : {&same_region_, &other_regions_}) {
        for (const candidate& each : *list) {
            if (!is_tried(each.data_centre) && !is_replaced(now, each.name)) {
                by_data_centre.emplace(each.data_centre, each.name);
            }
        }
    }
    std::vector<std::string> names;
    std::ranges::copy(by_data_centre | std::views::values, std::back_inserter(names));
    return names;
}

bool gossip::is_tried(std::string_view data_centre) const {
    const auto found = data_centres_.find(data_centre);
    return found != data_centres_.end() &&
           (found->second.has_answered || found->second.failures >= data_centre_failure_limit);
}

std::vector<std::string> gossip::neighbours(time_point now) const {
    std::vector<std::string> names =
        choose_neighbours(now, same_data_centre_, settings_.data_centre_neighbours);
    std::ranges::move(choose_neighbours(now, same_region_, settings_.region_neighbours),
                      std::back_inserter(names));
    std::ranges::move(choose_neighbours(now, other_regions_, settings_.remote_neighbours),
                      std::back_inserter(names));
    if (!has_been_ready_) {
        std::ranges::move(untried_data_centre_peers(now), std::back_inserter(names));
    }
    std::ranges::sort(names);
    names.erase(std::ranges::unique(names).begin(), names.end());
    return names;
}

duration gossip::jittered_interval() {
    const auto spread = settings_.pull_interval.count() / jitter_divisor;
    std::uniform_int_distribution<duration::rep> distribution{-spread, spread};
    return settings_.pull_interval + duration{distribution(random_)};
}

std::vector<gossip_action> gossip::on_time(time_point now) {
    expire_pulls(now);
    std::vector<gossip_action> actions;
    std::map<std::string, time_point, std::less<>> schedule;
    next_time_ = now + settings_.pull_interval;
    for (const std::string& name : neighbours(now)) {
        const auto found = next_pull_.find(name);
        time_point due = found == next_pull_.end() ? now : found->second;
        if (due <= now) {
            actions.emplace_back(pull(now, name));
            due = now + jittered_interval();
        }
        schedule.emplace(name, due);
        next_time_ = std::min(next_time_, due);
    }
    next_pull_ = std::move(schedule);
    update_readiness(now);
    return actions;
}

send_pull gossip::pull(time_point now, const std::string& peer) {
    const std::uint64_t round = next_round_++;
    pending_pulls_.emplace(round, pending_pull{peer, now, false});
    return {peer, {round, configuration_.revision()}};
}

void gossip::expire_pulls(time_point now) {
    std::vector<std::string> failed;
    for (auto& [round, pull] : pending_pulls_) {
        if (!pull.has_failed && now - pull.sent >= settings_.reply_timeout) {
            pull.has_failed = true;
            failed.push_back(pull.peer);
        }
    }
    std::ranges::for_each(failed, [&](const std::string& peer) { record_failure(now, peer); });
    std::erase_if(pending_pulls_, [&](const auto& entry) {
        return now - entry.second.sent >= pull_retention_timeouts * settings_.reply_timeout;
    });
    if (pending_fetch_ && now - pending_fetch_->sent >= settings_.reply_timeout) {
        pending_fetch_.reset();
    }
    std::erase_if(replaced_until_, [now](const auto& entry) { return entry.second <= now; });
}

void gossip::record_failure(time_point now, std::string_view peer) {
    replaced_until_.insert_or_assign(std::string{peer}, now + settings_.replacement_time);
    if (const candidate* known = find(peer)) {
        ++data_centres_[known->data_centre].failures;
    }
    if (pending_fetch_ && pending_fetch_->peer == peer) {
        pending_fetch_.reset();
    }
}

void gossip::on_peer_failed(time_point now, std::string_view peer) {
    const auto is_open = [peer](const auto& entry) {
        return entry.second.peer == peer && !entry.second.has_failed;
    };
    if (std::ranges::none_of(pending_pulls_, is_open)) {
        return;
    }
    for (auto& [round, pull] : pending_pulls_) {
        pull.has_failed = pull.has_failed || pull.peer == peer;
    }
    record_failure(now, peer);
}

const gossip::candidate* gossip::find(std::string_view name) const {
    for (const auto* list : {&same_data_centre_, &same_region_, &other_regions_}) {
        const auto found = std::ranges::find(*list, name, &candidate::name);
        if (found != list->end()) {
            return &*found;
        }
    }
    return nullptr;
}

std::vector<gossip_action> gossip::on_state_reply(time_point now, std::string_view peer,
                                                  const wire::state_reply& reply) {
    const auto found = pending_pulls_.find(reply.round);
    if (found == pending_pulls_.end() || found->second.peer != peer) {
        return {};
    }
    const time_point sent = found->second.sent;
    pending_pulls_.erase(found);
    replaced_until_.erase(std::string{peer});
    if (const candidate* known = find(peer)) {
        data_centres_[known->data_centre].has_answered = true;
    }
    contact_.on_reply(sent, reply);
    configuration_.observe_revision(reply.revision);
    update_readiness(now);
    const bool is_newer = configuration_.effective_revision(reply.revision) > configuration_.revision();
    if (!is_newer || pending_fetch_) {
        return {};
    }
    return {fetch(now, peer)};
}

send_config_request gossip::fetch(time_point now, std::string_view peer) {
    pending_fetch_ = pending_pull{std::string{peer}, now, false};
    return {std::string{peer}, {configuration_.revision(), configuration_.missing_chunks()}};
}

std::vector<gossip_action> gossip::on_config_reply(time_point now, std::string_view peer,
                                                   const wire::config_reply& reply) {
    if (pending_fetch_ && pending_fetch_->peer == peer) {
        pending_fetch_.reset();
    }
    const std::vector<std::string> missing_before = configuration_.missing_chunks();
    // The replica stores the reason for a refusal.
    if (!configuration_.offer_manifest(reply.manifest)) {
        return {};
    }
    for (const wire::config_chunk& chunk : reply.chunks) {
        static_cast<void>(configuration_.offer_chunk(chunk.digest, chunk.text));
    }
    on_in_force();
    update_readiness(now);
    const std::vector<std::string> missing = configuration_.missing_chunks();
    if (missing.empty() || missing == missing_before || pending_fetch_) {
        return {};
    }
    return {fetch(now, peer)};
}

void gossip::on_in_force() {
    contact_.on_in_force(configuration_.revision());
}

void gossip::update_readiness(time_point now) {
    has_been_ready_ = is_ready(now);
}

bool gossip::is_ready(time_point now) const {
    if (has_been_ready_) {
        return true;
    }
    if (configuration_.revision() == 0 ||
        configuration_.revision() < configuration_.highest_seen_revision()) {
        return false;
    }
    const auto is_data_centre_tried = [this](const candidate& each) { return is_tried(each.data_centre); };
    const bool has_tried_all = std::ranges::all_of(same_data_centre_, is_data_centre_tried) &&
                               std::ranges::all_of(same_region_, is_data_centre_tried) &&
                               std::ranges::all_of(other_regions_, is_data_centre_tried);
    return has_tried_all || contact_.state(now) == contact_state::fresh;
}

} // namespace samphiretray::control

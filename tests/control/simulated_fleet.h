#pragma once

#include "samphiretray/config/chunks.h"
#include "samphiretray/config/replica.h"
#include "samphiretray/control/contact_tracker.h"
#include "samphiretray/control/gossip.h"
#include "samphiretray/control/membership.h"

#include "tests/support/sample_configuration.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace samphiretray::test {

struct fleet_options {
    std::size_t nodes = 60;
    std::size_t regions = 2;
    std::size_t data_centres = 4;
    int adapters = 50;
    double drop_rate = 0.0;
    std::uint64_t seed = 1;
};

/// Simulates many processes with gossip and contact tracking in virtual time, on a network and a key-value
/// service with faults. The clocks of the processes differ widely.
class simulated_fleet {
public:
    struct node {
        ports::vm vm;
        duration clock_offset{};
        control::contact_tracker evidence;
        config::replica configuration;
        std::unique_ptr<control::gossip> pulls;
        bool is_watcher = false;
        bool is_paused = false;
        /// True if the process can reach neither its peers nor the key-value service.
        bool is_isolated = false;
        std::uint64_t seen_revision = 0;
        std::uint64_t watch_round = 0;
        bool is_watching = false;
        /// Actions that became due during a pause.
        std::deque<std::function<void()>> deferred;
    };

    using message_observer = std::function<void(const node& from, const node& to, const wire::message&)>;

    explicit simulated_fleet(fleet_options options) : options_(options), random_(options.seed) {
        configuration_ = sample_configuration(options.adapters);
        for (std::size_t i = 0; i < options.nodes; ++i) {
            add_node(i);
        }
        std::vector<const ports::vm*> all;
        std::vector<std::string> regions;
        for (const auto& each : nodes_) {
            all.push_back(&each->vm);
            regions.push_back(each->vm.region);
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i]->evidence.set_regions(regions);
            nodes_[i]->pulls->set_members(local_time(*nodes_[i]), all);
            schedule(random_delay(1s), [this, i] { tick(i); });
            if (nodes_[i]->is_watcher) {
                schedule(random_delay(100ms), [this, i] { watch(i); });
            }
        }
    }

    // Fault injection.
    void set_service_up(bool up) { is_service_up_ = up; }
    void set_region_link(bool up) { is_region_link_up_ = up; }
    void set_service_reachable(std::size_t region, bool up) { service_cut_off_.at(region) = !up; }
    void isolate(std::size_t i, bool isolated) { nodes_.at(i)->is_isolated = isolated; }
    void pause(std::size_t i) { nodes_.at(i)->is_paused = true; }
    void resume(std::size_t i) {
        node& target = *nodes_.at(i);
        target.is_paused = false;
        auto deferred = std::move(target.deferred);
        target.deferred.clear();
        for (auto& action : deferred) {
            deliver(i, std::move(action));
        }
    }
    void set_drop_rate(double rate) { options_.drop_rate = rate; }

    /// Stores a changed configuration in the key-value service and returns its revision.
    std::uint64_t publish() {
        const std::uint64_t revision = published_.size() + 1;
        configuration_.rules.organisations.front().rate = 1000 + revision;
        auto parts = config::split_into_chunks(
            configuration_, config::inventory_chunk_count(configuration_.inventory.size(), 0));
        parts.manifest.revision = revision;
        parts.manifest.token = "token-" + std::to_string(revision);
        manifest_ = config::to_text(parts.manifest);
        chunks_ = std::move(parts.chunks);
        published_.push_back(now_);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i]->is_watching && reaches_service(*nodes_[i])) {
                answer_watch(i, nodes_[i]->watch_round);
            }
        }
        return revision;
    }

    void run_for(duration time) {
        const time_point end = now_ + time;
        while (!events_.empty() && events_.top().when <= end) {
            auto action = std::move(const_cast<event&>(events_.top()).action);
            now_ = events_.top().when;
            events_.pop();
            action();
        }
        now_ = end;
    }

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] time_point local_time(const node& of) const { return now_ + of.clock_offset; }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] const node& at(std::size_t i) const { return *nodes_.at(i); }
    [[nodiscard]] control::contact_state state(std::size_t i) const {
        return at(i).evidence.state(local_time(at(i)));
    }
    [[nodiscard]] std::uint64_t published() const { return published_.size(); }
    [[nodiscard]] std::size_t count_in_force(std::uint64_t revision) const {
        return static_cast<std::size_t>(std::ranges::count_if(
            nodes_, [revision](const auto& each) { return each->configuration.revision() >= revision; }));
    }
    [[nodiscard]] std::size_t count_in(control::contact_state wanted) const {
        std::size_t count = 0;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            count += state(i) == wanted ? 1 : 0;
        }
        return count;
    }
    /// Describes the last violation: evidence that looked newer than it was, an outage reported after its
    /// end, or a revision that decreased. Empty if there was none.
    [[nodiscard]] const std::string& violation() const { return violation_; }

    message_observer on_message;

private:
    struct event {
        time_point when;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::tie(other.when, other.order) < std::tie(when, order);
        }
    };

    void add_node(std::size_t i) {
        const std::size_t data_centre = i % (options_.regions * options_.data_centres);
        const std::size_t region = data_centre % options_.regions;
        auto added =
            std::make_unique<node>(node{{},
                                        {},
                                        control::contact_tracker{{"r" + std::to_string(region), 10s}},
                                        {},
                                        {},
                                        false,
                                        false,
                                        false,
                                        0,
                                        0,
                                        false,
                                        {}});
        added->vm.name = "vm" + std::to_string(i);
        added->vm.region = "r" + std::to_string(region);
        added->vm.data_centre = "d" + std::to_string(data_centre);
        added->is_watcher = i / (options_.regions * options_.data_centres) < 2;
        added->vm.kind = added->is_watcher ? wire::role::entry : wire::role::agent;
        added->clock_offset =
            duration{std::uniform_int_distribution<std::int64_t>{0, 1'000'000'000'000}(random_)};
        added->pulls = std::make_unique<control::gossip>(
            control::gossip_settings{
                .vm = added->vm.name, .region = added->vm.region, .data_centre = added->vm.data_centre},
            i + 1, added->evidence, added->configuration);
        service_cut_off_.resize(options_.regions);
        nodes_.push_back(std::move(added));
    }

    [[nodiscard]] duration random_delay(duration limit) {
        return duration{std::uniform_int_distribution<duration::rep>{0, limit.count()}(random_)};
    }
    void schedule(duration delay, std::function<void()> action) {
        events_.push({now_ + delay, ++event_count_, std::move(action)});
    }

    [[nodiscard]] bool reaches(const node& from, const node& to) const {
        const bool is_far = from.vm.region != to.vm.region;
        return !from.is_isolated && !to.is_isolated && (is_region_link_up_ || !is_far);
    }
    [[nodiscard]] bool reaches_service(const node& from) const {
        const auto region = static_cast<std::size_t>(from.vm.region.back() - '0');
        return is_service_up_ && !from.is_isolated && !service_cut_off_.at(region);
    }

    /// Runs an action of a process, or defers it to the end of the pause if the process is paused.
    void deliver(std::size_t i, std::function<void()> action) {
        node& target = *nodes_[i];
        if (target.is_paused) {
            target.deferred.push_back(std::move(action));
            return;
        }
        const std::uint64_t before = target.configuration.revision();
        check(target);
        action();
        if (target.configuration.revision() < before) {
            violation_ = target.vm.name + " went back to a lower revision";
        }
        check(target);
    }

    void check(const node& target) {
        const auto age = target.evidence.age(local_time(target));
        const std::uint64_t revision = target.configuration.revision();
        if (age && revision < published_.size() && published_[revision] < now_ - *age) {
            violation_ = target.vm.name + " has evidence that looks newer than it is";
        }
        if (target.evidence.state(local_time(target)) == control::contact_state::service_down &&
            now_ - last_failure_ > 10s) {
            violation_ = target.vm.name + " reports an outage that has ended";
        }
    }

    void send(std::size_t from, const std::string& to, const wire::message& value) {
        const auto i = static_cast<std::size_t>(std::stoul(to.substr(2)));
        if (on_message) {
            on_message(*nodes_[from], *nodes_[i], value);
        }
        const bool is_dropped = std::uniform_real_distribution<>{}(random_) < options_.drop_rate;
        if (is_dropped || !reaches(*nodes_[from], *nodes_[i])) {
            return;
        }
        const bool is_far = nodes_[from]->vm.region != nodes_[i]->vm.region;
        const duration base = is_far ? 15ms : 500us;
        schedule(base + random_delay(base),
                 [this, from, i, value] { deliver(i, [this, from, i, value] { receive(i, from, value); }); });
    }

    void perform(std::size_t i, const std::vector<control::gossip_action>& actions) {
        for (const auto& action : actions) {
            std::visit([&](const auto& each) { send(i, each.peer, each.message); }, action);
        }
    }

    void tick(std::size_t i) {
        deliver(i, [this, i] {
            node& own = *nodes_[i];
            if (own.pulls->next_time() <= local_time(own)) {
                perform(i, own.pulls->on_time(local_time(own)));
            }
            const duration wait = std::max<duration>(own.pulls->next_time() - local_time(own), 1ms);
            schedule(wait, [this, i] { tick(i); });
        });
    }

    void receive(std::size_t i, std::size_t from, const wire::message& value) {
        node& own = *nodes_[i];
        const time_point local_now = local_time(own);
        if (const auto* pull = std::get_if<wire::state_pull>(&value)) {
            wire::state_reply reply;
            reply.round = pull->round;
            own.evidence.fill_reply(local_now, reply);
            send(i, nodes_[from]->vm.name, reply);
        } else if (const auto* reply = std::get_if<wire::state_reply>(&value)) {
            perform(i, own.pulls->on_state_reply(local_now, nodes_[from]->vm.name, *reply));
        } else if (const auto* request = std::get_if<wire::config_request>(&value)) {
            send(i, nodes_[from]->vm.name, own.configuration.answer(*request));
        } else if (const auto* chunks = std::get_if<wire::config_reply>(&value)) {
            perform(i, own.pulls->on_config_reply(local_now, nodes_[from]->vm.name, *chunks));
        }
    }

    /// Starts a watch that ends at a change or after one second, like that of `node::config_watcher`.
    void watch(std::size_t i) {
        deliver(i, [this, i] {
            node& own = *nodes_[i];
            own.is_watching = true;
            const std::uint64_t round = ++own.watch_round;
            watch_sent_[i] = {now_, local_time(own)};
            if (!reaches_service(own)) {
                schedule(1500ms, [this, i, round] { fail_watch(i, round); });
            } else if (own.seen_revision != published_.size()) {
                answer_watch(i, round);
            } else {
                schedule(1s, [this, i, round] { finish_watch(i, round); });
            }
        });
    }

    void finish_watch(std::size_t i, std::uint64_t round) {
        if (reaches_service(*nodes_[i])) {
            answer_watch(i, round);
        } else {
            schedule(500ms, [this, i, round] { fail_watch(i, round); });
        }
    }

    void fail_watch(std::size_t i, std::uint64_t round) {
        deliver(i, [this, i, round] {
            node& own = *nodes_[i];
            if (own.watch_round != round || !own.is_watching) {
                return;
            }
            own.is_watching = false;
            last_failure_ = std::max(last_failure_, watch_sent_[i].first);
            own.evidence.on_own_failure(watch_sent_[i].second);
            schedule(500ms, [this, i] { watch(i); });
        });
    }

    /// The service answers now; the answer arrives a little later.
    void answer_watch(std::size_t i, std::uint64_t round) {
        const std::uint64_t revision = published_.size();
        schedule(2ms, [this, i, round, revision, manifest = manifest_, chunks = chunks_] {
            deliver(i, [this, i, round, revision, manifest, chunks] {
                node& own = *nodes_[i];
                if (own.watch_round != round || !own.is_watching) {
                    return;
                }
                own.is_watching = false;
                own.seen_revision = revision;
                apply_configuration(own, manifest, chunks);
                own.evidence.on_own_success(watch_sent_[i].second, revision);
                schedule(50ms, [this, i] { watch(i); });
            });
        });
    }

    static void apply_configuration(node& own, const std::string& manifest, const config::chunk_map& chunks) {
        if (manifest.empty()) {
            return;
        }
        own.configuration.observe_revision(config::parse_manifest(manifest)->revision);
        if (const auto missing = own.configuration.offer_manifest(manifest)) {
            for (const std::string& digest : *missing) {
                static_cast<void>(own.configuration.offer_chunk(digest, chunks.at(digest)));
            }
        }
        own.pulls->on_in_force();
    }

    fleet_options options_;
    std::mt19937_64 random_;
    time_point now_{};
    std::priority_queue<event> events_;
    std::uint64_t event_count_ = 0;
    std::vector<std::unique_ptr<node>> nodes_;
    std::map<std::size_t, std::pair<time_point, time_point>> watch_sent_;
    bool is_service_up_ = true;
    bool is_region_link_up_ = true;
    std::vector<bool> service_cut_off_;
    config::configuration configuration_;
    std::string manifest_;
    config::chunk_map chunks_;
    /// Times at which the revisions 1, 2, ... were stored.
    std::vector<time_point> published_;
    time_point last_failure_{};
    std::string violation_;
};

} // namespace samphiretray::test

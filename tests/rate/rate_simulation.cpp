#include "tests/rate/rate_simulation.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace samphiretray::rate::testing {

namespace {

constexpr duration tick_length = 5ms;

std::string region_name(int region) {
    return "region" + std::to_string(region);
}

} // namespace

rate_simulation::rate_simulation(int regions, int holders_per_region, bucket_limits fleet_limits,
                                 std::uint64_t seed)
    : granted_by_holder(index(regions * holders_per_region)), fleet_limits_(fleet_limits), random_(seed),
      current_issuers_(index(regions)) {
    for (int region = 0; region < regions; ++region) {
        current_issuers_[index(region)] = make_issuer(region, now);
        for (int each = 0; each < holders_per_region; ++each) {
            const duration offset = std::chrono::seconds{random_() % 1000};
            holders_.push_back({region, grant_holder{"org"}, now, offset, {}, {}});
        }
    }
}

std::shared_ptr<rate_simulation::issuer> rate_simulation::make_issuer(int region, time_point act_from) {
    const duration offset = std::chrono::seconds{random_() % 1000};
    auto made = std::make_shared<issuer>(
        issuer{region, grant_issuer{"org", {}, act_from + offset},
               region_shares{"org", region_name(region), ++terms_, current_issuers_.size()},
               time_point::max(), now, offset});
    all_issuers_.push_back(made);
    return made;
}

bool rate_simulation::random_chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
}

/// Delivers a message after a delay. `deliver` returns false while its receiver is paused, and is retried.
void rate_simulation::send_delayed(std::function<bool()> deliver) {
    if (random_chance(fault.lost)) {
        return;
    }
    const auto delay = [this] {
        return random_chance(fault.delayed) ? duration{random_() % 4'000'000} : duration{1'000};
    };
    if (random_chance(fault.duplicated)) {
        events_.emplace(now + delay(), deliver);
    }
    events_.emplace(now + delay(), std::move(deliver));
}

void rate_simulation::run(duration span) {
    const time_point end = now + span;
    while (now < end) {
        now += tick_length;
        tick();
    }
}

void rate_simulation::tick() {
    while (!events_.empty() && events_.begin()->first <= now) {
        auto node = events_.extract(events_.begin());
        if (!node.mapped()()) {
            events_.emplace(now + tick_length, std::move(node.mapped()));
        }
    }
    for (auto& [at, region] : std::exchange(takeovers_, {})) {
        if (at <= now) {
            current_issuers_[index(region)] = make_issuer(region, now + grant_validity);
        } else {
            takeovers_.emplace_back(at, region);
        }
    }
    for (const auto& each : std::vector(all_issuers_)) {
        poll(each);
    }
    for (int each = 0; each < holders(); ++each) {
        poll(each);
    }
    check_share_sum();
}

void rate_simulation::check_share_sum() {
    std::uint64_t sum = 0;
    for (const auto& each : all_issuers_) {
        sum += now < each->lease_until ? each->shares.share() : 0;
    }
    largest_share_sum_ = std::max(largest_share_sum_, sum);
}

void rate_simulation::poll(const std::shared_ptr<issuer>& target) {
    if (now >= target->paused_until && now < target->lease_until) {
        poll_shares(target);
    }
}

void rate_simulation::poll_shares(const std::shared_ptr<issuer>& target) {
    const time_point local_now = now + target->clock_offset;
    target->grants.set_limits(target->shares.limits(fleet_limits_), local_now);
    const bool lowered = target->grants.within_limits(local_now);
    if (const auto made =
            target->shares.next_call(target->grants.demand(local_now), fleet_limits_, lowered, local_now)) {
        call(target, *made);
    }
    target->grants.set_limits(target->shares.limits(fleet_limits_), local_now);
}

void rate_simulation::call(const std::shared_ptr<issuer>& caller, const shares_call& made) {
    if (const auto* write = std::get_if<write_shares>(&made)) {
        ++writes;
        send_delayed([this, caller, write = *write] {
            apply(caller, write);
            return true;
        });
    } else {
        send_delayed([this, caller, call = std::get<read_shares>(made).call] {
            send_delayed([this, caller, call, value = stored_, down = fault.service_down] {
                const auto failure = make_error(errc::unavailable, step::lease, "kv", "down");
                caller->shares.on_read(call, down ? result<ports::versioned_value>{failure} : value,
                                       now + caller->clock_offset);
                return true;
            });
            return true;
        });
    }
    // A call without an answer times out.
    const std::uint64_t id = std::visit([](const auto& each) { return each.call; }, made);
    events_.emplace(now + 500ms, [this, caller, id, reads = std::holds_alternative<read_shares>(made)] {
        const auto timeout = make_error(errc::timeout, step::lease, "kv", "no answer");
        if (reads) {
            caller->shares.on_read(id, timeout, now + caller->clock_offset);
        } else {
            caller->shares.on_written(id, timeout, now + caller->clock_offset);
        }
        return true;
    });
}

void rate_simulation::apply(const std::shared_ptr<issuer>& caller, const write_shares& write) {
    result<std::uint64_t> answer = make_error(errc::unavailable, step::lease, "kv", "down");
    if (!fault.service_down && write.swap.expected_revision != stored_.revision) {
        answer = make_error(errc::conflict, step::lease, "kv", "conflict");
    } else if (!fault.service_down) {
        stored_ = {write.swap.value, ++revisions_};
        answer = stored_.revision;
    }
    send_delayed([this, caller, call = write.call, answer] {
        caller->shares.on_written(call, answer, now + caller->clock_offset);
        return true;
    });
}

void rate_simulation::poll(int holder_index) {
    holder& target = holders_[index(holder_index)];
    if (now < target.paused_until) {
        return;
    }
    const time_point local_now = now + target.clock_offset;
    while (!target.completions.empty() && target.completions.begin()->first <= now) {
        const auto ended = target.requests.extract(target.completions.begin()->second);
        target.completions.erase(target.completions.begin());
        target.grants.settle(ended.key(), ended.mapped().used, local_now);
        const std::uint64_t beyond =
            ended.mapped().used - std::min(ended.mapped().used, ended.mapped().bound);
        excess += static_cast<double>(beyond);
    }
    for (const reservation_decision& each : target.grants.take_decisions(local_now)) {
        if (each.granted) {
            start(target, each.id);
        } else {
            target.requests.erase(each.id);
            ++refused;
        }
    }
    if (const auto request = target.grants.next_request(local_now)) {
        send(holder_index, *request);
    }
}

void rate_simulation::send(int from, const wire::grant_request& request) {
    const holder& sender = holders_[index(from)];
    // A delayed message may reach an issuer that has lost its duty in the meantime.
    send_delayed([this, from, request, to = current_issuers_[index(sender.region)]] {
        if (now < to->paused_until) {
            return false;
        }
        const auto reply =
            to->grants.answer(std::to_string(from), request, now < to->lease_until, now + to->clock_offset);
        send_delayed([this, from, reply] {
            holder& receiver = holders_[index(from)];
            if (now < receiver.paused_until) {
                return false;
            }
            receiver.grants.on_reply(reply, now + receiver.clock_offset);
            return true;
        });
        return true;
    });
}

void rate_simulation::request(int holder_index, std::uint64_t bound, std::uint64_t used, duration length,
                              duration timeout) {
    holder& target = holders_[index(holder_index)];
    if (now < target.paused_until) {
        // Requests that arrive during a pause wait in the socket and are handled first after it.
        events_.emplace(target.paused_until, [=, this] {
            request(holder_index, bound, used, length, timeout);
            return true;
        });
        return;
    }
    const std::uint64_t id = ++ids_;
    const time_point local_now = now + target.clock_offset;
    target.requests[id] = {bound, used, length, now, false};
    const reserve_result outcome = target.grants.reserve(id, bound, local_now + timeout, local_now);
    if (outcome == reserve_result::granted) {
        start(target, id);
    } else if (outcome == reserve_result::refused) {
        target.requests.erase(id);
        ++refused;
    }
}

void rate_simulation::start(holder& at_holder, std::uint64_t id) {
    const running& started = at_holder.requests.at(id);
    uses.push_back({now, static_cast<double>(std::min(started.bound, started.used))});
    at_holder.completions.emplace(now + started.length, id);
    waits.push_back(now - started.requested_at);
    ++granted;
    ++granted_by_holder[index(static_cast<int>(&at_holder - holders_.data()))];
}

void rate_simulation::pause_issuer(int region, duration span) {
    current_issuers_[index(region)]->paused_until = now + span;
}

void rate_simulation::fail_over(int region, duration lease_left) {
    issuer& old = *current_issuers_[index(region)];
    if (old.lease_until != time_point::max()) {
        return;
    }
    old.lease_until = now + lease_left;
    takeovers_.emplace_back(old.lease_until, region);
}

double rate_simulation::largest_burst() const {
    double sum = 0;
    double lowest = std::numeric_limits<double>::infinity();
    double largest = 0;
    for (const token_use& each : uses) {
        const double refill =
            fleet_limits_.rate * std::chrono::duration<double>(each.at.time_since_epoch()).count();
        lowest = std::min(lowest, sum - refill);
        sum += each.tokens;
        largest = std::max(largest, sum - refill - lowest);
    }
    return largest;
}

double rate_simulation::used_within_bounds() const {
    return std::transform_reduce(uses.begin(), uses.end(), 0.0, std::plus<>{},
                                 [](const token_use& each) { return each.tokens; });
}

double rate_simulation::debt() const {
    double sum = 0;
    for (const holder& each : holders_) {
        sum += static_cast<double>(each.grants.debt());
    }
    return sum;
}

} // namespace samphiretray::rate::testing

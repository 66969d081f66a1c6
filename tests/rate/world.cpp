#include "tests/rate/world.h"

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

world::world(int regions, int holders_per_region, bucket_limits whole, std::uint64_t seed)
    : granted_by_holder(index(regions * holders_per_region)), whole_(whole), random_(seed),
      current_(index(regions)) {
    for (int region = 0; region < regions; ++region) {
        current_[index(region)] = make_issuer(region, now);
        for (int each = 0; each < holders_per_region; ++each) {
            const duration offset = std::chrono::seconds{random_() % 1000};
            holders_.push_back({region, grant_holder{"org"}, now, offset, {}, {}});
        }
    }
}

std::shared_ptr<world::issuer> world::make_issuer(int region, time_point act_from) {
    const duration offset = std::chrono::seconds{random_() % 1000};
    auto made =
        std::make_shared<issuer>(issuer{region, grant_issuer{"org", {}, act_from + offset},
                                        region_shares{"org", region_name(region), ++terms_, current_.size()},
                                        time_point::max(), now, offset});
    all_.push_back(made);
    return made;
}

bool world::chance(int percent) {
    return static_cast<int>(random_() % 100) < percent;
}

/// Delivers later; `deliver` returns false while its receiver is paused and is then tried again.
void world::post(std::function<bool()> deliver) {
    if (chance(fault.lost)) {
        return;
    }
    const auto delay = [this] {
        return chance(fault.late) ? duration{random_() % 4'000'000} : duration{1'000};
    };
    if (chance(fault.duplicated)) {
        events_.emplace(now + delay(), deliver);
    }
    events_.emplace(now + delay(), std::move(deliver));
}

void world::run(duration span) {
    const time_point end = now + span;
    while (now < end) {
        now += tick_length;
        tick();
    }
}

void world::tick() {
    while (!events_.empty() && events_.begin()->first <= now) {
        auto node = events_.extract(events_.begin());
        if (!node.mapped()()) {
            events_.emplace(now + tick_length, std::move(node.mapped()));
        }
    }
    for (auto& [at, region] : std::exchange(takeovers_, {})) {
        if (at <= now) {
            current_[index(region)] = make_issuer(region, now + grant_validity);
        } else {
            takeovers_.emplace_back(at, region);
        }
    }
    for (const auto& each : std::vector(all_)) {
        poll(each);
    }
    for (int each = 0; each < holders(); ++each) {
        poll(each);
    }
    check_parts();
}

void world::check_parts() {
    std::uint64_t sum = 0;
    for (const auto& each : all_) {
        sum += now < each->lease_until ? each->shares.part() : 0;
    }
    largest_sum_ = std::max(largest_sum_, sum);
}

void world::poll(const std::shared_ptr<issuer>& of) {
    if (now >= of->paused_until && now < of->lease_until) {
        poll_shares(of);
    }
}

void world::poll_shares(const std::shared_ptr<issuer>& of) {
    const time_point local = now + of->clock_offset;
    of->grants.set_limits(of->shares.limits(whole_), local);
    const bool lowered = of->grants.within_limits(local);
    if (const auto made = of->shares.next_call(of->grants.demand(local), whole_, lowered, local)) {
        call(of, *made);
    }
    of->grants.set_limits(of->shares.limits(whole_), local);
}

void world::call(const std::shared_ptr<issuer>& by, const shares_call& made) {
    if (const auto* write = std::get_if<write_shares>(&made)) {
        ++writes;
        post([this, by, write = *write] {
            apply(by, write);
            return true;
        });
    } else {
        post([this, by, call = std::get<read_shares>(made).call] {
            post([this, by, call, value = stored_, down = fault.service_down] {
                const auto failure = make_error(errc::unavailable, step::lease, "kv", "down");
                by->shares.on_read(call, down ? result<ports::versioned_value>{failure} : value,
                                   now + by->clock_offset);
                return true;
            });
            return true;
        });
    }
    // A call whose answer was lost ends with a timeout.
    const std::uint64_t id = std::visit([](const auto& each) { return each.call; }, made);
    events_.emplace(now + 500ms, [this, by, id, reads = std::holds_alternative<read_shares>(made)] {
        const auto timeout = make_error(errc::timeout, step::lease, "kv", "no answer");
        if (reads) {
            by->shares.on_read(id, timeout, now + by->clock_offset);
        } else {
            by->shares.on_written(id, timeout, now + by->clock_offset);
        }
        return true;
    });
}

void world::apply(const std::shared_ptr<issuer>& by, const write_shares& write) {
    result<std::uint64_t> answer = make_error(errc::unavailable, step::lease, "kv", "down");
    if (!fault.service_down && write.swap.expected != stored_.revision) {
        answer = make_error(errc::conflict, step::lease, "kv", "conflict");
    } else if (!fault.service_down) {
        stored_ = {write.swap.value, ++revisions_};
        answer = stored_.revision;
    }
    post([this, by, call = write.call, answer] {
        by->shares.on_written(call, answer, now + by->clock_offset);
        return true;
    });
}

void world::poll(int number) {
    holder& of = holders_[index(number)];
    if (now < of.paused_until) {
        return;
    }
    const time_point local = now + of.clock_offset;
    while (!of.ends.empty() && of.ends.begin()->first <= now) {
        const auto ended = of.requests.extract(of.ends.begin()->second);
        of.ends.erase(of.ends.begin());
        of.grants.settle(ended.key(), ended.mapped().used, local);
        const std::uint64_t beyond =
            ended.mapped().used - std::min(ended.mapped().used, ended.mapped().bound);
        excess += static_cast<double>(beyond);
    }
    for (const reservation_decision& each : of.grants.take_decisions(local)) {
        if (each.granted) {
            start(of, each.id);
        } else {
            of.requests.erase(each.id);
            ++refused;
        }
    }
    if (const auto request = of.grants.next_request(local)) {
        send(number, *request);
    }
}

void world::send(int from, const wire::grant_request& request) {
    const holder& sender = holders_[index(from)];
    // A late message may reach an issuer that has lost its duty meanwhile.
    post([this, from, request, to = current_[index(sender.region)]] {
        if (now < to->paused_until) {
            return false;
        }
        const auto reply =
            to->grants.answer(std::to_string(from), request, now < to->lease_until, now + to->clock_offset);
        post([this, from, reply] {
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

void world::request(int number, std::uint64_t bound, std::uint64_t used, duration length, duration patience) {
    holder& of = holders_[index(number)];
    if (now < of.paused_until) {
        // Callers' requests wait in the socket and are the first thing that the process sees.
        events_.emplace(of.paused_until, [=, this] {
            request(number, bound, used, length, patience);
            return true;
        });
        return;
    }
    const std::uint64_t id = ++ids_;
    const time_point local = now + of.clock_offset;
    of.requests[id] = {bound, used, length, now, false};
    const reserve_result outcome = of.grants.reserve(id, bound, local + patience, local);
    if (outcome == reserve_result::granted) {
        start(of, id);
    } else if (outcome == reserve_result::refused) {
        of.requests.erase(id);
        ++refused;
    }
}

void world::start(holder& by, std::uint64_t id) {
    const running& started = by.requests.at(id);
    spends.push_back({now, static_cast<double>(std::min(started.bound, started.used))});
    by.ends.emplace(now + started.length, id);
    waits.push_back(now - started.asked);
    ++granted;
    ++granted_by_holder[index(static_cast<int>(&by - holders_.data()))];
}

void world::pause_issuer(int region, duration span) {
    current_[index(region)]->paused_until = now + span;
}

void world::fail_over(int region, duration lease_left) {
    issuer& old = *current_[index(region)];
    if (old.lease_until != time_point::max()) {
        return;
    }
    old.lease_until = now + lease_left;
    takeovers_.emplace_back(old.lease_until, region);
}

double world::largest_burst() const {
    double sum = 0;
    double lowest = std::numeric_limits<double>::infinity();
    double largest = 0;
    for (const spend& each : spends) {
        const double refill = whole_.rate * std::chrono::duration<double>(each.at.time_since_epoch()).count();
        lowest = std::min(lowest, sum - refill);
        sum += each.tokens;
        largest = std::max(largest, sum - refill - lowest);
    }
    return largest;
}

double world::reserved() const {
    return std::transform_reduce(spends.begin(), spends.end(), 0.0, std::plus<>{},
                                 [](const spend& each) { return each.tokens; });
}

double world::debt() const {
    double sum = 0;
    for (const holder& each : holders_) {
        sum += static_cast<double>(each.grants.debt());
    }
    return sum;
}

} // namespace samphiretray::rate::testing

#include "samphiretray/control/load_permits.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace samphiretray::control {

namespace {

// Kept free for priority customers, in flight and in the bucket.
constexpr std::uint32_t spare_permits = 1;

auto target_of(const wire::permit_request& asked) {
    return std::tie(asked.endpoint, asked.adapter, asked.version);
}

} // namespace

load_permits::load_permits(load_permits_options options, time_point act_from)
    : options_(options), act_from_(act_from),
      bucket_({.rate = options.loads_per_second, .burst = options.burst}, 0, act_from) {}

void load_permits::request(std::string_view holder, const wire::permit_request& asked, time_point now) {
    const auto same = [&](const load& each) { return target_of(each.asked) == target_of(asked); };
    const auto granted = std::ranges::find_if(permits_, same, &permit::granted);
    if (granted != permits_.end() && granted->granted.holder == holder) {
        if (granted->granted.asked.round == asked.round) {
            reply(granted->granted, true, true);
            return;
        }
        // The holder asks anew, so its earlier load has ended.
        permits_.erase(granted);
    }
    const auto waiting = std::ranges::find_if(waiting_, same);
    if (waiting != waiting_.end()) {
        waiting->holder = holder;
        waiting->asked = asked;
        waiting->seen = now;
        return;
    }
    const load added{.holder = std::string{holder}, .asked = asked, .since = now, .seen = now};
    if (waiting_.size() >= options_.max_waiting) {
        reply(added, false, true);
        return;
    }
    waiting_.push_back(added);
}

void load_permits::cancel(std::string_view holder, std::uint64_t round) {
    std::erase_if(waiting_,
                  [&](const load& each) { return each.holder == holder && each.asked.round == round; });
}

void load_permits::done(std::string_view holder, std::uint64_t round) {
    std::erase_if(permits_, [&](const permit& each) {
        return each.granted.holder == holder && each.granted.asked.round == round;
    });
}

void load_permits::holder_gone(std::string_view holder) {
    std::erase_if(waiting_, [&](const load& each) { return each.holder == holder; });
}

void load_permits::advance(time_point now) {
    bucket_.refill(now);
    std::erase_if(permits_, [now](const permit& each) { return each.expires <= now; });
    std::erase_if(waiting_, [&](const load& each) { return each.seen + options_.request_timeout <= now; });
}

bool load_permits::may_start(bool priority) const {
    const std::uint32_t spare = priority || options_.max_in_flight <= spare_permits ? 0 : spare_permits;
    return permits_.size() + spare < options_.max_in_flight && bucket_.level() >= tokens_needed(priority);
}

double load_permits::tokens_needed(bool priority) const {
    const double spare = priority || options_.burst < 1.0 + spare_permits ? 0 : spare_permits;
    return 1 + spare;
}

double load_permits::rank(const load& of, time_point now) const {
    const double age = std::chrono::duration<double>(now - of.since).count();
    return std::min(of.asked.waiting, options_.waiting_cap) + age * options_.rank_per_second;
}

std::vector<load_permits::load>::iterator load_permits::next(time_point now) {
    return std::ranges::max_element(waiting_, {}, [&](const load& each) {
        return std::pair{each.asked.priority, rank(each, now)};
    });
}

std::vector<permit_answer> load_permits::take_answers(bool may_act, time_point now) {
    if (!may_act) {
        refuse_all();
    } else if (now >= act_from_) {
        advance(now);
        grant_waiting(now);
    }
    return std::exchange(answers_, {});
}

void load_permits::refuse_all() {
    for (const load& each : std::exchange(waiting_, {})) {
        reply(each, false, false);
    }
}

void load_permits::grant_waiting(time_point now) {
    while (!waiting_.empty()) {
        const auto chosen = next(now);
        if (!may_start(chosen->asked.priority) || !bucket_.try_take(1)) {
            return;
        }
        permits_.push_back({.granted = *chosen, .expires = now + options_.validity});
        waiting_.erase(chosen);
        reply(permits_.back().granted, true, true);
    }
}

void load_permits::reply(const load& to, bool granted, bool issuer) {
    wire::permit_reply answer;
    answer.round = to.asked.round;
    answer.granted = granted;
    answer.issuer = issuer;
    answer.valid_ms = granted ? static_cast<std::uint32_t>(milliseconds_in(options_.start_within)) : 0;
    answers_.push_back({.holder = to.holder, .reply = answer});
}

std::optional<time_point> load_permits::wake_at(time_point now) const {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const bool priority = std::ranges::any_of(waiting_, [](const load& each) { return each.asked.priority; });
    const auto refilled = bucket_.time_until(tokens_needed(priority));
    time_point wake = now + refilled.value_or(options_.validity);
    if (refilled == duration::zero() && !permits_.empty()) {
        wake = std::ranges::min(permits_, {}, &permit::expires).expires;
    }
    return std::max(wake, act_from_);
}

} // namespace samphiretray::control
